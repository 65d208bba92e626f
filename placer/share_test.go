package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

func members(zones ...hemlocktally.ZoneName) []hemlocktally.Instance {
	var list []hemlocktally.Instance
	for i, zone := range zones {
		list = append(list, hemlocktally.Instance{
			ID: hemlocktally.InstanceID(fmt.Sprint("hub-", i)), Zone: zone, State: hemlocktally.InstanceServing,
		})
	}
	return list
}

// The calls of a zone go to its own hub; where it has none, to one of the others,
// and not all zones without a hub to the same one.
func TestOwnersOfALargeServiceStandInTheirZones(t *testing.T) {
	c := qt.New(t)
	view := hemlocktally.View{Members: members("a", "b", "c", "d"), Split: map[hemlocktally.ServiceName]bool{"large": true}}
	for i, zone := range []hemlocktally.ZoneName{"a", "b", "c", "d"} {
		c.Check(Owners("large", zone, view)[0].ID, qt.Equals, view.Members[i].ID)
		c.Check(Owners("large", zone, view), qt.HasLen, 4)
		c.Check(Owners("small", zone, view), qt.DeepEquals, Owners("small", "a", view))
	}
	heirs := map[hemlocktally.InstanceID]bool{}
	for n := range 40 {
		heirs[Owners("large", hemlocktally.ZoneName(fmt.Sprint("lost-", n)), view)[0].ID] = true
	}
	c.Check(heirs, qt.HasLen, 4)
}

// Each zone's cold targets are handed out by one owner, whatever hubs there are,
// and the shares of the retry budget's slack come to no more than the whole.
func TestSharesOfOwnersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []hemlocktally.ZoneName{"a", "b", "c", "d", "e"}
		var with []hemlocktally.ZoneName
		for _, zone := range zones {
			if rapid.Bool().Draw(t, "hub") {
				with = append(with, zone)
			}
		}
		view := hemlocktally.View{Members: members(with...), Split: map[hemlocktally.ServiceName]bool{"s": true}}
		owners := map[hemlocktally.ZoneName]int{}
		slack := 0.0
		for _, m := range view.Members {
			share := Share("s", m.ID, zones, view)
			for _, zone := range zones {
				if share.leads(zone) {
					owners[zone]++
				}
			}
			s := State{Bounds: Bounds{RetrySlack: 56}, share: share}
			slack += s.ownBounds().RetrySlack
		}
		for _, zone := range zones {
			if len(with) > 0 && owners[zone] != 1 {
				t.Fatalf("%d owners hand out the cold targets of %s", owners[zone], zone)
			}
		}
		if slack > 56.001 {
			t.Fatalf("slack of %f in all", slack)
		}
	})
}

// Only the owner of its zone gives calls to a cold target.
func TestColdTargetsOfOtherZonesGetNothing(t *testing.T) {
	c := qt.New(t)
	for zone, want := range map[hemlocktally.ZoneName]int{"a": 1, "b": 0} {
		d := newDesk()
		cold := target("x", string(zone))
		cold.ColdFor = 3 * time.Second
		d.update(TargetsMsg{
			Service: hemlocktally.Service{Name: "s", ProbePath: "/health", ColdPerSecond: 6.5}, Targets: []hemlocktally.Registration{cold},
			Share: OwnerShare{Owners: 2, Zones: map[hemlocktally.ZoneName]bool{"a": true}},
		})
		d.report("x", 1)
		ask := d.request()
		ask.Request.Objective = d.now.Add(2 * time.Second)
		c.Check(grants(d.update(ask)), qt.HasLen, want, qt.Commentf("%s", zone))
	}
}

// One of several owners admits by the slots of its zones: those of others are not
// its to give.
func TestOwnerOfAZoneAdmitsByItsPart(t *testing.T) {
	c := qt.New(t)
	admitted := map[int]int{}
	for _, owners := range []int{1, 5} {
		d := manyTargets(100)
		if owners > 1 {
			d.state.share = OwnerShare{Owners: owners, Zones: map[hemlocktally.ZoneName]bool{"z0": true}}
		}
		for i := range 100 {
			name := hemlocktally.TargetName(fmt.Sprint("t", i))
			d.update(LoadMsg{Target: name, Answer: hemlocktally.AnswerHeader{Load: &hemlocktally.Load{Running: 2, Slots: 2, Pace: 1}}})
		}
		for range 400 {
			ask := d.request()
			ask.Spilled = true
			if len(refusals(d.update(ask))) == 0 {
				admitted[owners]++
			}
		}
	}
	c.Check(admitted[1] > 3*admitted[5], qt.IsTrue, qt.Commentf("%v", admitted))
	c.Check(admitted[5] > 0, qt.IsTrue)
}
