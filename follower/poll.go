package follower

import (
	"sync"
	"time"
)

// In an outage, all followers of a hub would check whether the store answers them. Every
// call is billed, rejected ones included, and hundreds of instances learn no more than a
// few would: a disconnected hub lets one follower poll at a time. The store may serve some
// instances and not others, and operators' changes must be in force on those within
// seconds; so once the store has answered one follower, all may poll.
const (
	pollInterval           = 300 * time.Millisecond // pollInterval is the time between two polls that a hub requests.
	followerServedValidity = 2 * time.Second        // followerServedValidity is how long all may poll after the store has answered one follower.
)

// pollLimiter spaces out the polls of a hub's followers. Its zero value works.
type pollLimiter struct {
	mu   sync.Mutex
	last time.Time
}

func (p *pollLimiter) allow(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) < pollInterval {
		return false
	}
	p.last = now
	return true
}

// storeAge is the time since this instance last received all changes from the store.
func (f *Follower) storeAge() time.Duration {
	age := f.since(&f.storeAnsweredAt)
	if !f.operatorsRead(f.FleetState()) {
		age = max(age, 2*maxStoreSilence)
	}
	return age
}

// operatorsRead reports whether this instance has read all operators' entries of the store's
// current generation and follows them. An instance that starts or becomes a hub may have
// renewed its lease before it has read them.
func (f *Follower) operatorsRead(p *FleetState) bool {
	return p.Operators.Complete && p.Operators.At.Generation >= f.Generation()
}

func (f *Follower) disconnected() bool { return f.storeAge() > maxStoreSilence }

// noteFollowerServed records that the store answers a follower, and wakes waiting requests.
func (f *Follower) noteFollowerServed() {
	f.outage.noteOthersServed(time.Now())
	wake := f.since(&f.followerServedAt) > pollInterval
	f.mark(&f.followerServedAt)
	if wake {
		f.published.signal()
	}
}

// requestsPoll reports whether the follower that is being answered is to check whether the
// store answers it, because this hub's own calls have begun to fail.
func (f *Follower) requestsPoll(now time.Time) bool {
	return f.storeCallsFail() && f.pollLimiter.allow(now)
}

// allowsPoll reports whether the follower that is being answered may check itself whether
// the store answers it.
func (f *Follower) allowsPoll(now time.Time) bool {
	return f.since(&f.followerServedAt) <= followerServedValidity || f.pollLimiter.allow(now)
}
