package chooser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlocktally"
)

// WarmTargets reports which targets an owner recently reported as warm.
type WarmTargets interface {
	Warm(service hemlocktally.ServiceName, target hemlocktally.TargetName) bool
}

// Fallback is the fallback granter of one instance while no owner answers. It
// counts only its own grants, uses at most the instance's fair share of each warm
// target's slots, but at least one, and never uses a cold target. It implements
// hemlocktally.Granter and is safe for concurrent use.
type Fallback struct {
	Self          hemlocktally.InstanceID
	Incarnation   string
	Configuration hemlocktally.ConfigurationSource
	Members       hemlocktally.ViewSource
	WarmTargets   WarmTargets
	Seed          uint64

	mu            sync.Mutex
	random        *rand.Rand
	grantCount    uint64
	inFlight      map[string]int                              // inFlight counts grants by target address.
	inFlightTotal map[hemlocktally.ServiceName]int            // inFlightTotal counts by service name.
	avoidUntil    map[string]time.Time                        // avoidUntil is, by target address, the time until which a target gets no grants after a failure or a report that it is cold or draining.
	tokens        map[hemlocktally.ContractName]attemptTokens // tokens holds this instance's share of the retry and hedge budgets.
}

// attemptTokens counts the retries and hedges that the instance's own first
// attempts have earned and that are still unused.
type attemptTokens struct {
	retries float64
	hedges  float64
}

const (
	avoidTime = 500 * time.Millisecond
	maxTokens = 1.0
	// shareFactor is how many times its fair share of a service's warm slots an
	// instance may use in all.
	shareFactor = 2
	// minTotal is the number of grants per service that an instance may have in
	// flight however small its share is.
	minTotal   = 2
	retryDelay = 50 * time.Millisecond
)

// Acquire returns a grant without waiting. It returns a RefusedError with outcome
// NotRun if this instance's share is in use, or if no token is left for a retry
// or hedge.
func (a *Fallback) Acquire(_ context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	config := a.Configuration.Current()
	service, _ := config.Service(request.Service)
	members := max(1, len(a.Members.View().Serving()))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if !a.takeToken(config, request) {
		return hemlocktally.Grant{}, refusal(hemlocktally.ReasonRetryBudget, "no retries or hedges are left while the owner does not answer")
	}
	candidates, slots := a.candidates(config, service, request.Exclude, members)
	if len(candidates) == 0 || a.inFlightTotal[request.Service] >= max(minTotal, shareFactor*slots/members) {
		detail := fmt.Sprintf("the owner of %s does not answer and this instance's share is in use", request.Service)
		return hemlocktally.Grant{}, refusal(hemlocktally.ReasonShed, detail)
	}
	target := candidates[LeastInFlight(a.random, candidates)].Target
	a.inFlight[target.Address]++
	a.inFlightTotal[request.Service]++
	a.grantCount++
	return hemlocktally.Grant{
		ID:      hemlocktally.GrantID(fmt.Sprintf("alone/%s/%s/%d", a.Self, a.Incarnation, a.grantCount)),
		Service: request.Service, Target: target, Revision: config.Revision, Deadline: request.Deadline, Alone: true,
	}, nil
}

func refusal(reason hemlocktally.Reason, detail string) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryDelay}
}

// Release ends a grant. A target that failed or refused the attempt, or reported
// that it is cold or draining, gets no grants for avoidTime.
func (a *Fallback) Release(result hemlocktally.GrantResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	address := result.Grant.Target.Address
	a.inFlight[address]--
	a.inFlightTotal[result.Grant.Service]--
	failed := result.Outcome == hemlocktally.AttemptFailed || result.Outcome == hemlocktally.AttemptRefused
	if failed || result.ReportedCold || result.ReportedDraining {
		a.avoidUntil[address] = time.Now().Add(avoidTime)
	}
}

func (a *Fallback) init() {
	if a.random != nil {
		return
	}
	a.random = rand.New(rand.NewPCG(a.Seed, 4))
	a.inFlight = map[string]int{}
	a.inFlightTotal = map[hemlocktally.ServiceName]int{}
	a.avoidUntil = map[string]time.Time{}
	a.tokens = map[hemlocktally.ContractName]attemptTokens{}
}

// takeToken reports whether the attempt is within the budget and takes its token.
// Retries and hedges are a share of this instance's own first attempts, so that
// the budgets of all instances add up to the fleet's.
func (a *Fallback) takeToken(config *hemlocktally.Configuration, request hemlocktally.GrantRequest) bool {
	i := slices.IndexFunc(config.Contracts, func(c hemlocktally.Contract) bool { return c.Name == request.Contract })
	if i < 0 {
		return request.Kind == hemlocktally.AttemptFirst
	}
	budget := a.tokens[request.Contract]
	ok := true
	switch request.Kind {
	case hemlocktally.AttemptFirst:
		budget.retries = min(maxTokens, budget.retries+config.Contracts[i].RetryShare())
		budget.hedges = min(maxTokens, budget.hedges+config.Contracts[i].HedgeShare())
	case hemlocktally.AttemptRetry:
		if ok = budget.retries >= 1; ok {
			budget.retries--
		}
	case hemlocktally.AttemptHedge:
		if ok = budget.hedges >= 1; ok {
			budget.hedges--
		}
	}
	a.tokens[request.Contract] = budget
	return ok
}

// candidates returns the warm targets in which this instance has part of its share
// left, and the total slots of all warm targets that are not out of service.
func (a *Fallback) candidates(config *hemlocktally.Configuration, service hemlocktally.Service, exclude []hemlocktally.TargetName, members int) ([]Candidate, int) {
	now := time.Now()
	slots := 0
	list := make([]Candidate, 0, len(service.Targets))
	for _, t := range service.Targets {
		if config.TargetOut(t) || !a.WarmTargets.Warm(service.Name, t.Name) {
			continue
		}
		slots += t.SlotCount()
		share := max(1, t.SlotCount()/members)
		if now.Before(a.avoidUntil[t.Address]) || slices.Contains(exclude, t.Name) || a.inFlight[t.Address] >= share {
			continue
		}
		list = append(list, Candidate{Target: t, InFlight: a.inFlight[t.Address]})
	}
	return list, slots
}
