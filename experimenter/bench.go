package experimenter

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/recorder"
)

// BenchRun is one run of a scenario under one policy.
type BenchRun struct {
	Scenario Scenario
	Policy   string
	Seed     uint64
}

// BenchResult is what one run showed.
type BenchResult struct {
	BenchRun
	Times        *ClassTimes
	Counters     *BenchCounters
	AddedP50     time.Duration
	AddedP99     time.Duration
	Retried      uint64
	Hedged       uint64
	Probes       uint64
	ProbeBudget  float64 // ProbeBudget is the probes allowed for the time of the run.
	ColdBreaches uint64  // ColdBreaches counts calls above the bearable on cold targets.
	ToldBreaches uint64  // ToldBreaches are those of targets that had said that they are cold.
	Doubled      int
	FalseNotRun  int
	Broken       uint64 // Broken invariants that the owners counted.
}

// Run starts a fleet, loads it and stops it again.
func (r BenchRun) Run(ctx context.Context, counters *BenchCounters) (BenchResult, error) {
	result := BenchResult{BenchRun: r, Times: newClassTimes(), Counters: counters}
	started := time.Now()
	fleet, err := Start(ctx, r.Scenario.deployment(r.Policy, r.Seed))
	if err != nil {
		return result, err
	}
	r.placeZones(fleet)
	load := newBenchLoad(fleet, result.Times, counters)
	load.warm(ctx)
	faults := &faulter{scenario: r.Scenario, fleet: fleet, seed: r.Seed}
	faultContext, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { faults.run(faultContext) })
	load.run(ctx, r.Scenario.Arrivals(r.Seed))
	cancel()
	wg.Wait()
	result.read(fleet, load)
	// Probes count from the fleet's start, as its budget does.
	result.ProbeBudget = hemlocktally.Service{}.ProbeBudget() * time.Since(started).Seconds()
	return result, errors.Join(append(faults.errors, fleet.Stop())...)
}

// placeZones puts the scenario's delay between instances of different zones.
func (r BenchRun) placeZones(fleet *Fleet) {
	if r.Scenario.PeerDelay <= 0 {
		return
	}
	zones := map[string]string{}
	for _, d := range fleet.Daemons {
		zones[d.Self().PeerAddress] = string(d.Self().Zone)
	}
	for _, d := range fleet.Daemons {
		own := string(d.Self().Zone)
		d.DelayPeers(func(address string) time.Duration {
			if zones[address] == own {
				return 0
			}
			return r.Scenario.PeerDelay
		})
	}
}

func (r *BenchResult) read(fleet *Fleet, load *benchLoad) {
	recorders := make([]*recorder.Recorder, 0, len(fleet.Daemons))
	for _, d := range fleet.Daemons {
		recorders = append(recorders, d.Recorder())
		r.Broken += d.Tally().BrokenInvariants()
	}
	for _, s := range recorder.Summarize(recorders...) {
		r.Retried += s.Retried
		r.Hedged += s.Hedged
		if s.Contract == "PublicSearch" {
			r.AddedP50, r.AddedP99 = s.AddedP50, s.AddedP99
		}
	}
	for _, t := range fleet.Targets {
		c := t.Counters()
		r.Probes += c.Probes
		r.ColdBreaches += c.ColdBreaches
		r.ToldBreaches += c.ToldColdBreaches
	}
	r.Doubled = fleet.Doubled()
	r.FalseNotRun = load.falseNotRun()
}
