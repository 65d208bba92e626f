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
	maxTries             = 3
	retryInitialInterval = 20 * time.Millisecond
	retryMaxInterval     = 200 * time.Millisecond
	probeInitialInterval = 100 * time.Millisecond
	probeMaxInterval     = time.Second
	failureThreshold     = 3
	jitterFactor         = 0.5
)

// OutageError reports that a call was not sent because the service appears to be
// down.
type OutageError struct {
	Since      time.Time
	RetryAfter time.Duration
}

// Error returns the start of the outage and the time until the next probe.
func (e *OutageError) Error() string {
	return fmt.Sprintf("the key-value service has not responded since %s; the call was not sent, next probe in %s",
		e.Since.Format(time.RFC3339), e.RetryAfter.Round(time.Millisecond))
}

// circuitBreaker opens after failureThreshold consecutive failures. While it is
// open it admits one probe at a time, at growing intervals, so that a process has
// a single stream of retries however many goroutines call the service.
type circuitBreaker struct {
	mu       sync.Mutex
	failures int
	since    time.Time
	next     time.Time
	probing  bool
	backOff  *backoff.ExponentialBackOff
}

// allow returns an *OutageError if the call must not be sent now. While the
// circuit is open, only a call that may serve as a probe is admitted.
func (b *circuitBreaker) allow(now time.Time, probe bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return nil
	}
	if !probe || b.probing || now.Before(b.next) {
		return &OutageError{Since: b.since, RetryAfter: max(0, b.next.Sub(now))}
	}
	b.probing = true
	return nil
}

// cancelProbe ends a probe that gave no information about the service.
func (b *circuitBreaker) cancelProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// recordSuccess closes the circuit and reports whether it was open.
func (b *circuitBreaker) recordSuccess() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := b.failures >= failureThreshold
	b.failures, b.probing, b.backOff = 0, false, nil
	return open
}

// recordFailure counts a failure and reports whether it opened the circuit.
func (b *circuitBreaker) recordFailure(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		b.since = now
	}
	b.failures++
	b.probing = false
	if b.failures < failureThreshold {
		return false
	}
	if b.backOff == nil {
		b.backOff = newBackOff(probeInitialInterval, probeMaxInterval)
	}
	b.next = now.Add(b.backOff.NextBackOff())
	return b.failures == failureThreshold
}

func (b *circuitBreaker) state() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since, b.failures >= failureThreshold
}

func retryBackOff() *backoff.ExponentialBackOff {
	return newBackOff(retryInitialInterval, retryMaxInterval)
}

func newBackOff(first, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.RandomizationFactor = first, longest, jitterFactor
	b.Reset()
	return b
}

// isTransient reports whether the same idempotent call may succeed later.
func isTransient(err error) bool {
	var outage *OutageError
	var budget *BudgetError
	var failed *hemlocktally.StoreError
	return errors.As(err, &failed) && !provesAvailable(failed) && !errors.As(err, &outage) && !errors.As(err, &budget)
}
