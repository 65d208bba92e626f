// Package chooser holds the routing policies that need no owner: each instance
// decides by its own counts. They are the baselines of the benchmark, and the
// fallback while no owner answers.
package chooser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"hemlocktally"
)

// Policy returns the index of one of the candidates, of which there is at least one.
type Policy func(random *rand.Rand, candidates []Candidate) int

// Candidate is a target with the number of grants that this instance has in
// flight there.
type Candidate struct {
	Target   hemlocktally.Target
	InFlight int
}

// Random picks a candidate uniformly at random.
func Random(random *rand.Rand, candidates []Candidate) int {
	return random.IntN(len(candidates))
}

// LeastInFlight picks the candidate with the fewest grants of this instance in
// flight, at random among equals.
func LeastInFlight(random *rand.Rand, candidates []Candidate) int {
	best, equals := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].InFlight < candidates[best].InFlight:
			best, equals = i, 1
		case candidates[i].InFlight == candidates[best].InFlight:
			equals++
			if random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices draws two candidates at random, with replacement, and picks the one
// with fewer grants in flight.
func TwoChoices(random *rand.Rand, candidates []Candidate) int {
	a := random.IntN(len(candidates))
	b := random.IntN(len(candidates))
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}

// Chooser implements hemlocktally.Granter by the instance's own counts. It is safe
// for concurrent use.
type Chooser struct {
	Configuration hemlocktally.ConfigurationSource
	Policy        Policy // Policy picks the target; nil means LeastInFlight.
	Seed          uint64

	mu         sync.Mutex
	random     *rand.Rand
	grantCount uint64
	inFlight   map[string]int // inFlight counts grants by target address.
}

// Acquire returns a grant without waiting, or a RefusedError with reason NoTarget
// if all targets of the service are excluded or out of service.
func (c *Chooser) Acquire(_ context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	config := c.Configuration.Current()
	service, _ := config.Service(request.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	candidates := c.candidates(config, service, request.Exclude)
	if len(candidates) == 0 {
		return hemlocktally.Grant{}, &hemlocktally.RefusedError{
			Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonNoTarget,
			Detail: fmt.Sprintf("no target of service %s is available", request.Service),
		}
	}
	policy := c.Policy
	if policy == nil {
		policy = LeastInFlight
	}
	target := candidates[policy(c.random, candidates)].Target
	c.inFlight[target.Address]++
	c.grantCount++
	return hemlocktally.Grant{
		ID:      hemlocktally.GrantID(fmt.Sprintf("alone/%d", c.grantCount)),
		Service: request.Service, Target: target, Revision: config.Revision, Deadline: request.Deadline, Alone: true,
	}, nil
}

// Release ends a grant.
func (c *Chooser) Release(result hemlocktally.GrantResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.inFlight[result.Grant.Target.Address]--
	if c.inFlight[result.Grant.Target.Address] <= 0 {
		delete(c.inFlight, result.Grant.Target.Address)
	}
}

func (c *Chooser) init() {
	if c.random != nil {
		return
	}
	c.random = rand.New(rand.NewPCG(c.Seed, 3))
	c.inFlight = map[string]int{}
}

func (c *Chooser) candidates(config *hemlocktally.Configuration, service hemlocktally.Service, exclude []hemlocktally.TargetName) []Candidate {
	list := make([]Candidate, 0, len(service.Targets))
	for _, t := range service.Targets {
		if config.TargetOut(t) || slices.Contains(exclude, t.Name) {
			continue
		}
		list = append(list, Candidate{Target: t, InFlight: c.inFlight[t.Address]})
	}
	return list
}
