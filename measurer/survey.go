package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"hemlocktally"
)

// Benchmark configures one measurement run.
type Benchmark struct {
	Instances int
	Services  int
	Changes   int           // Changes is how many changes are made, one after another.
	Crashes   int           // Crashes is how many instances crash and are replaced, one after another.
	Idle      time.Duration // Idle is how long the idle fleet is measured.
	Seed      uint64
}

// Result is the result of one survey. Rates are per second, and per instance unless
// their name or comment says that they are of the whole fleet.
type Result struct {
	Instances, Services, Targets int

	IdleCPUPercent    float64 // IdleCPUPercent is in percent of one core and includes the simulated platform.
	HeapBytes         uint64
	PeerBytesSent     float64
	PeerMessages      float64
	StoreBytesSent    float64
	FleetStoreReads   float64 // FleetStoreReads includes watches.
	FleetStoreWrites  float64
	BusyStoreReads    float64 // BusyStoreReads is the rate of the whole fleet while changes are made, as is BusyStoreWrites.
	BusyStoreWrites   float64
	ConfigurationSize int // ConfigurationSize is the size of the configuration as JSON, in bytes.

	ChangeMedian, ChangeWorst time.Duration // Change is the time from the command until the change is in force on every instance.
	CrashMedian, CrashWorst   time.Duration // Crash is the time from a crash until every other instance has noticed it.
	JoinMedian, JoinWorst     time.Duration // Join is the time from the start of an instance until every instance sees it serving.
	ChangesPerSecond          float64       // ChangesPerSecond is the rate of changes made one after another.
}

const (
	targetsPerService = 8
	changeTimeout     = time.Minute
	settleTime        = 3 * time.Second
)

// Run starts a fleet, measures it and stops it. On an error it returns the row as
// far as it was filled.
func (s Benchmark) Run(ctx context.Context) (Result, error) {
	row := Result{Instances: s.Instances, Services: s.Services, Targets: s.Services * targetsPerService}
	f, err := Start(ctx, s.Instances, s.Seed)
	if err != nil {
		return row, err
	}
	defer f.Stop()
	if err := f.putServices(ctx, s.Services); err != nil {
		return row, err
	}
	settledAt := time.Now().Add(settleTime)
	if err := WaitFor(ctx, 2*settleTime, func() bool { return time.Now().After(settledAt) }); err != nil {
		return row, err
	}
	document, err := json.Marshal(f.Instances[0].Configurator.Current())
	if err != nil {
		return row, Error.Wrap(err)
	}
	row.ConfigurationSize = len(document)
	f.measureIdle(ctx, s.Idle, &row)
	if err := f.measureChanges(ctx, s.Changes, &row); err != nil {
		return row, err
	}
	return row, f.measureCrashes(ctx, s.Crashes, &row)
}

// putServices adds the given number of services with their targets in one change and
// waits until it is in force on every instance.
func (f *Fleet) putServices(ctx context.Context, services int) error {
	change := hemlocktally.Change{ID: "services", Author: "measurer"}
	for i := range services {
		service := newService(i, "/probe")
		change.Commands = append(change.Commands, hemlocktally.Command{Kind: hemlocktally.CommandPutService, Service: &service})
	}
	if _, err := f.Instances[0].Configurator.Change(ctx, change); err != nil {
		return Error.Wrap(err)
	}
	return WaitFor(ctx, changeTimeout, func() bool { return f.allHaveRevision(1) })
}

func newService(index int, probe string) hemlocktally.Service {
	service := hemlocktally.Service{Name: hemlocktally.ServiceName(fmt.Sprintf("service-%04d", index)), ProbePath: probe}
	for t := range targetsPerService {
		service.Targets = append(service.Targets, hemlocktally.Target{
			Name:    hemlocktally.TargetName(fmt.Sprintf("%s-%d", service.Name, t)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", t, index/250, index%250),
			Zone:    hemlocktally.ZoneName(fmt.Sprintf("zone-%d", t%zoneCount)),
		})
	}
	return service
}

// sample is a reading of all counters at one time, summed over the fleet.
type sample struct {
	at            time.Time
	cpu           time.Duration
	peerBytes     uint64
	storeBytes    uint64
	messages      uint64
	reads, writes uint64
}

func (f *Fleet) sample() sample {
	s := sample{at: time.Now()}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		s.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	for _, i := range f.Instances {
		s.peerBytes += i.peerTraffic.sent.Load()
		s.storeBytes += i.storeTraffic.sent.Load()
		membershipMessages, _ := i.Registrar.Traffic()
		configurationMessages, _ := i.Configurator.PeerTraffic()
		s.messages += membershipMessages + configurationMessages
	}
	counters := f.Platform.Counters()
	s.reads, s.writes = counters.Reads+counters.Watches, counters.Writes
	return s
}

// measureIdle records the rates and the heap of the fleet while it is idle for the
// given duration. CPU time and heap are those of the whole process, divided by the
// number of instances.
func (f *Fleet) measureIdle(ctx context.Context, duration time.Duration, row *Result) {
	runtime.GC()
	before := f.sample()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	after := f.sample()
	seconds := after.at.Sub(before.at).Seconds()
	instanceSeconds := seconds * float64(len(f.Instances))
	row.IdleCPUPercent = 100 * (after.cpu - before.cpu).Seconds() / instanceSeconds
	row.PeerBytesSent = float64(after.peerBytes-before.peerBytes) / instanceSeconds
	row.StoreBytesSent = float64(after.storeBytes-before.storeBytes) / instanceSeconds
	row.PeerMessages = float64(after.messages-before.messages) / instanceSeconds
	row.FleetStoreReads = float64(after.reads-before.reads) / seconds
	row.FleetStoreWrites = float64(after.writes-before.writes) / seconds
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	row.HeapBytes = memory.HeapAlloc / uint64(len(f.Instances))
}

// measureChanges makes changes one after another, on the instances in turn, and
// measures how long each takes until it is in force on every instance.
func (f *Fleet) measureChanges(ctx context.Context, count int, row *Result) error {
	var times []time.Duration
	before := f.sample()
	for n := range count {
		i := f.Instances[n%len(f.Instances)]
		service := newService(n%max(1, row.Services), fmt.Sprint("/probe/", n))
		base := i.Configurator.Current().Revision
		change := hemlocktally.Change{
			ID: fmt.Sprint("change-", n), Author: "measurer", Base: base,
			Commands: []hemlocktally.Command{{Kind: hemlocktally.CommandPutService, Service: &service}},
		}
		start := time.Now()
		accepted, err := i.Configurator.Change(ctx, change)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := WaitFor(ctx, changeTimeout, func() bool { return f.allHaveRevision(accepted.Revision) }); err != nil {
			return err
		}
		times = append(times, time.Since(start))
	}
	after := f.sample()
	seconds := after.at.Sub(before.at).Seconds()
	row.BusyStoreReads = float64(after.reads-before.reads) / seconds
	row.BusyStoreWrites = float64(after.writes-before.writes) / seconds
	row.ChangesPerSecond = float64(count) / seconds
	row.ChangeMedian, row.ChangeWorst = medianAndWorst(times)
	return nil
}

// measureCrashes crashes instances one after another and replaces each. It measures
// how long the others take to notice the crash, and all to see the new instance.
func (f *Fleet) measureCrashes(ctx context.Context, count int, row *Result) error {
	var crashTimes, joinTimes []time.Duration
	for n := range count {
		crashing := f.liveInstances()[(n*7)%len(f.liveInstances())]
		serving := len(f.liveInstances())
		start := time.Now()
		crashing.Crash()
		if err := WaitFor(ctx, changeTimeout, func() bool { return f.allSeeServing(serving - 1) }); err != nil {
			return err
		}
		crashTimes = append(crashTimes, time.Since(start))
		start = time.Now()
		if _, err := f.Add(); err != nil {
			return err
		}
		if err := WaitFor(ctx, changeTimeout, func() bool { return f.allSeeServing(serving) }); err != nil {
			return err
		}
		joinTimes = append(joinTimes, time.Since(start))
	}
	row.CrashMedian, row.CrashWorst = medianAndWorst(crashTimes)
	row.JoinMedian, row.JoinWorst = medianAndWorst(joinTimes)
	return nil
}

// medianAndWorst returns the median and the longest time, or zeros for no times. It
// sorts the slice. For an even number it returns the upper median.
func medianAndWorst(times []time.Duration) (median, worst time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}
