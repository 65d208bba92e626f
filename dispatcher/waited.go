package dispatcher

import (
	"sync"
	"time"

	"hemlocktally"
)

// maxWaitedKeys bounds the kinds of calls whose usual time is known.
const maxWaitedKeys = 4096

// waitedPeriod is how long the longest time of a kind of calls is remembered, at least.
const waitedPeriod = 10 * time.Second

// waitedKey is a kind of calls whose callers set out with the same time.
type waitedKey struct {
	customer hemlocktally.CustomerName
	contract hemlocktally.ContractName
}

// waitedTracker estimates how long callers have waited before they sent a call: callers that come
// back after a refusal have less time left than those that send their first try. Its zero value
// is ready to use; it is safe for concurrent use.
type waitedTracker struct {
	mu       sync.Mutex
	began    time.Time // began is when the current period did.
	previous map[waitedKey]time.Duration
	current  map[waitedKey]time.Duration
}

// observe records the time that a caller has left and returns how much less it is than the
// longest one of its kind in the last periods.
func (w *waitedTracker) observe(key waitedKey, left time.Duration, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil || now.Sub(w.began) >= waitedPeriod || len(w.current) >= maxWaitedKeys {
		w.previous, w.current, w.began = w.current, map[waitedKey]time.Duration{}, now
	}
	w.current[key] = max(w.current[key], left)
	return max(w.current[key], w.previous[key]) - left
}

// isLate reports whether the call can't meet its objective any more, counted from its caller's
// first try. Only calls that count against a quota are looked at.
func (c *call) isLate(left time.Duration) bool {
	if !c.customer.HasQuota() || c.contract.Objective <= 0 {
		return false
	}
	waited := c.dispatcher.waited.observe(waitedKey{customer: c.customer.Name, contract: c.contract.Name}, left, c.started)
	return waited >= c.contract.Objective
}
