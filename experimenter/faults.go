package experimenter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"hemlocktally"
	"hemlocktally/allocator"
	"hemlocktally/imitator"
)

// faulter sets the faults of a scenario while its load runs. Each target's
// faults are kept here, because setting them replaces those in force.
type faulter struct {
	scenario Scenario
	fleet    *Fleet
	seed     uint64
	random   *rand.Rand
	faults   []imitator.TargetFaults
	errors   []error
}

// faultStep is how often faults are looked at.
const faultStep = 5 * time.Millisecond

func (f *faulter) run(ctx context.Context) {
	f.random = rand.New(rand.NewPCG(f.seed, 14))
	f.faults = make([]imitator.TargetFaults, f.scenario.Targets)
	for i := range f.faults {
		f.faults[i] = imitator.TargetFaults{LieIdle: f.scenario.LieIdle, LoadLag: f.scenario.LoadLag}
		f.set(i)
	}
	stragglers := f.scenario.stragglers(f.seed)
	started := time.Now()
	ticker := time.NewTicker(faultStep)
	defer ticker.Stop()
	last := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Since(started)
		f.straggle(stragglers, last, now)
		f.chill(last, now)
		f.silence(last, now)
		f.stop(ctx, last, now)
		f.outage(last, now)
		last = now
	}
}

func (f *faulter) set(i int) { f.target(i).SetFaults(f.faults[i]) }

func (f *faulter) target(i int) *imitator.Target {
	return f.fleet.Targets[fmt.Sprintf("%s/%s-%d", benchService, benchService, i+1)]
}

// passed reports whether the moment at lies between two looks.
func passed(at, last, now time.Duration) bool { return at > 0 && last < at && at <= now }

// began reports whether a period began between two looks.
func began(every, last, now time.Duration) bool { return every > 0 && last/every != now/every }

func (f *faulter) straggle(stragglers []int, last, now time.Duration) {
	s := f.scenario
	if s.StraggleEvery <= 0 {
		return
	}
	slow := func(t time.Duration) int {
		period := int(t / s.StraggleEvery)
		if t%s.StraggleEvery >= s.StraggleFor || period >= len(stragglers) {
			return -1
		}
		return stragglers[period]
	}
	before, after := slow(last), slow(now)
	if last == 0 {
		before = -1
	}
	if before == after {
		return
	}
	if before >= 0 {
		f.faults[before].Slow = 0
		f.set(before)
	}
	if after >= 0 {
		f.faults[after].Slow = s.StraggleSlow
		f.set(after)
	}
}

func (f *faulter) chill(last, now time.Duration) {
	if !began(f.scenario.ColdEvery, last, now) {
		return
	}
	i := f.random.IntN(f.scenario.Targets)
	f.faults[i].Cold = true
	f.set(i)
	f.faults[i].Cold = false
	f.set(i)
}

func (f *faulter) silence(last, now time.Duration) {
	if !began(f.scenario.SilentEvery, last, now) {
		return
	}
	i := f.random.IntN(f.scenario.Targets)
	f.faults[i].SilentLinks = true
	f.set(i)
	f.faults[i].SilentLinks = false
	f.set(i)
}

// outage takes the key-value service down and brings it back.
func (f *faulter) outage(last, now time.Duration) {
	if passed(f.scenario.StoreDownAt, last, now) {
		f.fleet.Platform.SetFaults(imitator.PlatformFaults{Down: true})
	}
	if passed(f.scenario.StoreBackAt, last, now) {
		f.fleet.Platform.SetFaults(imitator.PlatformFaults{})
	}
}

func (f *faulter) stop(ctx context.Context, last, now time.Duration) {
	if passed(f.scenario.ZoneOutAt, last, now) {
		f.command(ctx, hemlocktally.CommandZoneOut)
	}
	if passed(f.scenario.ZoneBackAt, last, now) {
		f.command(ctx, hemlocktally.CommandZoneBack)
		for i := range f.faults {
			if i%len(f.fleet.Deployment.Zones) == 0 {
				f.faults[i].Cold = true
				f.set(i)
				f.faults[i].Cold = false
				f.set(i)
			}
		}
	}
	if passed(f.scenario.CrashAt, last, now) {
		f.crashOwner()
	}
}

// command takes the first zone out or back.
func (f *faulter) command(ctx context.Context, kind hemlocktally.CommandKind) {
	change := hemlocktally.Change{ID: "bench-" + string(kind), Author: "bench", Commands: []hemlocktally.Command{{
		Kind: kind, Name: string(f.fleet.Deployment.Zones[0]),
	}}}
	change.Base = f.fleet.Daemons[0].Revision()
	if err := f.fleet.Daemons[0].Change(ctx, change); err != nil {
		f.errors = append(f.errors, err)
	}
}

func (f *faulter) crashOwner() {
	members := make([]hemlocktally.Instance, 0, len(f.fleet.Daemons))
	for _, d := range f.fleet.Daemons {
		members = append(members, d.Self())
	}
	owner, _ := allocator.OwnerOf(benchService, members)
	for i, member := range members {
		if member.ID == owner.ID {
			f.fleet.Crash(i)
		}
	}
}
