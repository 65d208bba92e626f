package configurator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

// lineage returns a line of accepted changes and the configurations after each.
func lineage(name string, count int) ([]hemlocktally.Accepted, []*hemlocktally.Configuration) {
	var changes []hemlocktally.Accepted
	configs := []*hemlocktally.Configuration{{}}
	for i := range count {
		accepted := hemlocktally.Accepted{Revision: hemlocktally.Revision(i + 1), Change: hemlocktally.Change{
			ID: fmt.Sprint(name, i), Commands: []hemlocktally.Command{{
				Kind:    hemlocktally.CommandPutService,
				Service: &hemlocktally.Service{Name: hemlocktally.ServiceName(fmt.Sprint("service-", i%3)), ProbePath: fmt.Sprint(name, i)},
			}},
		}}
		accepted.Hash = chain(configs[i].Hash, accepted)
		next, err := configs[i].Apply(accepted)
		if err != nil {
			panic(err)
		}
		changes, configs = append(changes, accepted), append(configs, next)
	}
	return changes, configs
}

// TestRevisionsOnlyRise hands a State stale, repeated, reordered and foreign
// messages; what is in force never falls back and is always the true content.
func TestRevisionsOnlyRise(t *testing.T) {
	changes, configs := lineage("a", 12)
	foreign, foreignConfigs := lineage("b", 12)
	rapid.Check(t, func(t *rapid.T) {
		var s State
		last := hemlocktally.Revision(0)
		s.Update(ChangesMsg{Changes: changes[:1]}, time.Time{})
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			from := rapid.IntRange(0, 11).Draw(t, "from")
			to := rapid.IntRange(from, 12).Draw(t, "to")
			var msg Msg
			wrong := false
			switch rapid.SampledFrom([]string{"changes", "whole", "foreign", "foreign whole", "seen"}).Draw(t, "kind") {
			case "changes":
				msg = ChangesMsg{Changes: changes[from:to]}
			case "whole":
				msg = WholeMsg{Configuration: configs[to], Recent: changes[from:to]}
			case "foreign":
				msg, wrong = ChangesMsg{Changes: foreign[from:to]}, true
			case "foreign whole":
				msg, wrong = WholeMsg{Configuration: foreignConfigs[to], Recent: foreign[0:to]}, true
			case "seen":
				msg = SeenMsg{Revision: hemlocktally.Revision(to), Hash: configs[to].Hash}
			}
			cmds := s.Update(msg, time.Time{})
			present := s.Accepted()
			if present.Revision < last {
				t.Fatalf("revision fell from %d to %d", last, present.Revision)
			}
			if present.Hash != configs[present.Revision].Hash {
				t.Fatalf("other content at revision %d", present.Revision)
			}
			if isDivergent(cmds) && !wrong {
				t.Fatal("true content was called divergent")
			}
			last = present.Revision
		}
	})
}

func TestOtherContentOfARevisionIsReported(t *testing.T) {
	c := qt.New(t)
	changes, _ := lineage("a", 3)
	foreign, foreignConfigs := lineage("b", 4)
	for name, msg := range map[string]Msg{
		"changes": ChangesMsg{Changes: foreign},
		"whole":   WholeMsg{Configuration: foreignConfigs[4], Recent: foreign},
		"seen":    SeenMsg{Revision: 2, Hash: foreign[1].Hash},
	} {
		var s State
		s.Update(ChangesMsg{Changes: changes}, time.Time{})
		c.Check(isDivergent(s.Update(msg, time.Time{})), qt.IsTrue, qt.Commentf("%s", name))
		c.Check(s.Accepted().Hash, qt.Equals, changes[2].Hash)
	}
}

func TestChangesAreKeptForPeers(t *testing.T) {
	c := qt.New(t)
	changes, _ := lineage("a", recentLimit+10)
	var s State
	s.Update(ChangesMsg{Changes: changes}, time.Time{})
	kept, ok := s.After(20)
	c.Check(ok, qt.IsTrue)
	c.Check(kept, qt.HasLen, recentLimit+10-20)
	_, ok = s.After(2)
	c.Check(ok, qt.IsFalse)
	_, ok = s.After(recentLimit + 10)
	c.Check(ok, qt.IsTrue)
}

func TestProvisionalStopOnlyTakesOut(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var s State
	put := hemlocktally.Accepted{Revision: 1, Change: hemlocktally.Change{ID: "put", Commands: []hemlocktally.Command{{
		Kind: hemlocktally.CommandPutService, Service: &hemlocktally.Service{Name: "log", Targets: []hemlocktally.Target{
			{Name: "log-1", Address: "10.0.0.1:80", Zone: "north"},
		}},
	}}}}
	put.Hash = chain("", put)
	s.Update(ChangesMsg{Changes: []hemlocktally.Accepted{put}}, now)
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
	c.Check(s.Effective().ZoneOut("north"), qt.IsFalse, qt.Commentf("a settled stop came back"))
}

func TestRestoreWaitsForALaggingReplica(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var r restorer
	c.Check(r.due(true, now), qt.IsFalse)
	c.Check(r.due(true, now.Add(restoreDelay)), qt.IsTrue)
	c.Check(r.due(false, now.Add(restoreDelay)), qt.IsFalse)
	c.Check(r.due(true, now.Add(2*restoreDelay)), qt.IsFalse)
}
