package allocator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// harness sends messages to a State and controls its clock.
type harness struct {
	c          *qt.C
	state      *State
	now        time.Time
	lastTicket uint64
}

func newHarness(t *testing.T, targets int) *harness {
	t.Helper()
	h := &harness{c: qt.New(t), state: &State{Owner: "one", Epoch: "E"}, now: time.Unix(1000, 0)}
	h.configure(targets, nil)
	h.update(ExclusivityMsg{Until: h.now.Add(time.Hour), Owner: true})
	return h
}

func (h *harness) configure(targets int, out map[hemlocktally.TargetName]bool) []Command {
	service := hemlocktally.Service{Name: "reads"}
	for i := range targets {
		service.Targets = append(service.Targets, hemlocktally.Target{
			Name: target(i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: "a",
		})
	}
	return h.update(ConfigurationMsg{
		Service: service, OutOfService: out, Contracts: []hemlocktally.Contract{{Name: "Reads", RetryBudget: 0.1, HedgeBudget: 0.05}},
	})
}

func target(i int) hemlocktally.TargetName {
	return hemlocktally.TargetName(fmt.Sprintf("t%d", i))
}

// update applies a message and fails the test if an invariant does not hold.
func (h *harness) update(msg any) []Command {
	h.c.Helper()
	commands := h.state.Update(msg, h.now)
	for _, command := range commands {
		broken, ok := command.(InvariantBrokenCmd)
		h.c.Assert(ok, qt.IsFalse, qt.Commentf("%s: %s", broken.Invariant, broken.Detail))
	}
	return commands
}

func (h *harness) request(priority hemlocktally.Priority) hemlocktally.GrantRequest {
	return hemlocktally.GrantRequest{
		Service: "reads", Contract: "Reads", Priority: priority, Deadline: h.now.Add(time.Second), QueueLimit: 500 * time.Millisecond,
	}
}

func (h *harness) acquire(request hemlocktally.GrantRequest) []Command {
	h.lastTicket++
	return h.update(AcquireMsg{Ticket: h.lastTicket, Request: request, Requester: "entry"})
}

func (h *harness) complete(grant hemlocktally.Grant, outcome hemlocktally.AttemptOutcome, latency time.Duration) []Command {
	return h.update(ResultMsg{Grant: grant.ID, Target: grant.Target.Name, Outcome: outcome, Latency: latency})
}

func grants(commands []Command) []hemlocktally.Grant {
	var list []hemlocktally.Grant
	for _, command := range commands {
		if g, ok := command.(GrantCmd); ok {
			list = append(list, g.Grant)
		}
	}
	return list
}

func refusals(commands []Command) []*hemlocktally.RefusedError {
	var list []*hemlocktally.RefusedError
	for _, command := range commands {
		if r, ok := command.(RefuseCmd); ok {
			list = append(list, r.Error)
		}
	}
	return list
}

// makeAllWarm makes every target warm by fast responses, and fills the latency
// window.
func (h *harness) makeAllWarm() {
	h.c.Helper()
	for range 200 {
		for _, g := range grants(h.acquire(h.request(hemlocktally.PriorityNormal))) {
			h.now = h.now.Add(10 * time.Millisecond)
			h.complete(g, hemlocktally.AttemptDone, 10*time.Millisecond)
		}
	}
	for _, t := range h.state.targets {
		h.c.Assert(t.state(), qt.Equals, hemlocktally.TargetWarm)
	}
}

// acquireAll acquires grants until none is free and returns them.
func (h *harness) acquireAll(priority hemlocktally.Priority) []hemlocktally.Grant {
	var taken []hemlocktally.Grant
	for {
		got := grants(h.acquire(h.request(priority)))
		if len(got) == 0 {
			h.update(CancelMsg{Ticket: h.lastTicket})
			return taken
		}
		taken = append(taken, got...)
	}
}
