package surveyor

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/allocator"
)

// Configuration returns a configuration with the given number of services, one
// contract each, and the stated number of targets for each service.
func Configuration(services int) *hemlocktally.Configuration {
	perService := Stated.Targets / Stated.Services
	config := &hemlocktally.Configuration{Revision: 1}
	targets := 0
	for s := range services {
		name := hemlocktally.ServiceName(fmt.Sprintf("service-%04d", s))
		service := hemlocktally.Service{Name: name, ProbePath: "/probe", ProbesPerSecond: 5}
		for targets < int(perService*float64(s+1)+0.5) {
			targets++
			zone := hemlocktally.ZoneName(fmt.Sprintf("zone-%02d", targets%20))
			service.Targets = append(service.Targets, hemlocktally.Target{
				Name: hemlocktally.TargetName(fmt.Sprintf("target-%05d", targets)), Zone: zone, Slots: 2, MaxConnections: 240,
				Address: fmt.Sprintf("10.%d.%d.%d:9000", targets>>16, targets>>8&255, targets&255),
			})
		}
		config.Services = append(config.Services, service)
		config.Contracts = append(config.Contracts, hemlocktally.Contract{
			Name: hemlocktally.ContractName("Contract" + string(name)), Service: name, Deadline: time.Second,
			Match: hemlocktally.Match{PathPrefix: "/" + string(name) + "/", Methods: []string{"GET"}},
		})
	}
	for z := range 20 {
		config.Zones = append(config.Zones, hemlocktally.AvailabilityZone{Name: hemlocktally.ZoneName(fmt.Sprintf("zone-%02d", z))})
	}
	return config
}

// maxValueKB is the most that one value of the store may hold.
const maxValueKB = 1000

// Records measures the configuration with its services and targets as records.
func Records(services []int, runs int) ([]Series, error) {
	size := Series{Role: "store", Cost: "configuration as one value, KB", Axis: AxisServices, Goal: maxValueKB}
	heap := Series{Role: "watcher", Cost: "memory of one configuration, MB", Axis: AxisServices, Goal: 32}
	decode := Series{Role: "watcher", Cost: "reading a whole configuration, ms", Axis: AxisServices}
	apply := Series{Role: "watcher", Cost: "applying one change, ms", Axis: AxisServices}
	find := Series{Role: "entry", Cost: "finding the last contract, µs", Axis: AxisServices, Goal: 1200}
	for _, n := range services {
		for range runs {
			config := Configuration(n)
			text, err := json.Marshal(config)
			if err != nil {
				return nil, Error.Wrap(err)
			}
			x := float64(n)
			size.Points = append(size.Points, Point{x, float64(len(text)) / 1000})
			megabytes, spent, err := decodeCost(text)
			if err != nil {
				return nil, err
			}
			runtime.KeepAlive(config) // So that only the configuration that was read is counted.
			heap.Points = append(heap.Points, Point{x, megabytes})
			decode.Points = append(decode.Points, Point{x, spent.Seconds() * 1000})
			spent, err = applyCost(config)
			if err != nil {
				return nil, err
			}
			apply.Points = append(apply.Points, Point{x, spent.Seconds() * 1000})
			find.Points = append(find.Points, Point{x, findCost(config).Seconds() * 1e6})
		}
	}
	return []Series{size, heap, decode, apply, find}, nil
}

func decodeCost(text []byte) (megabytes float64, spent time.Duration, err error) {
	var before, after runtime.MemStats
	collect()
	runtime.ReadMemStats(&before)
	started := time.Now()
	config := &hemlocktally.Configuration{}
	if err := json.Unmarshal(text, config); err != nil {
		return 0, 0, Error.Wrap(err)
	}
	spent = time.Since(started)
	collect()
	runtime.ReadMemStats(&after)
	megabytes = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1e6
	runtime.KeepAlive(config)
	runtime.KeepAlive(text)
	return max(0, megabytes), spent, nil
}

// collect frees all garbage, pooled buffers included, which outlive two rounds.
func collect() {
	const rounds = 3
	for range rounds {
		runtime.GC()
	}
}

const repeats = 50

func applyCost(config *hemlocktally.Configuration) (time.Duration, error) {
	change := hemlocktally.Change{ID: "c", Commands: []hemlocktally.Command{{Kind: hemlocktally.CommandZoneOut, Name: "zone-01"}}}
	started := time.Now()
	for range repeats {
		if _, err := config.Apply(hemlocktally.AcceptedChange{Revision: 2, Change: change}); err != nil {
			return 0, Error.Wrap(err)
		}
	}
	return time.Since(started) / repeats, nil
}

func findCost(config *hemlocktally.Configuration) time.Duration {
	line := hemlocktally.RequestAttributes{Method: "GET", Path: fmt.Sprintf("/service-%04d/7", len(config.Services)-1)}
	started := time.Now()
	for range repeats {
		config.Find(line)
	}
	return time.Since(started) / repeats
}

// Turns measures the owner's pure step: one grant and its return.
func Turns(targets []int, runs int) Series {
	series := Series{Role: "owner", Cost: "a turn granted and returned, µs", Axis: AxisTargets}
	for _, n := range targets {
		for range runs {
			series.Points = append(series.Points, Point{float64(n), turnCost(n).Seconds() * 1e6})
		}
	}
	return series
}

func turnCost(targets int) time.Duration {
	service := hemlocktally.Service{Name: "service"}
	for i := range targets {
		service.Targets = append(service.Targets, hemlocktally.Target{
			Name: hemlocktally.TargetName(fmt.Sprintf("target-%d", i)), Address: "127.0.0.1:1", Zone: "zone",
		})
	}
	now := time.Now()
	state := allocator.State{Owner: "owner", Service: service.Name}
	state.Update(allocator.ConfigurationMsg{Service: service, OutOfService: map[hemlocktally.TargetName]bool{}, Revision: 1}, now)
	const turns = 20000
	started := time.Now()
	for n := range uint64(turns) {
		now = now.Add(time.Millisecond)
		request := hemlocktally.GrantRequest{Service: service.Name, Deadline: now.Add(time.Second), QueueLimit: time.Second}
		for _, command := range state.Update(allocator.AcquireMsg{Ticket: n, Request: request, Requester: "entry"}, now) {
			if grant, ok := command.(allocator.GrantCmd); ok {
				state.Update(allocator.ResultMsg{Grant: grant.Grant.ID, Target: grant.Grant.Target.Name, Latency: time.Millisecond}, now)
			}
		}
	}
	return time.Since(started) / turns
}

// Owners measures how long it takes to tell a service's owner.
func Owners(instances []int, runs int) Series {
	series := Series{Role: "entry", Cost: "telling a service's owner, µs", Axis: AxisInstances, Goal: 1200}
	for _, n := range instances {
		members := make([]hemlocktally.Instance, n)
		for i := range members {
			members[i] = hemlocktally.Instance{ID: hemlocktally.InstanceID(fmt.Sprintf("entry-%d", i)), State: hemlocktally.InstanceServing}
		}
		for range runs {
			const repeat = 1000
			started := time.Now()
			for range repeat {
				allocator.OwnerOf("service", members)
			}
			series.Points = append(series.Points, Point{float64(n), time.Since(started).Seconds() * 1e6 / repeat})
		}
	}
	return series
}

// Listing measures one reading of all members' records, as the store sends them.
func Listing(instances []int) (Series, error) {
	series := Series{Role: "watcher", Cost: "one reading of all members' records, KB", Axis: AxisInstances}
	for _, n := range instances {
		var entries []hemlocktally.Entry
		for i := range n {
			id := hemlocktally.InstanceID(fmt.Sprintf("entry-%04d", i))
			value, err := json.Marshal(hemlocktally.Instance{
				ID: id, Incarnation: ulid.Make().String(), Zone: "zone-01", CallerAddress: "10.0.0.1:8080", PeerAddress: "10.0.0.1:8081",
				OperatorAddress: "10.0.0.1:8082", State: hemlocktally.InstanceServing, Revision: 12345, HeardAt: time.Now(),
			})
			if err != nil {
				return series, Error.Wrap(err)
			}
			entries = append(entries, hemlocktally.Entry{Key: "Instances/" + string(id), Value: value, Version: 3, Lease: ulid.Make().String()})
		}
		text, err := json.Marshal(entries)
		if err != nil {
			return series, Error.Wrap(err)
		}
		series.Points = append(series.Points, Point{float64(n), float64(len(text)) / 1000})
	}
	return series, nil
}
