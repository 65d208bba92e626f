package configurator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

// makeHistory returns count accepted changes and the configurations before and
// after each: configs[i] is the one at revision i. Histories with different names
// have different content at every revision above 0.
func makeHistory(name string, count int) ([]hemlocktally.AcceptedChange, []*hemlocktally.Configuration) {
	var changes []hemlocktally.AcceptedChange
	configs := []*hemlocktally.Configuration{{}}
	for i := range count {
		accepted := hemlocktally.AcceptedChange{Revision: hemlocktally.Revision(i + 1), Change: hemlocktally.Change{
			ID: fmt.Sprint(name, i), Commands: []hemlocktally.Command{{
				Kind:    hemlocktally.CommandPutService,
				Service: &hemlocktally.Service{Name: hemlocktally.ServiceName(fmt.Sprint("service-", i%3)), ProbePath: fmt.Sprint(name, i)},
			}},
		}}
		accepted.Hash = chainHash(configs[i].Hash, accepted)
		next, err := configs[i].Apply(accepted)
		if err != nil {
			panic(err)
		}
		changes, configs = append(changes, accepted), append(configs, next)
	}
	return changes, configs
}

// TestRevisionNeverDecreases sends stale, repeated, reordered and foreign messages
// to a State. The revision in force must never decrease, and its content must
// always be that of the State's own history.
func TestRevisionNeverDecreases(t *testing.T) {
	changes, configs := makeHistory("a", 12)
	foreign, foreignConfigs := makeHistory("b", 12)
	rapid.Check(t, func(t *rapid.T) {
		var s State
		last := hemlocktally.Revision(0)
		s.Update(ChangesMsg{Changes: changes[:1]}, time.Time{})
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			from := rapid.IntRange(0, 11).Draw(t, "from")
			to := rapid.IntRange(from, 12).Draw(t, "to")
			var msg Msg
			isForeign := false
			switch rapid.SampledFrom([]string{"changes", "whole", "foreign", "foreign whole", "seen"}).Draw(t, "kind") {
			case "changes":
				msg = ChangesMsg{Changes: changes[from:to]}
			case "whole":
				msg = SnapshotMsg{Configuration: configs[to], Recent: changes[from:to]}
			case "foreign":
				msg, isForeign = ChangesMsg{Changes: foreign[from:to]}, true
			case "foreign whole":
				msg, isForeign = SnapshotMsg{Configuration: foreignConfigs[to], Recent: foreign[0:to]}, true
			case "seen":
				msg = RevisionMsg{Revision: hemlocktally.Revision(to), Hash: configs[to].Hash}
			}
			cmds := s.Update(msg, time.Time{})
			present := s.Accepted()
			if present.Revision < last {
				t.Fatalf("revision decreased from %d to %d", last, present.Revision)
			}
			if present.Hash != configs[present.Revision].Hash {
				t.Fatalf("content of another history at revision %d", present.Revision)
			}
			if containsDivergence(cmds) && !isForeign {
				t.Fatal("content of the same history was reported as divergent")
			}
			last = present.Revision
		}
	})
}

func TestDifferentHashForARevisionIsReportedAsDivergence(t *testing.T) {
	c := qt.New(t)
	changes, _ := makeHistory("a", 3)
	foreign, foreignConfigs := makeHistory("b", 4)
	for name, msg := range map[string]Msg{
		"changes": ChangesMsg{Changes: foreign},
		"whole":   SnapshotMsg{Configuration: foreignConfigs[4], Recent: foreign},
		"seen":    RevisionMsg{Revision: 2, Hash: foreign[1].Hash},
	} {
		var s State
		s.Update(ChangesMsg{Changes: changes}, time.Time{})
		c.Check(containsDivergence(s.Update(msg, time.Time{})), qt.IsTrue, qt.Commentf("%s", name))
		c.Check(s.Accepted().Hash, qt.Equals, changes[2].Hash)
	}
}

func TestRecentChangesAreRetainedForPeers(t *testing.T) {
	c := qt.New(t)
	changes, _ := makeHistory("a", maxRecentChanges+10)
	var s State
	s.Update(ChangesMsg{Changes: changes}, time.Time{})
	kept, ok := s.ChangesAfter(20)
	c.Check(ok, qt.IsTrue)
	c.Check(kept, qt.HasLen, maxRecentChanges+10-20)
	_, ok = s.ChangesAfter(2)
	c.Check(ok, qt.IsFalse)
	_, ok = s.ChangesAfter(maxRecentChanges + 10)
	c.Check(ok, qt.IsTrue)
}

func TestProvisionalStopsOnlyTakeOutOfService(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var s State
	put := hemlocktally.AcceptedChange{Revision: 1, Change: hemlocktally.Change{ID: "put", Commands: []hemlocktally.Command{{
		Kind: hemlocktally.CommandPutService, Service: &hemlocktally.Service{Name: "log", Targets: []hemlocktally.Target{
			{Name: "log-1", Address: "10.0.0.1:80", Zone: "north"},
		}},
	}}}}
	put.Hash = chainHash("", put)
	s.Update(ChangesMsg{Changes: []hemlocktally.AcceptedChange{put}}, now)
	stop := func(id string, kind hemlocktally.CommandKind) hemlocktally.ProvisionalStop {
		return hemlocktally.ProvisionalStop{ID: id, State: hemlocktally.StopActive, Commands: []hemlocktally.Command{{Kind: kind, Name: "north"}}}
	}
	s.Update(StopsMsg{Stops: []hemlocktally.ProvisionalStop{stop("back", hemlocktally.CommandZoneBack)}}, now)
	c.Check(s.Stops(""), qt.HasLen, 0)
	out := stop("out", hemlocktally.CommandZoneOut)
	s.Update(StopsMsg{Stops: []hemlocktally.ProvisionalStop{out}}, now)
	c.Check(s.Effective().ZoneOut("north"), qt.IsTrue)
	c.Check(s.Effective().Provisional, qt.HasLen, 1)
	c.Check(s.Accepted().ZoneOut("north"), qt.IsFalse)

	dropped := out
	dropped.State = hemlocktally.StopDropped
	s.Update(StopsMsg{Stops: []hemlocktally.ProvisionalStop{dropped}}, now)
	c.Check(s.Effective().ZoneOut("north"), qt.IsFalse)
	s.Update(StopsMsg{Stops: []hemlocktally.ProvisionalStop{out}}, now.Add(time.Hour))
	c.Check(s.Effective().ZoneOut("north"), qt.IsFalse, qt.Commentf("a settled stop became active again"))
}

func TestRestoreIsDelayedForALaggingReplica(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var r staleTimer
	c.Check(r.due(true, now), qt.IsFalse)
	c.Check(r.due(true, now.Add(restoreDelay)), qt.IsTrue)
	c.Check(r.due(false, now.Add(restoreDelay)), qt.IsFalse)
	c.Check(r.due(true, now.Add(2*restoreDelay)), qt.IsFalse)
}
