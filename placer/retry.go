package placer

import "time"

// retryWindow counts calls and repeats in the last window.
type retryWindow struct {
	calls   []time.Time
	repeats []time.Time
}

// ratioUsed is the part of the allowed ratio and slack that is used: after an
// owner changed, two counts may stand for one window.
const ratioUsed = 0.5

func (r *retryWindow) call(now time.Time, window time.Duration) {
	r.calls = append(trim(r.calls, now, window), now)
}

// may reports whether one more repeat is within the budget, and counts it.
func (r *retryWindow) may(now time.Time, b Bounds) bool {
	r.calls, r.repeats = trim(r.calls, now, b.RetryWindow), trim(r.repeats, now, b.RetryWindow)
	allowed := ratioUsed * (b.RetryRatio*float64(len(r.calls)) + b.RetrySlack)
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
