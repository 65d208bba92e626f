package storer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget limits the call rate of the whole fleet. A field that is zero or less
// means its default.
type Budget struct {
	ReadsPerSecond  float64 // ReadsPerSecond limits Get, List and Watch.
	WritesPerSecond float64 // WritesPerSecond limits Swap, Delete, Grant, Renew and Revoke.
}

// Default budget of the fleet, below the capacity of the service.
const (
	DefaultReadsPerSecond  = 1500.0
	DefaultWritesPerSecond = 300.0
)

// minBurst is enough for an instance of a large fleet to start and to commit a
// change although its share of the rate is small.
const minBurst = 20

func (b Budget) withDefaults() Budget {
	if b.ReadsPerSecond <= 0 {
		b.ReadsPerSecond = DefaultReadsPerSecond
	}
	if b.WritesPerSecond <= 0 {
		b.WritesPerSecond = DefaultWritesPerSecond
	}
	return b
}

// BudgetError reports that a call was not sent because this instance's share of
// the budget is exhausted.
type BudgetError struct {
	Share      float64 // Share is the instance's rate limit in calls per second.
	RetryAfter time.Duration
}

// Error returns the share and the time until a call is possible.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("this instance's share of %.1f calls per second is exhausted; the call was not sent, retry in %s",
		e.Share, e.RetryAfter.Round(time.Millisecond))
}

// rateLimiters enforces one instance's share of the budget. A nil limiter does
// not limit.
type rateLimiters struct {
	mu     sync.Mutex
	reads  *rate.Limiter
	writes *rate.Limiter
}

func (l *rateLimiters) set(budget Budget, members int) {
	budget = budget.withDefaults()
	members = max(1, members)
	l.mu.Lock()
	defer l.mu.Unlock()
	setRate(&l.reads, budget.ReadsPerSecond/float64(members))
	setRate(&l.writes, budget.WritesPerSecond/float64(members))
}

func setRate(limiter **rate.Limiter, share float64) {
	burst := max(minBurst, int(share))
	if *limiter == nil {
		*limiter = rate.NewLimiter(rate.Limit(share), burst)
		return
	}
	if (*limiter).Limit() != rate.Limit(share) {
		(*limiter).SetLimit(rate.Limit(share))
		(*limiter).SetBurst(burst)
	}
}

// wait blocks until the call may be sent. It returns a *BudgetError immediately if
// the delay would exceed the limit.
func (l *rateLimiters) wait(ctx context.Context, write bool, limit time.Duration) error {
	limiter := l.limiter(write)
	if limiter == nil {
		return nil
	}
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	if delay > limit {
		reservation.Cancel()
		return &BudgetError{Share: float64(limiter.Limit()), RetryAfter: delay}
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return ctx.Err()
	}
}

func (l *rateLimiters) limiter(write bool) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if write {
		return l.writes
	}
	return l.reads
}
