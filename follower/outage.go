package follower

import (
	"sync"
	"time"
)

// lapseHeartbeats is after how many heartbeat intervals an entry lapses at the earliest, counted
// from the last answer of the store: an entry lapses three intervals after its target's last
// write, which may be one interval old when the store stops answering.
const lapseHeartbeats = 2

// defaultHeartbeat is the interval at which targets renew their entries unless the settings
// say otherwise.
const defaultHeartbeat = 1500 * time.Millisecond

// outageTracker records the last outage of the store as this instance has seen it. Its zero
// value has seen none; it is safe for concurrent use.
type outageTracker struct {
	mu         sync.Mutex
	answeredAt time.Time // answeredAt is when the store last answered.
	down       bool
	failedAt   time.Time // failedAt is when the first call of the outage failed.
	start, end time.Time // start is the last answer before the outage, end the first one after it.
	othersAt   time.Time // othersAt is when the store first answered another instance meanwhile; zero if it did not.
}

// noteFailure records that the store did not answer.
func (o *outageTracker) noteFailure(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.down {
		o.down, o.failedAt, o.start, o.othersAt = true, now, o.answeredAt, time.Time{}
	}
}

// noteAnswer records that the store answered a call that began at the given time. The answer to
// a watch that waited when other calls began to fail does not end an outage.
func (o *outageTracker) noteAnswer(began, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.down:
	case began.Before(o.failedAt):
		return
	default:
		o.down, o.end = false, now
	}
	// A watch may have waited when the store stopped answering.
	o.answeredAt = later(o.answeredAt, began)
}

// noteOthersServed records that the store answers other instances.
func (o *outageTracker) noteOthersServed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down && o.othersAt.IsZero() {
		o.othersAt = now
	}
}

// unsettled reports whether the store has failed to answer until recently, so that entries that
// lapsed meanwhile may not have reappeared yet.
func (o *outageTracker) unsettled(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down || (!o.end.IsZero() && now.Sub(o.end) < reappearGrace)
}

// holdRemovalsUntil returns until when an entry that was removed may still reappear; zero if
// none may. Entries lapse if targets can't renew them. In an outage that is too short for that,
// or that only this instance had, an entry that is missing belongs to a target that has left.
func (o *outageTracker) holdRemovalsUntil(heartbeat time.Duration) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	end := o.end
	if !o.othersAt.IsZero() {
		end = o.othersAt // Targets can renew their entries since then.
	}
	if o.down || end.IsZero() || end.Sub(o.start) < lapseHeartbeats*heartbeat {
		return time.Time{}
	}
	return end.Add(reappearGrace)
}
