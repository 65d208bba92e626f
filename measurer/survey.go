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

// Survey says what to measure.
type Survey struct {
	Instances int
	Services  int
	Changes   int           // Changes are made one after another.
	Crashes   int           // Crashes happen one after another.
	Idle      time.Duration // Idle is how long the resting fleet is watched.
	Seed      uint64
}

// Row is what one survey measured. Rates are per second, and per instance
// unless they name the fleet.
type Row struct {
	Instances, Services, Targets int

	IdleCPUPercent    float64 // IdleCPUPercent of one core; the stand-in platform is in it.
	HeapBytes         uint64
	PeerBytesSent     float64
	PeerMessages      float64
	StoreBytesSent    float64
	FleetStoreReads   float64 // FleetStoreReads counts waiting watches too.
	FleetStoreWrites  float64
	BusyStoreReads    float64 // BusyStoreReads are those of the fleet while changes follow one another.
	BusyStoreWrites   float64
	ConfigurationSize int // ConfigurationSize is in bytes, as JSON.

	ChangeMedian, ChangeWorst time.Duration // Change counts from the command to being in force everywhere.
	CrashMedian, CrashWorst   time.Duration // Crash counts until every instance knows.
	JoinMedian, JoinWorst     time.Duration // Join counts from the start of an instance until all count on it.
	ChangesPerSecond          float64       // ChangesPerSecond is the rate at which changes followed one another.
}

const (
	targetsPerService = 8
	changeLimit       = time.Minute
	settleTime        = 3 * time.Second
)

// Run carries out the survey on a fleet of its own.
func (s Survey) Run(ctx context.Context) (Row, error) {
	row := Row{Instances: s.Instances, Services: s.Services, Targets: s.Services * targetsPerService}
	f, err := Start(ctx, s.Instances, s.Seed)
	if err != nil {
		return row, err
	}
	defer f.Stop()
	if err := f.declare(ctx, s.Services); err != nil {
		return row, err
	}
	settled := time.Now().Add(settleTime)
	if err := Await(ctx, 2*settleTime, func() bool { return time.Now().After(settled) }); err != nil {
		return row, err
	}
	document, err := json.Marshal(f.Instances[0].Configurator.Current())
	if err != nil {
		return row, Error.Wrap(err)
	}
	row.ConfigurationSize = len(document)
	f.rest(ctx, s.Idle, &row)
	if err := f.changes(ctx, s.Changes, &row); err != nil {
		return row, err
	}
	return row, f.crashes(ctx, s.Crashes, &row)
}

// declare puts services with their targets in force everywhere.
func (f *Fleet) declare(ctx context.Context, services int) error {
	change := hemlocktally.Change{ID: "services", Author: "measurer"}
	for i := range services {
		service := declared(i, "/probe")
		change.Commands = append(change.Commands, hemlocktally.Command{Kind: hemlocktally.CommandPutService, Service: &service})
	}
	if _, err := f.Instances[0].Configurator.Change(ctx, change); err != nil {
		return Error.Wrap(err)
	}
	return Await(ctx, changeLimit, func() bool { return f.inForce(1) })
}

func declared(number int, probe string) hemlocktally.Service {
	service := hemlocktally.Service{Name: hemlocktally.ServiceName(fmt.Sprintf("service-%04d", number)), ProbePath: probe}
	for t := range targetsPerService {
		service.Targets = append(service.Targets, hemlocktally.Target{
			Name:    hemlocktally.TargetName(fmt.Sprintf("%s-%d", service.Name, t)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", t, number/250, number%250),
			Zone:    hemlocktally.ZoneName(fmt.Sprintf("zone-%d", t%zones)),
		})
	}
	return service
}

// sample is a reading of all counters.
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
		s.peerBytes += i.peers.sent.Load()
		s.storeBytes += i.platform.sent.Load()
		beats, _ := i.Registrar.Traffic()
		offers, _ := i.Configurator.Traffic()
		s.messages += beats + offers
	}
	counters := f.Platform.Counters()
	s.reads, s.writes = counters.Reads+counters.Watches, counters.Writes
	return s
}

// rest watches the fleet while nothing happens.
func (f *Fleet) rest(ctx context.Context, span time.Duration, row *Row) {
	runtime.GC()
	before := f.sample()
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	after := f.sample()
	seconds := after.at.Sub(before.at).Seconds()
	each := seconds * float64(len(f.Instances))
	row.IdleCPUPercent = 100 * (after.cpu - before.cpu).Seconds() / each
	row.PeerBytesSent = float64(after.peerBytes-before.peerBytes) / each
	row.StoreBytesSent = float64(after.storeBytes-before.storeBytes) / each
	row.PeerMessages = float64(after.messages-before.messages) / each
	row.FleetStoreReads = float64(after.reads-before.reads) / seconds
	row.FleetStoreWrites = float64(after.writes-before.writes) / seconds
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	row.HeapBytes = memory.HeapAlloc / uint64(len(f.Instances))
}

// changes makes changes one after another, each from another instance, and
// times each until it is in force everywhere.
func (f *Fleet) changes(ctx context.Context, count int, row *Row) error {
	var times []time.Duration
	before := f.sample()
	for n := range count {
		i := f.Instances[n%len(f.Instances)]
		service := declared(n%max(1, row.Services), fmt.Sprint("/probe/", n))
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
		if err := Await(ctx, changeLimit, func() bool { return f.inForce(accepted.Revision) }); err != nil {
			return err
		}
		times = append(times, time.Since(start))
	}
	after := f.sample()
	seconds := after.at.Sub(before.at).Seconds()
	row.BusyStoreReads = float64(after.reads-before.reads) / seconds
	row.BusyStoreWrites = float64(after.writes-before.writes) / seconds
	row.ChangesPerSecond = float64(count) / seconds
	row.ChangeMedian, row.ChangeWorst = spread(times)
	return nil
}

// crashes cuts instances off one after another, replaces each, and times how
// long it takes until all know.
func (f *Fleet) crashes(ctx context.Context, count int, row *Row) error {
	var crashed, joined []time.Duration
	for n := range count {
		victim := f.live()[(n*7)%len(f.live())]
		serving := len(f.live())
		start := time.Now()
		victim.Crash()
		if err := Await(ctx, changeLimit, func() bool { return f.agreed(serving - 1) }); err != nil {
			return err
		}
		crashed = append(crashed, time.Since(start))
		start = time.Now()
		if _, err := f.Add(); err != nil {
			return err
		}
		if err := Await(ctx, changeLimit, func() bool { return f.agreed(serving) }); err != nil {
			return err
		}
		joined = append(joined, time.Since(start))
	}
	row.CrashMedian, row.CrashWorst = spread(crashed)
	row.JoinMedian, row.JoinWorst = spread(joined)
	return nil
}

// spread returns the median and the worst.
func spread(times []time.Duration) (median, worst time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}
