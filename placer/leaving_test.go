package placer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// releaseWith releases a grant as done, with changes to the result.
func (h *harness) releaseWith(grant hemlocktally.Grant, change func(*hemlocktally.GrantResult)) []any {
	result := hemlocktally.GrantResult{Grant: grant, Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: 100 * time.Millisecond}
	change(&result)
	return h.update(ReleaseMsg{Result: result})
}

// acquireFresh requests a grant after fresh reports from the named targets.
func (h *harness) acquireFresh(names ...string) []hemlocktally.Grant {
	for _, name := range names {
		h.report(name, 1)
	}
	return grants(h.update(h.request()))
}

// A target that said that it is leaving gets no more calls although the list still has it as
// ready. It gets calls again after a restart.
func TestLeavingTargetGetsNoCallsUntilItRestarts(t *testing.T) {
	c := qt.New(t)
	x := target("x", "a")
	x.Target.Started = 1
	h := newHarness(x)
	got := h.acquireFresh("x")
	c.Assert(got, qt.HasLen, 1)
	h.releaseWith(got[0], func(r *hemlocktally.GrantResult) { r.ReportedDraining = true })
	for range 3 {
		h.advance(3 * time.Second)
		h.configure(nil, x)
		c.Check(h.acquireFresh("x"), qt.HasLen, 0)
	}
	x.Target.Started = 2
	h.configure(nil, x)
	c.Check(h.acquireFresh("x"), qt.HasLen, 1)
}

func TestProbeAnswerCanMarkATargetAsLeaving(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	h.update(LoadReportMsg{Target: "x", Answer: hemlocktally.ResponseInfo{Leaving: true}})
	got := h.acquireFresh("y")
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("y"))
	c.Check(h.acquireFresh("y"), qt.HasLen, 1)
	c.Check(h.acquireFresh("y"), qt.HasLen, 0)
}

// A target that told one instance to stay away still serves the others.
func TestTargetIsAvoidedForTheInstanceThatItRefused(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	h.report("y", 2)
	got := h.acquireFresh("x")
	c.Assert(got, qt.HasLen, 1)
	h.releaseWith(got[0], func(r *hemlocktally.GrantResult) {
		r.Outcome, r.RetryAfter = hemlocktally.AttemptRefused, 2*time.Second
	})
	for range 10 {
		h.advance(190 * time.Millisecond)
		h.report("x", 1)
		h.report("y", 2) // Slower, but it accepts calls.
		got := grants(h.update(h.request()))
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("y"))
		h.releaseWith(got[0], func(*hemlocktally.GrantResult) {})
	}
	h.report("x", 1)
	other := h.request()
	other.From = "other"
	served := grants(h.update(other))
	c.Assert(served, qt.HasLen, 1)
	c.Check(served[0].Target.Name, qt.Equals, hemlocktally.TargetName("x"))
	h.releaseWith(served[0], func(*hemlocktally.GrantResult) {})
	h.advance(400 * time.Millisecond) // The time to stay away is over, including its jitter.
	h.report("x", 1)
	h.report("y", 4)
	afterwards := grants(h.update(h.request()))
	c.Assert(afterwards, qt.HasLen, 1)
	c.Check(afterwards[0].Target.Name, qt.Equals, hemlocktally.TargetName("x"))
}

// While every target asks the instance to stay away, calls are refused at once. Their
// Retry-After must be neither before the end of that time nor the same for all.
func TestCallsAreRefusedAtOnceWhileAllTargetsAskToStayAway(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	for _, name := range []string{"x", "y"} {
		got := h.acquireFresh(name)
		c.Assert(got, qt.HasLen, 1)
		h.releaseWith(got[0], func(r *hemlocktally.GrantResult) {
			r.Outcome, r.RetryAfter = hemlocktally.AttemptRefused, 3*time.Second
		})
	}
	h.advance(time.Second)
	delays := map[time.Duration]bool{}
	for range 20 {
		refused := refusals(h.update(h.request()))
		c.Assert(refused, qt.HasLen, 1)
		c.Check(refused[0].Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
		c.Check(refused[0].RetryAfter >= 2*time.Second, qt.IsTrue)
		c.Check(refused[0].RetryAfter <= 2600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", refused[0].RetryAfter))
		delays[refused[0].RetryAfter] = true
	}
	c.Check(len(delays) > 10, qt.IsTrue)
	c.Check(h.state.Waiting(), qt.Equals, 0)
}

// newTestClient returns a client whose own server decides and knows nothing of what targets
// told the instance, as after a takeover or with an older list.
func newTestClient(t *testing.T, names ...string) *Client {
	t.Helper()
	server := &Server{Self: "self", Bounds: Bounds{RetryWindow: time.Second}, Prober: emptyProber{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	var targets []hemlocktally.Registration
	for _, name := range names {
		targets = append(targets, target(name, "a"))
	}
	server.Configure(map[hemlocktally.ServiceName]TargetsMsg{"s": {Service: hemlocktally.Service{Name: "s"}, Targets: targets}})
	for !server.CanDecide("s") {
		time.Sleep(time.Millisecond)
	}
	members := fixedView{{ID: "self", State: hemlocktally.InstanceServing}}
	return &Client{Self: "self", Zone: "a", View: members, Server: server, Alone: &Server{Self: "self", Alone: true, Prober: emptyProber{}}}
}

type emptyProber struct{}

func (emptyProber) Load(context.Context, hemlocktally.Target, string) (hemlocktally.ResponseInfo, error) {
	return hemlocktally.ResponseInfo{}, nil
}

type fixedView []hemlocktally.Instance

func (v fixedView) View() hemlocktally.View { return hemlocktally.View{Members: v} }

// What a target told the instance applies whichever server decides.
func TestClientAvoidsTargetsByItsOwnMemory(t *testing.T) {
	for name, result := range map[string]hemlocktally.GrantResult{
		"the target is leaving":        {ReportedDraining: true},
		"the target asks to stay away": {RetryAfter: time.Minute},
		"both, in one answer":          {ReportedDraining: true, RetryAfter: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := newTestClient(t, "x", "y")
			result.Grant = hemlocktally.Grant{Service: "s", Target: target("x", "a").Target}
			client.avoidList.record(result, time.Now())
			for _, kind := range []hemlocktally.AttemptKind{hemlocktally.AttemptFirst, hemlocktally.AttemptFirst} {
				grant, err := client.Acquire(context.Background(), hemlocktally.GrantRequest{
					Service: "s", Contract: "c", Kind: kind, Deadline: time.Now().Add(5 * time.Second),
				})
				c.Assert(err, qt.IsNil)
				c.Check(grant.Target.Name, qt.Equals, hemlocktally.TargetName("y"))
				client.Release(hemlocktally.GrantResult{Grant: grant, Outcome: hemlocktally.AttemptDone})
			}
		})
	}
}

// A target with another address or a later start is a new incarnation and is not avoided.
func TestAvoidanceEndsWhenATargetRestarts(t *testing.T) {
	c := qt.New(t)
	var list avoidList
	now := time.Now()
	old := hemlocktally.Target{Name: "x", Address: "1.2.3.4:5", Started: 7}
	c.Check(list.record(hemlocktally.GrantResult{Grant: hemlocktally.Grant{Target: old}, ReportedDraining: true}, now), qt.IsTrue)
	c.Check(list.record(hemlocktally.GrantResult{Grant: hemlocktally.Grant{Target: old}, ReportedDraining: true}, now), qt.IsFalse)
	_, avoided := list.find(old, now.Add(5*time.Minute))
	c.Check(avoided, qt.IsTrue)
	for _, next := range []hemlocktally.Target{{Name: "x", Address: "1.2.3.4:6", Started: 7}, {Name: "x", Address: "1.2.3.4:5", Started: 8}} {
		_, avoided = list.find(next, now)
		c.Check(avoided, qt.IsFalse)
	}
}
