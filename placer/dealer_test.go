package placer_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/placer"
)

func hubs(fleet, count int, weight float64) []hemlocktally.Instance {
	var list []hemlocktally.Instance
	for n := range count {
		list = append(list, hemlocktally.Instance{ID: hemlocktally.InstanceID(fmt.Sprintf("edge-%d-%d", fleet, n)), Weight: weight})
	}
	return list
}

func services(fleet, count int) []hemlocktally.ServiceName {
	var list []hemlocktally.ServiceName
	for n := range count {
		list = append(list, hemlocktally.ServiceName(fmt.Sprintf("s%d-%d", fleet, n)))
	}
	return list
}

// Each of three busy services has a hub of its own among four small ones, whatever
// their names.
func TestBusyServicesDontShareAnOwner(t *testing.T) {
	c := qt.New(t)
	for fleet := range 200 {
		owners := map[hemlocktally.InstanceID]int{}
		for _, owner := range placer.Dealt(services(fleet, 3), hubs(fleet, 4, 0.32)) {
			owners[owner]++
		}
		c.Assert(owners, qt.HasLen, 3)
	}
}

// A zone whose strong instances are stopped has a weak hub. It owns nothing while
// strong ones are there.
func TestWeakHubsOwnNothingBesideStrongOnes(t *testing.T) {
	c := qt.New(t)
	for fleet := range 50 {
		members := append(hubs(fleet, 2, 0.8), hemlocktally.Instance{ID: "weak", Weight: 0.16})
		for service, owner := range placer.Dealt(services(fleet, 5), members) {
			c.Assert(owner, qt.Not(qt.Equals), hemlocktally.InstanceID("weak"), qt.Commentf("%s", service))
		}
	}
	c.Check(placer.Dealt(services(0, 2), nil), qt.HasLen, 0)
	alone := placer.Dealt(services(0, 2), hubs(0, 1, 0.16))
	c.Check(alone, qt.HasLen, 2)
}

// A hub that goes leaves most services with their owners.
func TestHubThatGoesMovesFewServices(t *testing.T) {
	c := qt.New(t)
	members, all := hubs(1, 8, 1), services(1, 400)
	before, after := placer.Dealt(all, members), placer.Dealt(all, members[1:])
	moved := 0
	for service, owner := range before {
		if owner != members[0].ID && after[service] != owner {
			moved++
		}
	}
	c.Check(moved <= len(all)/4, qt.IsTrue, qt.Commentf("%d of %d", moved, len(all)))
}
