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

// Warmth tells which targets an owner lately said to be warm.
type Warmth interface {
	Warm(service hemlocktally.ServiceName, target hemlocktally.TargetName) bool
}

// Alone is the way on of one entry while no owner answers. It gives turns on
// its own counts, up to its fair share of each warm target, and none on a cold
// one. It implements hemlocktally.Granter.
type Alone struct {
	Self          hemlocktally.InstanceID
	Incarnation   string
	Configuration hemlocktally.Configurer
	Members       hemlocktally.Viewer
	Warmth        Warmth
	Seed          uint64

	mu       sync.Mutex
	random   *rand.Rand
	granted  uint64
	inFlight map[string]int                            // inFlight counts by address.
	total    map[hemlocktally.ServiceName]int          // total counts by service.
	shunned  map[string]time.Time                      // shunned is until when an address gets nothing, after a failure or a word of cold.
	tokens   map[hemlocktally.ContractName]aloneTokens // tokens holds the entry's share of the budgets.
}

// aloneTokens are the further attempts that the entry's own calls allow.
type aloneTokens struct {
	retries float64
	hedges  float64
}

const (
	shunTime     = 500 * time.Millisecond
	aloneBurst   = 1.0
	overFair     = 2 // overFair is how much of its fair share an entry may use in all.
	leastTrickle = 2
	comeBack     = 50 * time.Millisecond
)

// Acquire grants a turn at once, or refuses where the entry's share is in use.
func (a *Alone) Acquire(_ context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	config := a.Configuration.Current()
	service, _ := config.Service(request.Service)
	members := max(1, len(a.Members.View().Serving()))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if !a.allow(config, request) {
		return hemlocktally.Grant{}, aloneRefusal(hemlocktally.ReasonRetryBudget, "no further attempts are left while the owner is away")
	}
	candidates, slots := a.candidates(config, service, request.Exclude, members)
	if len(candidates) == 0 || a.total[request.Service] >= max(leastTrickle, overFair*slots/members) {
		detail := fmt.Sprintf("the owner of %s is away and this instance's share is in use", request.Service)
		return hemlocktally.Grant{}, aloneRefusal(hemlocktally.ReasonShed, detail)
	}
	target := candidates[LeastInFlight(a.random, candidates)].Target
	a.inFlight[target.Address]++
	a.total[request.Service]++
	a.granted++
	return hemlocktally.Grant{
		ID:      hemlocktally.GrantID(fmt.Sprintf("alone/%s/%s/%d", a.Self, a.Incarnation, a.granted)),
		Service: request.Service, Target: target, Revision: config.Revision, Deadline: request.Deadline, Alone: true,
	}, nil
}

func aloneRefusal(reason hemlocktally.Reason, detail string) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: comeBack}
}

// Release gives the turn back.
func (a *Alone) Release(result hemlocktally.GrantResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	address := result.Grant.Target.Address
	a.inFlight[address]--
	a.total[result.Grant.Service]--
	failed := result.Outcome == hemlocktally.AttemptFailed || result.Outcome == hemlocktally.AttemptRefused
	if failed || result.SaidCold || result.SaidDraining {
		a.shunned[address] = time.Now().Add(shunTime)
	}
}

func (a *Alone) init() {
	if a.random != nil {
		return
	}
	a.random = rand.New(rand.NewPCG(a.Seed, 4))
	a.inFlight = map[string]int{}
	a.total = map[hemlocktally.ServiceName]int{}
	a.shunned = map[string]time.Time{}
	a.tokens = map[hemlocktally.ContractName]aloneTokens{}
}

// allow keeps the budget of further attempts: a share of the entry's own calls,
// so that the entries' budgets add up to the fleet's.
func (a *Alone) allow(config *hemlocktally.Configuration, request hemlocktally.GrantRequest) bool {
	i := slices.IndexFunc(config.Contracts, func(c hemlocktally.Contract) bool { return c.Name == request.Contract })
	if i < 0 {
		return request.Kind == hemlocktally.AttemptFirst
	}
	t := a.tokens[request.Contract]
	ok := true
	switch request.Kind {
	case hemlocktally.AttemptFirst:
		t.retries = min(aloneBurst, t.retries+config.Contracts[i].RetryShare())
		t.hedges = min(aloneBurst, t.hedges+config.Contracts[i].HedgeShare())
	case hemlocktally.AttemptRetry:
		if ok = t.retries >= 1; ok {
			t.retries--
		}
	case hemlocktally.AttemptHedge:
		if ok = t.hedges >= 1; ok {
			t.hedges--
		}
	}
	a.tokens[request.Contract] = t
	return ok
}

// candidates returns the warm targets with a turn left of the entry's share,
// and the slots of all warm ones.
func (a *Alone) candidates(config *hemlocktally.Configuration, service hemlocktally.Service, exclude []hemlocktally.TargetName, members int) ([]Candidate, int) {
	now := time.Now()
	slots := 0
	list := make([]Candidate, 0, len(service.Targets))
	for _, t := range service.Targets {
		if config.TargetOut(t) || !a.Warmth.Warm(service.Name, t.Name) {
			continue
		}
		slots += t.SlotCount()
		fair := max(1, t.SlotCount()/members)
		if now.Before(a.shunned[t.Address]) || slices.Contains(exclude, t.Name) || a.inFlight[t.Address] >= fair {
			continue
		}
		list = append(list, Candidate{Target: t, InFlight: a.inFlight[t.Address]})
	}
	return list, slots
}
