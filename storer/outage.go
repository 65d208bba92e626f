package storer

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hemlocktally"
)

const (
	maxTries          = 3
	firstRetry        = 20 * time.Millisecond
	longestRetry      = 200 * time.Millisecond
	firstProbe        = 100 * time.Millisecond
	longestProbe      = time.Second
	failuresToOutage  = 3
	probeRandomFactor = 0.5
)

// OutageError says that a call was not sent because the service looks down.
type OutageError struct {
	Since      time.Time
	RetryAfter time.Duration
}

// Error says since when, and when the next probe goes out.
func (e *OutageError) Error() string {
	return fmt.Sprintf("the key-value service has not answered since %s; nothing was sent, next probe in %s",
		e.Since.Format(time.RFC3339), e.RetryAfter.Round(time.Millisecond))
}

// outage is a circuit breaker: after some failures in a row only one probe at a
// time goes out, at growing distances, so that a process has a single retry
// stream however many tasks want the service.
type outage struct {
	mu       sync.Mutex
	failures int
	since    time.Time
	next     time.Time
	probing  bool
	backOff  *backoff.ExponentialBackOff
}

// admit returns an *OutageError where the call must not go out now. Only a call
// that may serve as a probe is let through an outage.
func (o *outage) admit(now time.Time, probe bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures < failuresToOutage {
		return nil
	}
	if !probe || o.probing || now.Before(o.next) {
		return &OutageError{Since: o.since, RetryAfter: max(0, o.next.Sub(now))}
	}
	o.probing = true
	return nil
}

// giveUp ends a probe that told nothing.
func (o *outage) giveUp() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probing = false
}

// succeeded closes the circuit; it reports whether it was open.
func (o *outage) succeeded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	open := o.failures >= failuresToOutage
	o.failures, o.probing, o.backOff = 0, false, nil
	return open
}

// failed counts a failure; it reports whether the circuit opened by it.
func (o *outage) failed(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures == 0 {
		o.since = now
	}
	o.failures++
	o.probing = false
	if o.failures < failuresToOutage {
		return false
	}
	if o.backOff == nil {
		o.backOff = newBackOff(firstProbe, longestProbe)
	}
	o.next = now.Add(o.backOff.NextBackOff())
	return o.failures == failuresToOutage
}

func (o *outage) state() (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since, o.failures >= failuresToOutage
}

func retryBackOff() *backoff.ExponentialBackOff { return newBackOff(firstRetry, longestRetry) }

func newBackOff(first, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = first, longest, probeRandomFactor
	b.Reset()
	return b
}

// isTransient reports whether the same idempotent call may succeed later.
func isTransient(err error) bool {
	var withheld *OutageError
	var spent *BudgetError
	var failed *hemlocktally.StoreError
	return errors.As(err, &failed) && !isAnswer(failed) && !errors.As(err, &withheld) && !errors.As(err, &spent)
}
