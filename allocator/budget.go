package allocator

import (
	"time"

	"hemlocktally"
)

// bucket is a token bucket. It never holds less than zero tokens.
type bucket struct {
	tokens float64
	burst  float64
}

func (b *bucket) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// take takes one token; it returns false where there is none.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// attemptBurst is how many retries or hedges may come at once.
const attemptBurst = 10

// contractBudget holds the retries and hedges of one contract, as shares of its
// calls over the whole fleet.
type contractBudget struct {
	contract hemlocktally.Contract
	retries  bucket
	hedges   bucket
	calls    uint64
	retried  uint64
	hedged   uint64
	refused  uint64
}

func newContractBudget(contract hemlocktally.Contract) *contractBudget {
	full := bucket{tokens: attemptBurst, burst: attemptBurst}
	return &contractBudget{contract: contract, retries: full, hedges: full}
}

// allow counts an attempt; it returns false where the budget is spent.
func (b *contractBudget) allow(kind hemlocktally.AttemptKind) bool {
	ok := true
	switch kind {
	case hemlocktally.AttemptFirst:
		b.calls++
		b.retries.add(b.contract.RetryShare())
		b.hedges.add(b.contract.HedgeShare())
	case hemlocktally.AttemptRetry:
		if ok = b.retries.take(); ok {
			b.retried++
		}
	case hemlocktally.AttemptHedge:
		if ok = b.hedges.take(); ok {
			b.hedged++
		}
	}
	if !ok {
		b.refused++
	}
	return ok
}

// probeBudget holds the measurements of a service. It starts empty, so that a
// change of owners spends nothing twice.
type probeBudget struct {
	bucket  bucket
	perSec  float64
	filled  time.Time
	spent   uint64
	refused uint64
}

func (p *probeBudget) refill(now time.Time) {
	if p.filled.IsZero() {
		p.filled = now
	}
	p.bucket.burst = 1
	p.bucket.add(now.Sub(p.filled).Seconds() * p.perSec)
	p.filled = now
}

// next returns when the next token is there.
func (p *probeBudget) next(now time.Time) time.Time {
	if p.bucket.tokens >= 1 || p.perSec <= 0 {
		return now
	}
	return now.Add(time.Duration((1 - p.bucket.tokens) / p.perSec * float64(time.Second)))
}
