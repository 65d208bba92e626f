package placer

import "time"

// retryWindow counts calls and repeats in the last window.
type retryWindow struct {
	since   time.Time // since is when counting began.
	calls   []time.Time
	repeats []time.Time
}

// The parts of the budget that an owner uses. One that is new to the service
// does not know what the one before it spent in the window.
const (
	settledPart = 0.75
	newPart     = 0.2
)

func (r *retryWindow) call(now time.Time, window time.Duration) {
	if r.since.IsZero() {
		r.since = now
	}
	r.calls = append(trim(r.calls, now, window), now)
}

// may reports whether one more repeat is within the budget, and counts it.
func (r *retryWindow) may(now time.Time, b Bounds) bool {
	r.calls, r.repeats = trim(r.calls, now, b.RetryWindow), trim(r.repeats, now, b.RetryWindow)
	part := settledPart
	if r.since.IsZero() || now.Sub(r.since) < b.RetryWindow {
		part = newPart
	}
	allowed := part * (b.RetryRatio*float64(len(r.calls)) + b.RetrySlack)
	if float64(len(r.repeats)+1) > allowed {
		return false
	}
	r.repeats = append(r.repeats, now)
	return true
}

// trim drops the times that lie before the window.
func trim(times []time.Time, now time.Time, window time.Duration) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) >= window {
		i++
	}
	return times[i:]
}
