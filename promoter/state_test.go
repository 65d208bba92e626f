package promoter

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// start lets a fleet run for a while and then orders v2.
func start(t *testing.T, seed int64, rate float64, targets int, speed quality) *model {
	t.Helper()
	m := newModel(t, seed, rate, targets)
	m.speed = speed
	m.run(5 * time.Second)
	m.orderVersion("v2")
	return m
}

// Guards against a good version that is rolled back or completed late, also with little traffic or
// none.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 2, 9, 25, 84, 370} {
		for seed := range int64(5) {
			t.Run(fmt.Sprintf("%v/%d", rate, seed), func(t *testing.T) {
				m := start(t, seed, rate, 23+int(rate/3), good)
				m.run(14 * time.Second)
				m.assertCompleted()
			})
		}
	}
}

// badVersions are versions that are bad in one way each.
var badVersions = map[string]quality{
	"fails":        func(time.Duration, string, int, *rand.Rand) (bool, float64) { return true, 1 },
	"fails partly": func(_ time.Duration, _ string, _ int, r *rand.Rand) (bool, float64) { return r.Float64() < 0.25, 1 },
	"fails rarely": func(_ time.Duration, _ string, _ int, r *rand.Rand) (bool, float64) { return r.Float64() < 0.1, 1 },
	"slow":         func(time.Duration, string, int, *rand.Rand) (bool, float64) { return false, 5 },
	"slow partly": func(_ time.Duration, _ string, _ int, r *rand.Rand) (bool, float64) {
		return false, pick(r.Float64() < 0.35, 6)
	},
	"fails later": func(since time.Duration, _ string, _ int, r *rand.Rand) (bool, float64) {
		return since > 6*time.Second && r.Float64() < 0.4, 1
	},
	"slow later": func(since time.Duration, _ string, _ int, _ *rand.Rand) (bool, float64) {
		return false, pick(since > 6*time.Second, 5)
	},
	"fails by load": func(_ time.Duration, _ string, busy int, r *rand.Rand) (bool, float64) {
		return busy >= 3 && r.Float64() < 0.5, 1
	},
	"slow by load": func(_ time.Duration, _ string, busy int, _ *rand.Rand) (bool, float64) {
		return false, pick(busy >= 3, 5)
	},
	"one contract": func(_ time.Duration, contract string, _ int, r *rand.Rand) (bool, float64) {
		return contract == "a" && r.Float64() < 0.5, 1
	},
	"rare contract": func(_ time.Duration, contract string, _ int, _ *rand.Rand) (bool, float64) {
		return contract == "rare", 1
	},
}

func pick(slow bool, factor float64) float64 {
	if slow {
		return factor
	}
	return 1
}

// Guards against a bad version that is completed, or gets more calls than allowed before it is known
// to be bad.
func TestBadVersionIsRolledBackWithinItsBudget(t *testing.T) {
	for name, speed := range badVersions {
		for _, rate := range []float64{84, 370} {
			for seed := range int64(5) {
				t.Run(fmt.Sprintf("%s/%v/%d", name, rate, seed), func(t *testing.T) {
					m := start(t, seed, rate, 23+int(rate/3), speed)
					m.run(14 * time.Second)
					m.assertRolledBack()
				})
			}
		}
	}
}

// Guards against good versions that are rolled back for results seen in good rollouts: few targets
// of the new version get calls, and some of them crash, lose responses or are slow for a moment.
func TestChanceIsNoBadVersion(t *testing.T) {
	c := qt.New(t)
	for _, counts := range []struct{ before, after hemlocktally.RolloutCounts }{
		{hemlocktally.RolloutCounts{Results: 3927, Failed: 19}, hemlocktally.RolloutCounts{Results: 212, Failed: 8}},
		{hemlocktally.RolloutCounts{Raw: 4109, Long: 26}, hemlocktally.RolloutCounts{Raw: 232, Long: 53}},
		{hemlocktally.RolloutCounts{Results: 8, Failed: 8}, hemlocktally.RolloutCounts{Results: 9, Failed: 9}}, // Calls that fail with either version.
	} {
		e := evidence{contracts: map[hemlocktally.ContractName]*tally{"c": {old: counts.before, new: counts.after}}}
		c.Check(e.worst().probability > lateProbability, qt.IsTrue, qt.Commentf("%s: %g", e.worst().detail, e.worst().probability))
	}
}

// Guards against a version that is rolled back although only a single target of it, or a zone, fails.
func TestFailingZoneIsNoBadVersion(t *testing.T) {
	c := qt.New(t)
	var e evidence
	add := func(zone, target string, outcome hemlocktally.AttemptOutcome) {
		e.add(ResultMsg{New: true, Zone: hemlocktally.ZoneName(zone), Target: hemlocktally.TargetName(target), Contract: "c", Outcome: outcome}, true)
	}
	for range 10 {
		add("a", "a1", hemlocktally.AttemptDone)
		add("b", "b1", hemlocktally.AttemptFailed)
		add("b", "b2", hemlocktally.AttemptFailed)
	}
	_, bad := e.verdict(rollbackProbability)
	c.Check(bad, qt.IsFalse)
	add("a", "a2", hemlocktally.AttemptFailed) // It may be one by chance.
	_, bad = e.verdict(rollbackProbability)
	c.Check(bad, qt.IsFalse)
	add("a", "a1", hemlocktally.AttemptFailed)
	_, bad = e.verdict(rollbackProbability)
	c.Check(bad, qt.IsTrue)
}

// Guards against a slow version that reports itself as slow, and so looks as if only its targets
// were slow for a moment; and against a version being rolled back because of such moments.
func TestReportedPace(t *testing.T) {
	c := qt.New(t)
	var e evidence
	random := rand.New(rand.NewSource(1))
	add := func(isNew bool, target int, pace float64) {
		e.add(ResultMsg{
			New: isNew, Zone: hemlocktally.ZoneName(fmt.Sprint(target % 3)), Target: hemlocktally.TargetName(fmt.Sprint(target)), Contract: "c",
			Latency: time.Duration(pace * float64(200*time.Millisecond)), Pace: pace,
		}, true)
	}
	momentarily := func() float64 { return pick(random.Float64() < 0.1, 7) }
	for n := range 1000 {
		add(false, n%100, momentarily())
	}
	for n := range 150 {
		add(true, n%9, momentarily())
	}
	_, bad := e.verdict(rollbackProbability)
	c.Check(bad, qt.IsFalse)
	e.reset()
	for n := range 30 {
		add(true, n%9, 4)
	}
	_, bad = e.verdict(rollbackProbability)
	c.Check(bad, qt.IsTrue)
}

// Guards against a successor that starts over: a good version is late, a bad one gets the budget
// twice.
func TestSuccessorContinuesAtEachStep(t *testing.T) {
	for at := 200 * time.Millisecond; at < 11*time.Second; at += 400 * time.Millisecond {
		t.Run("good/"+at.String(), func(t *testing.T) {
			m := start(t, 1, 370, 145, good)
			m.run(at)
			m.kill(2300 * time.Millisecond)
			m.run(15*time.Second - at)
			m.assertCompleted()
		})
		for _, name := range []string{"fails rarely", "fails later", "rare contract"} {
			t.Run(name+"/"+at.String(), func(t *testing.T) {
				m := start(t, 1, 370, 145, badVersions[name])
				m.run(at)
				m.kill(2300 * time.Millisecond)
				m.run(15*time.Second - at)
				m.assertRolledBack()
			})
		}
	}
}

// Guards against two deciders that both use the budget while each takes itself for the first owner.
func TestTwoDecidersShareTheBudget(t *testing.T) {
	for seed := range int64(5) {
		for name, speed := range badVersions {
			m := start(t, seed, 370, 145, speed)
			m.turn = func() int { return m.random.Intn(2) } // Each gets half of the calls.
			for range 100 {
				for i := range m.deciders {
					m.send(i, RankMsg{First: true, Member: true, Members: []hemlocktally.InstanceID{"e-0", "e-1"}})
				}
				m.run(140 * time.Millisecond)
			}
			qt.Check(t, m.worst <= 0, qt.IsTrue, qt.Commentf("%s: %.0f calls over the budget\n%v", name, m.worst, m.reasons))
			qt.Check(t, m.lastStatus(), qt.Equals, "RolledBack v2", qt.Commentf("%s\n%v", name, m.reasons))
		}
	}
}

// Guards against a rollout that ends because the store does not answer for some seconds, or whose
// budget is exceeded meanwhile.
func TestStoreAwayForSomeSeconds(t *testing.T) {
	for from := time.Second; from < 7*time.Second; from += time.Second {
		for name, speed := range map[string]quality{"good": good, "bad": badVersions["fails later"]} {
			t.Run(name+from.String(), func(t *testing.T) {
				m := start(t, 1, 370, 145, speed)
				m.run(from)
				m.storeOff = true
				m.run(3 * time.Second)
				m.storeOff = false
				m.changed()
				m.run(12 * time.Second)
				if name == "good" {
					m.assertCompleted()
				} else {
					m.assertRolledBack()
				}
			})
		}
	}
}

// Guards against a write that counts as failed although only its response was lost.
func TestLostResponsesOfWrites(t *testing.T) {
	for seed := range int64(5) {
		m := newModel(t, seed, 370, 145)
		m.loseRate = 0.3
		m.run(5 * time.Second)
		m.orderVersion("v2")
		m.run(14 * time.Second)
		m.assertCompleted()
	}
}

// Guards against calls to a version whose order was deleted, and against a rollout that is completed
// without an order.
func TestDeletedOrderEndsTheRollout(t *testing.T) {
	m := start(t, 1, 370, 145, good)
	m.run(6 * time.Second)
	qt.Assert(t, m.exposed > 0, qt.IsTrue)
	m.order = nil
	m.changed()
	m.run(time.Second)
	exposed := m.exposed
	m.run(10 * time.Second)
	qt.Check(t, m.exposed, qt.Equals, exposed)
	qt.Check(t, m.lastStatus(), qt.Equals, "RolledBack v2")
	qt.Check(t, m.deciders[0].InUse(), qt.Equals, hemlocktally.SoftwareVersion("v1"))
}

// Guards against a second order that inherits the results or the budget of the first one, and
// against calls to the version of the first one.
func TestSecondOrderStartsAnew(t *testing.T) {
	m := start(t, 1, 370, 145, badVersions["fails"])
	m.run(6 * time.Second)
	qt.Assert(t, m.lastStatus(), qt.Equals, "RolledBack v2")
	m.speed = good
	m.orderVersion("v3")
	m.run(12 * time.Second)
	qt.Check(t, m.lastStatus(), qt.Equals, "Completed v3", qt.Commentf("%v", m.reasons))
	m.orderVersion("v1")
	m.run(12 * time.Second)
	qt.Check(t, m.lastStatus(), qt.Equals, "Completed v1")
}

// Guards against a second attempt at the same version that is taken for the order that was rolled
// back.
func TestSameVersionOrderedAgain(t *testing.T) {
	m := start(t, 1, 370, 145, badVersions["fails"])
	m.run(6 * time.Second)
	m.speed = good
	m.orderVersion("v2")
	m.run(13 * time.Second)
	m.assertCompleted()
}

// Guards against completing a rollout whose version no target, or too few targets, have: the old
// targets would be stopped.
func TestVersionWithoutTargetsIsRolledBack(t *testing.T) {
	for _, targets := range []int{0, 3} {
		m := newModel(t, 1, 370, 145)
		m.run(5 * time.Second)
		m.newTargets = targets
		m.orderVersion("v2")
		m.run(13 * time.Second)
		qt.Check(t, m.lastStatus(), qt.Equals, "RolledBack v2", qt.Commentf("%d targets", targets))
		qt.Check(t, m.deciders[0].InUse(), qt.Equals, hemlocktally.SoftwareVersion("v1"))
	}
}

// Guards against a record that can't be read being taken for none: its budget counts as used.
func TestUnreadableRecordCountsAsUsedBudget(t *testing.T) {
	m := newModel(t, 1, 370, 145)
	m.stopped[1] = true
	m.rank()
	order := &hemlocktally.RolloutOrder{Service: "s", Version: "v2", Duration: orderDuration, At: hemlocktally.GenerationVersion{Version: 7}}
	m.send(0, FleetMsg{Rollout: hemlocktally.Rollout{Order: order, Unreadable: true, At: hemlocktally.GenerationVersion{Version: 9}}, Targets: m.registrations()})
	d := m.deciders[0]
	qt.Check(t, d.record.Phase, qt.Equals, hemlocktally.RolloutRunning)
	qt.Check(t, d.used, qt.Equals, 50.0)
	qt.Check(t, d.version, qt.Equals, hemlocktally.StoreVersion(9))
}

// Guards against a decision while rollouts are off.
func TestDisabledRolloutsDecideNothing(t *testing.T) {
	d := &State{Instance: "e"}
	order := &hemlocktally.RolloutOrder{Service: "s", Version: "v2", Duration: orderDuration}
	qt.Check(t, d.Update(FleetMsg{Rollout: hemlocktally.Rollout{Order: order}}, startTime), qt.HasLen, 0)
	qt.Check(t, d.Assign("a", hemlocktally.AttemptFirst, startTime), qt.IsFalse)
}
