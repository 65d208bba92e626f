package measurer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/measurer"
)

const timeout = 30 * time.Second

func zoneOutChange(base hemlocktally.Revision, id string) hemlocktally.Change {
	return hemlocktally.Change{ID: id, Author: "operator", Base: base, Commands: []hemlocktally.Command{
		{Kind: hemlocktally.CommandPutService, Service: &hemlocktally.Service{Name: "log", Targets: []hemlocktally.Target{
			{Name: "log-1", Address: "10.0.0.1:80", Zone: "zone-0"},
		}}},
		{Kind: hemlocktally.CommandZoneOut, Name: "zone-0"},
	}}
}

// stopOldest ends the oldest instance as a planned stop does: it leaves the fleet
// first.
func stopOldest(fleet *measurer.Fleet) {
	oldest := fleet.Instances[0]
	fleet.Instances = fleet.Instances[1:]
	oldest.Registrar.Leave()
	oldest.Stop()
}

func TestRollingReplacementInStoreOutageKeepsConfiguration(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fleet, err := measurer.Start(ctx, 3, 1)
	c.Assert(err, qt.IsNil)
	defer fleet.Stop()
	accepted, err := fleet.Instances[0].Configurator.Change(ctx, zoneOutChange(0, "a"))
	c.Assert(err, qt.IsNil)
	c.Assert(fleet.Instances[0].Configurator.WaitInForce(ctx, accepted.Revision, nil), qt.IsNil)
	fleet.Platform.SetFaults(imitator.PlatformFaults{Down: true})
	for range 3 {
		next, err := fleet.Add()
		c.Assert(err, qt.IsNil)
		c.Assert(measurer.WaitFor(ctx, timeout, func() bool { return next.Configurator.Current().Hash == accepted.Hash }), qt.IsNil)
		stopOldest(fleet)
	}
	for _, i := range fleet.Instances {
		c.Check(i.Configurator.Current().ZoneOut("zone-0"), qt.IsTrue)
	}
}

func TestRestartOfWholeFleetReadsConfigurationFromStore(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fleet, err := measurer.Start(ctx, 3, 1)
	c.Assert(err, qt.IsNil)
	defer fleet.Stop()
	accepted, err := fleet.Instances[0].Configurator.Change(ctx, zoneOutChange(0, "a"))
	c.Assert(err, qt.IsNil)
	for range 3 {
		stopOldest(fleet)
	}
	next, err := fleet.Add()
	c.Assert(err, qt.IsNil)
	c.Assert(measurer.WaitFor(ctx, timeout, func() bool { return next.Configurator.Current().Hash == accepted.Hash }), qt.IsNil)
}

// TestLaggingReplicaAndLostAnswersRevertNoChange makes successive changes of the
// configuration while the store serves stale reads and loses the responses to
// writes. Each change must get the next revision, and no instance may diverge.
func TestLaggingReplicaAndLostAnswersRevertNoChange(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fleet, err := measurer.Start(ctx, 3, 4)
	c.Assert(err, qt.IsNil)
	defer fleet.Stop()
	fleet.Platform.SetFaults(imitator.PlatformFaults{StaleReads: 0.3, ReplicaLag: 50 * time.Millisecond, LoseWriteAnswers: 0.3})
	for n := range 10 {
		i := fleet.Instances[n%3]
		base := hemlocktally.Revision(n)
		c.Assert(measurer.WaitFor(ctx, timeout, func() bool { return i.Configurator.Current().Revision >= base }), qt.IsNil)
		accepted, err := i.Configurator.Change(ctx, zoneOutChange(base, string(rune('a'+n))))
		c.Assert(err, qt.IsNil)
		c.Check(accepted.Revision, qt.Equals, base+1)
	}
	for _, i := range fleet.Instances {
		c.Assert(measurer.WaitFor(ctx, timeout, func() bool { return i.Configurator.Current().Revision == 10 }), qt.IsNil)
		c.Check(i.Configurator.Divergences(), qt.Equals, uint64(0))
	}
}
