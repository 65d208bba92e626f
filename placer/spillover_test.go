package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// compared holds the outcomes of a load with the decision off and on, over several seeds.
type compared struct{ off, on zoneResult }

// compare runs a load with the decision off and on.
func compare(p zoneSimulation, seeds uint64) compared {
	var sums compared
	for seed := range seeds {
		sums.off.add(p.with(false).run(seed + 1))
		sums.on.add(p.with(true).run(seed + 1))
	}
	return sums
}

func (r *zoneResult) add(other zoneResult) {
	r.Asked, r.Prompt, r.Late, r.Refused = r.Asked+other.Asked, r.Prompt+other.Prompt, r.Late+other.Late, r.Refused+other.Refused
	r.Left, r.Hedges, r.MB = r.Left+other.Left, r.Hedges+other.Hedges, r.MB+other.MB
	r.Waits, r.Swings = r.Waits+other.Waits, r.Swings+other.Swings
	if r.Reasons == nil {
		r.Reasons = map[LeaveReason]int{}
	}
	for reason, count := range other.Reasons {
		r.Reasons[reason] += count
	}
}

// lost returns the number of calls that were not answered within their objective.
func (r zoneResult) lost() int { return r.Late + r.Refused }

// With the demand and the targets of the two deployments, more calls must be answered within
// their objective than with the constants, and fewer bytes may pass between zones.
func TestSpilloverServesMoreCallsWithFewerBytes(t *testing.T) {
	for name, load := range map[string]zoneSimulation{
		"gateway calm":  gateway(calm(270), 12*time.Second),
		"gateway waves": gateway(waves(300), 25*time.Second),
		"quick calm":    quick(calm(500), 8*time.Second),
		"quick waves":   quick(waves(600), 10*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := compare(load, 2)
			t.Logf("off: %s", r.off)
			t.Logf("on:  %s", r.on)
			c.Check(r.on.lost() < r.off.lost(), qt.IsTrue)
			c.Check(r.on.MB < 0.9*r.off.MB, qt.IsTrue)
			c.Check(r.on.Left < r.off.Left, qt.IsTrue)
		})
	}
}

// Where all zones together have too few targets, bytes are not saved at the expense of calls: a
// call that waits for its zone while another has a free target takes capacity from all.
func TestSpilloverCostsNothingInAnOverload(t *testing.T) {
	c := qt.New(t)
	r := compare(gateway(waves(350), 15*time.Second), 3)
	t.Logf("off: %s", r.off)
	t.Logf("on:  %s", r.on)
	c.Check(r.on.lost() < r.off.lost(), qt.IsTrue)
	c.Check(r.on.MB < 1.1*r.off.MB, qt.IsTrue)
}

// The shares of the zones must follow the demand and not the noise: the demand of the waves
// changes its direction 15 times in 25 s in three zones.
func TestShareDoesNotSwing(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		r := gateway(waves(290), 25*time.Second).with(true).run(seed + 1)
		c.Check(r.Swings <= 2*15, qt.IsTrue, qt.Commentf("seed %d: %s", seed+1, r))
	}
	for seed := range uint64(2) {
		r := quick(calm(600), 10*time.Second).with(true).run(seed + 1)
		c.Check(r.Swings <= 10, qt.IsTrue, qt.Commentf("seed %d: %s", seed+1, r))
	}
}

// zoneStats returns the counters of one zone's callers.
func (s *zoneSimulator) zoneStats(zone int) ZoneStats {
	for _, z := range s.harness.state.zoneStats() {
		if z.Zone == zoneName(zone) {
			return z
		}
	}
	return ZoneStats{}
}

func (z ZoneStats) total() uint64 {
	sum := uint64(0)
	for _, count := range z.Left {
		sum += count
	}
	return sum
}

// A zone that operators take out of service must send all its calls away at once, without a
// wait, and serve them itself again as soon as it is back.
func TestEvacuatedZoneLeavesAtOnceAndComesHome(t *testing.T) {
	c := qt.New(t)
	load := gateway(calm(120), 9*time.Second)
	load.SlowShare = 0
	var before, during, after ZoneStats
	note := func(stats *ZoneStats) func(*zoneSimulator) {
		return func(s *zoneSimulator) { *stats = s.zoneStats(0) }
	}
	load.Events = []simulatedEvent{
		{3 * time.Second, func(s *zoneSimulator) {
			note(&before)(s)
			s.out[zoneName(0)] = true
			s.configure()
			c.Check(s.zoneStats(0).Share, qt.Equals, 1.0)
		}},
		{5 * time.Second, func(s *zoneSimulator) {
			note(&during)(s)
			s.out[zoneName(0)] = false
			s.configure()
		}},
		{8 * time.Second, note(&after)},
	}
	r := load.with(true).run(1)
	c.Check(before.total(), qt.Equals, uint64(0))
	c.Check(during.Left[LeaveNoTargets], qt.Equals, during.Calls-before.Calls, qt.Commentf("%v", during))
	c.Check(after.total()-during.total() <= (after.Calls-during.Calls)/20, qt.IsTrue, qt.Commentf("%v, then %v", during, after))
	c.Check(r.Refused, qt.Equals, 0)
	c.Check(r.promptShare() > 0.995, qt.IsTrue, qt.Commentf("%s", r))
}

// A zone whose targets don't answer any more must send its calls away as soon as the owner
// has found out, and serve them itself again when they answer.
func TestLostZoneLeavesAndComesHome(t *testing.T) {
	c := qt.New(t)
	load := gateway(calm(120), 14*time.Second)
	load.SlowShare = 0
	var lost, during, back, after ZoneStats
	load.Events = []simulatedEvent{
		{3 * time.Second, func(s *zoneSimulator) { s.dead[zoneName(0)] = true }},
		{4 * time.Second, func(s *zoneSimulator) { lost = s.zoneStats(0) }},
		{7 * time.Second, func(s *zoneSimulator) {
			during = s.zoneStats(0)
			delete(s.dead, zoneName(0))
		}},
		// A target that did not answer is tried again after at most two seconds.
		{10 * time.Second, func(s *zoneSimulator) { back = s.zoneStats(0) }},
		{13 * time.Second, func(s *zoneSimulator) { after = s.zoneStats(0) }},
	}
	load.with(true).run(1)
	away := float64(during.total()-lost.total()) / float64(during.Calls-lost.Calls)
	c.Check(away > 0.9, qt.IsTrue, qt.Commentf("%.2f left while the zone was lost: %v, then %v", away, lost, during))
	c.Check(float64(after.total()-back.total()) <= 0.05*float64(after.Calls-back.Calls), qt.IsTrue, qt.Commentf("%v, then %v", back, after))
}

// The share of a zone whose targets leave the list must change at once, not by the steps that
// keep it from swinging, and so must that of a zone that gets its first targets.
func TestShareFollowsTheListOfTargetsAtOnce(t *testing.T) {
	c := qt.New(t)
	h := spilloverHarness(target("x", "a"), target("y", "b"))
	h.update(h.request())
	share := func() float64 { return h.state.Stats(h.now).Zones[0].Share }
	c.Check(share(), qt.Equals, 0.0)
	h.configureSpillover(target("y", "b"))
	c.Check(share(), qt.Equals, 1.0)
	h.configureSpillover(target("x", "a"), target("y", "b"))
	c.Check(share(), qt.Equals, 0.0)
}

// The log tells when the share of a zone begins and ends, and not each small change of it.
func TestShareIsReported(t *testing.T) {
	c := qt.New(t)
	h := spilloverHarness(target("x", "a"), target("y", "b"))
	h.update(h.request())
	changes := func(commands []any) []SpilloverCmd {
		var list []SpilloverCmd
		for _, command := range commands {
			if change, ok := command.(SpilloverCmd); ok {
				list = append(list, change)
			}
		}
		return list
	}
	msg := TargetsMsg{Service: hemlocktally.Service{Name: "s"}, Targets: []hemlocktally.Registration{target("y", "b")}, Spillover: true}
	got := changes(h.update(msg))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Zone, qt.Equals, hemlocktally.ZoneName("a"))
	c.Check(got[0].Share, qt.Equals, 1.0)
	c.Check(changes(h.update(msg)), qt.HasLen, 0)
	msg.Targets = []hemlocktally.Registration{target("x", "a"), target("y", "b")}
	got = changes(h.update(msg))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Share, qt.Equals, 0.0)
}

// Callers in a zone that no target has must be served like all others, without a wait.
func TestUnknownZoneIsServed(t *testing.T) {
	c := qt.New(t)
	load := gateway(calm(120), 4*time.Second)
	load.SlowShare, load.StrangeZone = 0, true
	s := newZoneSimulator(load.with(true), 1)
	r := s.run()
	c.Check(r.Refused, qt.Equals, 0)
	c.Check(r.promptShare() > 0.995, qt.IsTrue, qt.Commentf("%s", r))
	c.Check(r.Waits/time.Duration(r.Asked) < 3*time.Millisecond, qt.IsTrue, qt.Commentf("%s", r))
	for _, z := range s.harness.state.zoneStats() {
		if z.Zone == "strange" {
			c.Check(z.Share, qt.Equals, 1.0)
			c.Check(z.Left[LeaveNoTargets] > 0, qt.IsTrue)
		}
	}
}

// Zone names come from other instances, so their number must not grow without bound.
func TestZonesTrackedAreBounded(t *testing.T) {
	c := qt.New(t)
	h := spilloverHarness(target("x", "a"))
	for n := range 3 * maxTrackedZones {
		msg := h.request()
		msg.Zone = hemlocktally.ZoneName(fmt.Sprint("zone", n))
		h.update(msg)
	}
	c.Check(len(h.state.spill.zones), qt.Equals, maxTrackedZones)
}

// spilloverHarness returns an owner that weighs the zones and has been in use for long enough.
func spilloverHarness(targets ...hemlocktally.Registration) *harness {
	h := newHarness()
	h.state.Bounds.PricePerMB, h.state.Bounds.ZoneDelay = 40*time.Millisecond, time.Millisecond
	h.configureSpillover(targets...)
	h.state.spill.since, h.state.spill.updatedAt = h.now.Add(-spilloverWarmup), h.now
	return h
}

func (h *harness) configureSpillover(targets ...hemlocktally.Registration) {
	h.update(TargetsMsg{
		Service: hemlocktally.Service{Name: "s", ProbePath: "/health"}, Targets: targets, Spillover: true,
		LargeResponses: []hemlocktally.ContractName{"large"},
	})
}

// reportAll sets the paces of targets, all reported now.
func (h *harness) reportAll(paces map[string]float64) {
	for name, pace := range paces {
		h.report(name, pace)
	}
}

// A call must not run on a slow target of its zone while a quick one is free elsewhere, even
// if the slow one would take only half of the time left.
func TestSlowHomeTargetIsLeft(t *testing.T) {
	c := qt.New(t)
	h := spilloverHarness(target("home", "a"), target("far", "b"))
	h.reportAll(map[string]float64{"home": 2.8, "far": 1})
	msg := h.request()
	msg.Request.Objective = h.now.Add(500 * time.Millisecond)
	h.update(msg)
	got := grants(h.advance(3 * time.Millisecond)) // It first waits as long as the path takes.
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("far"))

	h = newHarness(target("home", "a"), target("far", "b"))
	h.reportAll(map[string]float64{"home": 2.8, "far": 1})
	msg = h.request()
	msg.Request.Objective = h.now.Add(500 * time.Millisecond)
	got = grants(h.update(msg))
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("home"), qt.Commentf("with the constants, nothing changes"))
}

// A large response must be worth its bytes: the same call stays in its zone if its responses
// are large, and waits for a target there as long as its bytes cost.
func TestLargeResponsesStay(t *testing.T) {
	c := qt.New(t)
	h := spilloverHarness(target("home", "a"), target("far", "b"))
	h.state.spill.sizes = map[hemlocktally.ContractName]float64{"large": 5e6}
	ask := func() []hemlocktally.Grant {
		h.reportAll(map[string]float64{"home": 1, "far": 1})
		msg := h.request()
		msg.Request.Contract, msg.Request.Objective = "large", h.now.Add(1200*time.Millisecond)
		msg.ReplyBy = h.now.Add(time.Hour)
		return grants(h.update(msg))
	}
	first, second := ask(), ask()
	c.Assert(append(first, second...), qt.HasLen, 2)
	c.Check(second[0].Target.Name, qt.Equals, hemlocktally.TargetName("home"))
	c.Assert(ask(), qt.HasLen, 0, qt.Commentf("both slots at home are in use"))
	c.Check(grants(h.advance(100*time.Millisecond)), qt.HasLen, 0)
	h.reportAll(map[string]float64{"far": 1})
	got := grants(h.advance(110 * time.Millisecond))
	got = append(got, grants(h.report("far", 1))...)
	c.Assert(got, qt.HasLen, 1, qt.Commentf("5 MB at 40 ms per MB are worth 200 ms"))
	c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("far"))
}

// The objective takes precedence over the price of the path.
func TestObjectivePrecedesThePrice(t *testing.T) {
	c := qt.New(t)
	h := spilloverHarness(target("home", "a"), target("far", "b"))
	h.state.spill.sizes = map[hemlocktally.ContractName]float64{"large": 1e9}
	h.reportAll(map[string]float64{"home": 1, "far": 1})
	for n := range 3 {
		msg := h.request()
		msg.Request.Contract, msg.Request.Objective = "large", h.now.Add(140*time.Millisecond)
		c.Check(grants(h.update(msg)), qt.HasLen, 1, qt.Commentf("call %d has no time to wait for its zone", n))
	}
}

// The size of a contract's responses is learned from the results of its grants, also from
// those of other instances, and counted where they came from another zone.
func TestResponseSizesAreLearned(t *testing.T) {
	c := qt.New(t)
	h := spilloverHarness(target("far", "b"))
	c.Check(h.state.spill.size("large"), qt.Equals, float64(defaultLargeBytes))
	h.report("far", 1)
	got := grants(h.update(h.request()))
	c.Assert(got, qt.HasLen, 1)
	sent := newEndTurnRequest(hemlocktally.GrantResult{Grant: got[0], Contract: "c", ResponseBytes: 2e6})
	h.update(ReleaseMsg{Result: grantResult(sent)})
	c.Check(h.state.spill.size("c"), qt.Equals, 2e6)
	stats := h.state.Stats(h.now).Zones
	c.Assert(stats, qt.HasLen, 1)
	c.Check(stats[0].Bytes, qt.Equals, uint64(2e6))
	c.Check(stats[0].Left[LeaveNoTargets], qt.Equals, uint64(1))
	sent.ResponseBytes = -5
	c.Check(grantResult(sent).ResponseBytes, qt.Equals, int64(0), qt.Commentf("a size from another instance is bounded"))
}

// An owner that has just started, an instance that decides alone, a service outside the
// condition and a deployment that has switched the mechanism off use the constants.
func TestSpilloverOnlyWhereItIsAskedFor(t *testing.T) {
	c := qt.New(t)
	list := []hemlocktally.Registration{target("home", "a"), target("far", "b")}
	h := spilloverHarness(list...)
	c.Check(h.state.spills(h.now), qt.IsTrue)
	h.state.Alone = true
	c.Check(h.state.spills(h.now), qt.IsFalse)
	h = newHarness()
	h.configureSpillover(list...)
	c.Check(h.state.spills(h.now), qt.IsFalse)
	h.update(h.request())
	h.advance(spilloverWarmup - time.Millisecond)
	c.Check(h.state.spills(h.now), qt.IsFalse)
	h.advance(time.Millisecond)
	c.Check(h.state.spills(h.now), qt.IsTrue)
	h.configure(nil, list...)
	c.Check(h.state.spills(h.now), qt.IsFalse)
	for _, mechanism := range []hemlocktally.Mechanism{hemlocktally.MechanismSpillover, hemlocktally.MechanismZoneFirst} {
		h = newHarness()
		h.state.Bounds.Disabled = hemlocktally.Mechanisms{mechanism: true}
		h.configureSpillover(list...)
		h.update(h.request())
		h.advance(2 * spilloverWarmup)
		c.Check(h.state.spills(h.now), qt.IsFalse, qt.Commentf("%s", mechanism))
	}
}

// A deployment outside the condition must be served exactly as before, and so must one that has
// switched the mechanism off.
func TestWithoutSpilloverNothingChanges(t *testing.T) {
	c := qt.New(t)
	load := gateway(waves(300), 8*time.Second)
	off := load.with(true)
	off.Off = true
	c.Check(off.run(1), qt.DeepEquals, load.with(false).run(1))
	s := newZoneSimulator(load.with(false), 1)
	s.run()
	c.Check(s.harness.state.spill.zones, qt.HasLen, 0)
}

// A second attempt is worth its budget only if the first one will miss the objective: it was
// refused for want of budget in nine of ten late calls of a simulated load.
func TestSecondAttemptOnlyForCallsThatWillMiss(t *testing.T) {
	for _, test := range []struct {
		pace    float64
		granted int
	}{{1, 0}, {2, 0}, {5, 1}} {
		t.Run(fmt.Sprint(test.pace), func(t *testing.T) {
			c := qt.New(t)
			h := spilloverHarness(target("x", "a"), target("y", "a"))
			h.state.Bounds.RetryRatio, h.state.Bounds.RetrySlack = 1, 30
			h.reportAll(map[string]float64{"x": 1, "y": 1.1})
			first := h.request()
			got := grants(h.update(first))
			c.Assert(got, qt.HasLen, 1)
			for range 3 { // A quarter of the budget is used.
				h.state.retries.recordRetry(h.now)
			}
			h.now = h.now.Add(125 * time.Millisecond)
			h.reportAll(map[string]float64{"x": test.pace, "y": 1})
			second := h.request()
			second.Request.Kind, second.Request.Exclude = hemlocktally.AttemptHedge, []hemlocktally.TargetName{got[0].Target.Name}
			second.Request.Deadline, second.Request.Objective = first.Request.Deadline, first.Request.Objective
			c.Check(grants(h.update(second)), qt.HasLen, test.granted)
		})
	}
}

// In a large service most of whose targets are free, weighing the zones must not make a choice
// look at more targets than before.
func TestSpilloverExaminesNoMoreTargets(t *testing.T) {
	c := qt.New(t)
	var examined [2]uint64
	for i, spillover := range []bool{false, true} {
		h := manyTargets(500)
		if spillover {
			h.configureSpillover(h.registrations()...)
		}
		for n := range 1500 { // The owner uses the constants for one second.
			c.Assert(h.runCall(n), qt.IsTrue)
		}
		before := h.state.Stats(h.now).Examined
		for n := range 500 {
			c.Assert(h.runCall(n), qt.IsTrue)
		}
		examined[i] = h.state.Stats(h.now).Examined - before
	}
	c.Check(examined[1] <= examined[0], qt.IsTrue, qt.Commentf("%v", examined))
}

// BenchmarkSpilloverGrant measures a whole call at an owner that weighs the zones, for
// comparison with BenchmarkGrant.
func BenchmarkSpilloverGrant(b *testing.B) {
	for _, count := range []int{15, 150, 500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			h := manyTargets(count)
			h.configureSpillover(h.registrations()...)
			for n := 0; b.Loop(); n++ {
				if !h.runCall(n) {
					b.Fatal("no grant was issued")
				}
			}
		})
	}
}

func (h *harness) registrations() []hemlocktally.Registration {
	var list []hemlocktally.Registration
	for _, t := range h.state.sorted {
		list = append(list, t.registration)
	}
	return list
}
