package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowAboveFourFifths is the slowdown of a server whose work takes 1.7 times as long once four
// fifths of its slots are in use.
func slowAboveFourFifths(busy, slots int) float64 {
	if float64(busy) >= 0.8*float64(slots) {
		return 1.7
	}
	return 1
}

func constantSpeed(int, int) float64 { return 1 }

// overload simulates a load beyond the capacity of a service's targets.
func overload(slots int, slowdown func(int, int) float64) loadSimulation {
	return loadSimulation{
		Targets: 8, Slots: slots, Work: 60 * time.Millisecond, Objective: 200 * time.Millisecond, Deadline: 800 * time.Millisecond,
		Span: 8 * time.Second, Slowdown: slowdown,
		Rate: func(time.Duration) float64 { return 1.4 * float64(8*slots) / 0.06 / 1.7 },
	}
}

// Servers that slow down before all slots are in use have a higher throughput with some left
// free. In an overload, an owner that has yet to learn this must serve nearly as many calls
// promptly as the best level, four of six slots, could execute.
func TestOverloadOfServersThatSlowDownBeforeTheyAreFull(t *testing.T) {
	c := qt.New(t)
	const (
		minShare  = 0.93
		bestLevel = 4
	)
	for _, seed := range []uint64{1, 2, 3} {
		p := overload(6, slowAboveFourFifths)
		maxCalls := float64(p.Targets*bestLevel) * p.Span.Seconds() / p.Work.Seconds()
		got := p.run(seed)
		c.Check(float64(got.Prompt) >= minShare*maxCalls, qt.IsTrue, qt.Commentf("%s; at most %.0f", got, maxCalls))
	}
}

// Servers that don't slow down are filled. So are those with two slots, where the second adds
// more throughput than it costs.
func TestUsefulSlotsAreFilled(t *testing.T) {
	c := qt.New(t)
	for _, example := range []struct {
		slots    int
		slowdown func(int, int) float64
	}{{6, constantSpeed}, {2, constantSpeed}, {2, slowAboveFourFifths}} {
		var o occupancy
		for busy := 1; busy <= example.slots; busy++ {
			for range minLevelSamples {
				o.add(loadLevel{example.slots, busy}, example.slowdown(busy, example.slots), startTime)
			}
		}
		c.Check(o.concurrencyLimit(0, example.slots, startTime), qt.Equals, example.slots)
	}
}

// Estimates expire without new samples, so that a service that has become faster is filled
// again.
func TestSlowdownEstimateExpires(t *testing.T) {
	c := qt.New(t)
	var o occupancy
	for busy := 1; busy <= 6; busy++ {
		for range minLevelSamples {
			o.add(loadLevel{6, busy}, slowAboveFourFifths(busy, 6), startTime)
		}
	}
	c.Assert(o.concurrencyLimit(0, 6, startTime), qt.Equals, 4)
	later := startTime.Add(levelTTL + time.Second)
	for busy := 1; busy <= 4; busy++ {
		for range minLevelSamples {
			o.add(loadLevel{6, busy}, 1, later)
		}
	}
	c.Assert(o.concurrencyLimit(0, 6, later), qt.Equals, 6)
}

// Covers a target with one slot, and a service without samples.
func TestOccupancyWithoutSamples(t *testing.T) {
	c := qt.New(t)
	var o occupancy
	c.Check(o.concurrencyLimit(0, 1, startTime), qt.Equals, 1)
	c.Check(o.slowdown(loadLevel{1, 1}, startTime), qt.Equals, 1.0)
	c.Check(o.concurrencyLimit(0, 6, startTime), qt.Equals, 6)
	c.Check(o.slowdown(loadLevel{6, 6}, startTime), qt.Equals, defaultFullSlowdown)
	c.Check(o.slowdown(loadLevel{6, 3}, startTime), qt.Equals, 1.0)
}
