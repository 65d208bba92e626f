package surveyor

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/runner"
)

const (
	settleTime  = 2 * time.Second
	measureTime = 2 * time.Second
)

// The goals of control for one instance, and the platform's reads a second.
const (
	goalProcessorPercent = 1.9
	goalKBPerSecond      = 14
	goalStoreCalls       = 2000
)

// Fleets measures idle fleets of several sizes, all in this process.
func Fleets(ctx context.Context, instances []int, runs int) ([]Series, error) {
	list := []Series{
		{Role: "all", Cost: "bytes to and from peers, KB/s an instance", Axis: AxisInstances, Goal: goalKBPerSecond},
		{Role: "watcher", Cost: "bytes to and from the store, KB/s an instance", Axis: AxisInstances, Goal: goalKBPerSecond},
		{Role: "store", Cost: "calls of the whole fleet a second", Axis: AxisInstances, Goal: goalStoreCalls},
		{Role: "all", Cost: "processor, % of a core an instance (stand-ins included)", Axis: AxisInstances, Goal: goalProcessorPercent},
		{Role: "all", Cost: "heap, MB an instance (stand-ins included)", Axis: AxisInstances, Goal: 32},
	}
	for _, n := range instances {
		for range runs {
			costs, err := fleetCosts(ctx, n, 0)
			if err != nil {
				return nil, err
			}
			for i, y := range []float64{costs.peerKB, costs.storeKB, costs.storeCalls, costs.processor, costs.heapMB} {
				list[i].Points = append(list[i].Points, Point{float64(n), y})
			}
		}
	}
	return list, nil
}

// Changes measures a fleet of 16 at several rates of changes.
func Changes(ctx context.Context, perMinute []int, runs int) ([]Series, error) {
	const instances = 16
	list := []Series{
		{Role: "peer relay", Cost: "bytes to and from peers, KB/s an instance of 16", Axis: AxisChanges, Goal: goalKBPerSecond},
		{Role: "store", Cost: "calls of 16 instances a second", Axis: AxisChanges, Goal: goalStoreCalls},
		{Role: "all", Cost: "slowest change in force on all of 16, ms", Axis: AxisChanges, Goal: 7000},
	}
	for _, rate := range perMinute {
		for range runs {
			costs, err := fleetCosts(ctx, instances, rate)
			if err != nil {
				return nil, err
			}
			x := float64(rate)
			list[0].Points = append(list[0].Points, Point{x, costs.peerKB})
			list[1].Points = append(list[1].Points, Point{x, costs.storeCalls})
			if rate > 0 {
				list[2].Points = append(list[2].Points, Point{x, costs.slowest.Seconds() * 1000})
			}
		}
	}
	return list, nil
}

// costs are what one run of a fleet cost.
type costs struct {
	peerKB, storeKB, storeCalls, processor, heapMB float64
	slowest                                        time.Duration
}

func fleetCosts(ctx context.Context, instances, changesPerMinute int) (costs, error) {
	deployment := experimenter.Association()
	deployment.Instances = instances
	deployment.Seed = 1
	runtime.GC()
	heapBefore := heapBytes()
	fleet, err := experimenter.Start(ctx, deployment)
	if err != nil {
		return costs{}, err
	}
	pause(ctx, settleTime)
	before, processorBefore, started := traffic(fleet), processorTime(), time.Now()
	slowest, err := change(ctx, fleet, changesPerMinute)
	after, spent := traffic(fleet), time.Since(started).Seconds()
	c := costs{
		peerKB:     float64(after.PeerBytes-before.PeerBytes) / 1000 / spent / float64(instances),
		storeKB:    float64(after.StoreBytes-before.StoreBytes) / 1000 / spent / float64(instances),
		storeCalls: float64(after.StoreCalls-before.StoreCalls) / spent,
		processor:  100 * (processorTime() - processorBefore).Seconds() / spent / float64(instances),
		slowest:    slowest,
	}
	runtime.GC()
	c.heapMB = max(0, float64(heapBytes())-float64(heapBefore)) / 1e6 / float64(instances)
	if stopError := fleet.Stop(); err == nil {
		err = stopError
	}
	return c, err
}

// change makes changes at the rate for the measured time, and returns the
// slowest time until one was in force everywhere.
func change(ctx context.Context, fleet *experimenter.Fleet, perMinute int) (time.Duration, error) {
	end := time.Now().Add(measureTime)
	if perMinute == 0 {
		pause(ctx, measureTime)
		return 0, nil
	}
	interval := time.Minute / time.Duration(perMinute)
	var slowest time.Duration
	for n := 0; time.Now().Before(end); n++ {
		started := time.Now()
		kind := hemlocktally.CommandTargetOut
		if n%2 == 1 {
			kind = hemlocktally.CommandTargetBack
		}
		if err := changeEverywhere(ctx, fleet.Daemons, kind); err != nil {
			return slowest, err
		}
		slowest = max(slowest, time.Since(started))
		pause(ctx, interval-time.Since(started))
	}
	return slowest, nil
}

func changeEverywhere(ctx context.Context, daemons []*runner.Daemon, kind hemlocktally.CommandKind) error {
	first := daemons[0]
	base := first.Revision()
	err := first.Change(ctx, hemlocktally.Change{ID: ulid.Make().String(), Author: "surveyor", Base: base, Commands: []hemlocktally.Command{
		{Kind: kind, Name: "catalogue", Target: "catalogue-1"},
	}})
	if err != nil {
		return fmt.Errorf("change based on revision %d: %w", base, err)
	}
	for _, d := range daemons {
		for d.Revision() <= base {
			if !pause(ctx, time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(0, span)):
		return true
	}
}

func traffic(fleet *experimenter.Fleet) runner.Traffic {
	var sum runner.Traffic
	for _, d := range fleet.Daemons {
		t := d.Traffic()
		sum.PeerBytes += t.PeerBytes
		sum.StoreBytes += t.StoreBytes
		sum.StoreCalls += t.StoreCalls
	}
	return sum
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
