package storer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds the calls of the whole fleet. The zero value of a field means
// its default.
type Budget struct {
	ReadsPerSecond  float64 // ReadsPerSecond counts gets, lists and waiting watches.
	WritesPerSecond float64 // WritesPerSecond counts swaps, deletions and calls for leases.
}

// Defaults of the fleet's budget, below what the service handles.
const (
	DefaultReadsPerSecond  = 1500.0
	DefaultWritesPerSecond = 300.0
)

// smallestBurst lets an instance start and commit a change in a large fleet.
const smallestBurst = 20

func (b Budget) withDefaults() Budget {
	if b.ReadsPerSecond <= 0 {
		b.ReadsPerSecond = DefaultReadsPerSecond
	}
	if b.WritesPerSecond <= 0 {
		b.WritesPerSecond = DefaultWritesPerSecond
	}
	return b
}

// BudgetError says that a call was not sent because the instance's share of the
// budget is spent.
type BudgetError struct {
	Share      float64 // Share is in calls a second.
	RetryAfter time.Duration
}

// Error names the share and when to come back.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("the instance's share of %.1f calls a second is spent; nothing was sent, free again in %s",
		e.Share, e.RetryAfter.Round(time.Millisecond))
}

// allowance is the share of one instance.
type allowance struct {
	mu     sync.Mutex
	reads  *rate.Limiter
	writes *rate.Limiter
}

func (a *allowance) set(budget Budget, members int) {
	budget = budget.withDefaults()
	members = max(1, members)
	a.mu.Lock()
	defer a.mu.Unlock()
	adjust(&a.reads, budget.ReadsPerSecond/float64(members))
	adjust(&a.writes, budget.WritesPerSecond/float64(members))
}

func adjust(limiter **rate.Limiter, share float64) {
	burst := max(smallestBurst, int(share))
	if *limiter == nil {
		*limiter = rate.NewLimiter(rate.Limit(share), burst)
		return
	}
	if (*limiter).Limit() != rate.Limit(share) {
		(*limiter).SetLimit(rate.Limit(share))
		(*limiter).SetBurst(burst)
	}
}

// wait returns once the call may go out. It returns a *BudgetError at once where
// that would take longer than the limit.
func (a *allowance) wait(ctx context.Context, write bool, limit time.Duration) error {
	limiter := a.limiter(write)
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

func (a *allowance) limiter(write bool) *rate.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	if write {
		return a.writes
	}
	return a.reads
}
