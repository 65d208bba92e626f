package allocator

import (
	"time"

	"hemlocktally"
)

// tokenBucket is a token bucket. It never holds less than zero tokens.
type tokenBucket struct {
	tokens float64
	burst  float64
}

func (b *tokenBucket) addTokens(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }

// take takes one token; it returns false if less than one is left.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// attemptBurst is how many retries, and how many hedges, may come at once.
const attemptBurst = 10

// contractBudget limits the retries and hedges of one contract to shares of its
// calls over the whole fleet.
type contractBudget struct {
	contract     hemlocktally.Contract
	retryTokens  tokenBucket
	hedgeTokens  tokenBucket
	callCount    uint64
	retryCount   uint64
	hedgeCount   uint64
	refusedCount uint64
}

func newContractBudget(contract hemlocktally.Contract) *contractBudget {
	full := tokenBucket{tokens: attemptBurst, burst: attemptBurst}
	return &contractBudget{contract: contract, retryTokens: full, hedgeTokens: full}
}

// allow counts an attempt and takes a token for a retry or hedge. It returns
// false if the budget is spent.
func (b *contractBudget) allow(kind hemlocktally.AttemptKind) bool {
	ok := true
	switch kind {
	case hemlocktally.AttemptFirst:
		b.callCount++
		b.retryTokens.addTokens(b.contract.RetryShare())
		b.hedgeTokens.addTokens(b.contract.HedgeShare())
	case hemlocktally.AttemptRetry:
		if ok = b.retryTokens.take(); ok {
			b.retryCount++
		}
	case hemlocktally.AttemptHedge:
		if ok = b.hedgeTokens.take(); ok {
			b.hedgeCount++
		}
	}
	if !ok {
		b.refusedCount++
	}
	return ok
}

// probeBudget limits the probes of a service. It starts empty, so that a change
// of owner does not spend the budget twice.
type probeBudget struct {
	tokenBucket tokenBucket
	perSecond   float64
	refilledAt  time.Time
	spent       uint64
	refused     uint64
}

func (p *probeBudget) refill(now time.Time) {
	if p.refilledAt.IsZero() {
		p.refilledAt = now
	}
	p.tokenBucket.burst = 1
	p.tokenBucket.addTokens(now.Sub(p.refilledAt).Seconds() * p.perSecond)
	p.refilledAt = now
}

// nextTokenAt returns when the next token is available.
func (p *probeBudget) nextTokenAt(now time.Time) time.Time {
	if p.tokenBucket.tokens >= 1 || p.perSecond <= 0 {
		return now
	}
	return now.Add(time.Duration((1 - p.tokenBucket.tokens) / p.perSecond * float64(time.Second)))
}
