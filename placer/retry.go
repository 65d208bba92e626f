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

// room reports whether one more repeat is within a share of the budget.
func (r *retryWindow) room(now time.Time, b Bounds, share float64) bool {
	allowed := share * r.allowed(now, b)
	return float64(len(r.repeats)+1) <= allowed
}

// allowed is how many repeats the window may hold.
func (r *retryWindow) allowed(now time.Time, b Bounds) float64 {
	r.calls, r.repeats = trim(r.calls, now, b.RetryWindow), trim(r.repeats, now, b.RetryWindow)
	part := settledPart
	if r.since.IsZero() || now.Sub(r.since) < b.RetryWindow {
		part = newPart
	}
	return part * (b.RetryRatio*float64(len(r.calls)) + b.RetrySlack)
}

// used is the part of the budget that is spent.
func (r *retryWindow) used(now time.Time, b Bounds) float64 {
	allowed := r.allowed(now, b)
	if allowed <= 0 {
		return 0
	}
	return float64(len(r.repeats)) / allowed
}

// repeat counts one repeat.
func (r *retryWindow) repeat(now time.Time) { r.repeats = append(r.repeats, now) }

// trim drops the times that lie before the window.
func trim(times []time.Time, now time.Time, window time.Duration) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) >= window {
		i++
	}
	return times[i:]
}
