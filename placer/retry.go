package placer

import "time"

// retryWindow counts calls and retries in a sliding window.
type retryWindow struct {
	since   time.Time // since is the time of the first call.
	calls   []time.Time
	retries []time.Time
}

// Shares of the retry budget that an owner uses. An owner that is new to the service does not
// know what the previous one spent in the window.
const (
	establishedShare = 0.75
	newOwnerShare    = 0.2
	// furtherOwnersSlackShare is the share of the slack that all owners but the first use
	// together.
	furtherOwnersSlackShare = 0.25
)

func (w *retryWindow) recordCall(now time.Time, window time.Duration) {
	if w.since.IsZero() {
		w.since = now
	}
	w.calls = append(trim(w.calls, now, window), now)
}

// allows reports whether one more retry fits in the given share of the budget.
func (w *retryWindow) allows(now time.Time, b Bounds, share float64) bool {
	limit := share * w.limit(now, b)
	return float64(len(w.retries)+1) <= limit
}

// limit returns how many retries the window may hold.
func (w *retryWindow) limit(now time.Time, b Bounds) float64 {
	w.calls, w.retries = trim(w.calls, now, b.RetryWindow), trim(w.retries, now, b.RetryWindow)
	share := establishedShare
	if w.since.IsZero() || now.Sub(w.since) < b.RetryWindow {
		share = newOwnerShare
	}
	return share * (b.RetryRatio*float64(len(w.calls)) + b.RetrySlack)
}

// usedShare returns the share of the budget that is used; it is zero if there is no budget.
func (w *retryWindow) usedShare(now time.Time, b Bounds) float64 {
	limit := w.limit(now, b)
	if limit <= 0 {
		return 0
	}
	return float64(len(w.retries)) / limit
}

// recordRetry counts one retry.
func (w *retryWindow) recordRetry(now time.Time) { w.retries = append(w.retries, now) }

// trim drops the times that are older than the window.
func trim(times []time.Time, now time.Time, window time.Duration) []time.Time {
	i := 0
	for i < len(times) && now.Sub(times[i]) >= window {
		i++
	}
	return times[i:]
}
