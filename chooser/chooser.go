// Package chooser holds the routing policies that need no owner: each entry
// decides on its own counts. They are the baselines of the bench, and the way
// on while no owner answers.
package chooser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"hemlocktally"
)

// Policy picks one of the candidates, which are never empty.
type Policy func(random *rand.Rand, candidates []Candidate) int

// Candidate is a target with the entry's own count of work in flight there.
type Candidate struct {
	Target   hemlocktally.Target
	InFlight int
}

// Random picks any candidate.
func Random(random *rand.Rand, candidates []Candidate) int {
	return random.IntN(len(candidates))
}

// LeastInFlight picks the candidate with the least work of this entry, by
// chance among equals.
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

// TwoChoices picks the better one of two candidates drawn by chance.
func TwoChoices(random *rand.Rand, candidates []Candidate) int {
	a := random.IntN(len(candidates))
	b := random.IntN(len(candidates))
	if candidates[b].InFlight < candidates[a].InFlight {
		return b
	}
	return a
}

// Chooser implements hemlocktally.Granter on the entry's own counts.
type Chooser struct {
	Configuration hemlocktally.Configurer
	Policy        Policy // Policy is LeastInFlight where it is nil.
	Seed          uint64

	mu       sync.Mutex
	random   *rand.Rand
	granted  uint64
	inFlight map[string]int // inFlight counts by address.
}

// Acquire grants a turn at once.
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
			Detail: fmt.Sprintf("no target of %s takes work", request.Service),
		}
	}
	policy := c.Policy
	if policy == nil {
		policy = LeastInFlight
	}
	target := candidates[policy(c.random, candidates)].Target
	c.inFlight[target.Address]++
	c.granted++
	return hemlocktally.Grant{
		ID:      hemlocktally.GrantID(fmt.Sprintf("alone/%d", c.granted)),
		Service: request.Service, Target: target, Revision: config.Revision, Deadline: request.Deadline, Alone: true,
	}, nil
}

// Release gives the turn back.
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
