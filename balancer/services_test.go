package balancer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
)

// Guards against grants in an evacuated zone by an owner that has just restarted and has read
// the targets, but not yet the operators' entries.
func TestNoTargetIsPlacedBeforeTheConfigurationIsKnown(t *testing.T) {
	c := qt.New(t)
	picture := &follower.FleetState{
		Configuration: &hemlocktally.Configuration{},
		Targets:       map[hemlocktally.ServiceName][]hemlocktally.Registration{"s": {{Service: "s", Target: hemlocktally.Target{Name: "t", Zone: "a"}}}},
	}
	c.Check(placedServices(picture, 1), qt.HasLen, 0)
	picture.Configuration = &hemlocktally.Configuration{Revision: 4, Zones: []hemlocktally.AvailabilityZone{{Name: "a", Out: true}}}
	c.Check(placedServices(picture, 1)["s"].Targets, qt.HasLen, 1)
	c.Check(placedServices(picture, 1)["s"].Out["a"], qt.IsTrue)
}
