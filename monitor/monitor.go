package monitor

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

const (
	// checkedTargets is how many targets one check connects to.
	checkedTargets = 6
	// checkTimeout limits a check.
	checkTimeout = 60 * time.Millisecond
	tick         = 50 * time.Millisecond
	// maxKnownTargets limits the targets of a service that are remembered for checks.
	maxKnownTargets = 64
)

// Monitor implements hemlocktally.Reachability. The exported fields must be set before use.
type Monitor struct {
	// Reach returns an error if the target accepts no connection.
	Reach func(ctx context.Context, target hemlocktally.Target) error
	// Listed returns the targets of the service that the instance has a list of. It may be nil.
	Listed func(service hemlocktally.ServiceName) []hemlocktally.Target
	Log    logger.Logger

	once     sync.Once
	wake     chan struct{} // wake tells Run that a service became isolated.
	isolated atomic.Int64  // isolated counts the services that can't be reached. It spares most calls the lock.
	mu       sync.Mutex
	state    State
	known    map[hemlocktally.ServiceName][]hemlocktally.Target // known holds the targets of the last grants.
}

// Failed implements hemlocktally.Reachability.
func (m *Monitor) Failed(service hemlocktally.ServiceName, target hemlocktally.Target) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(service, target)
	m.update(FailureMsg{Service: service, Target: target.Name})
}

// Note remembers a target, so that a check can connect to it.
func (m *Monitor) Note(service hemlocktally.ServiceName, target hemlocktally.Target) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(service, target)
}

func (m *Monitor) note(service hemlocktally.ServiceName, target hemlocktally.Target) {
	targets := m.known[service]
	if slices.ContainsFunc(targets, func(t hemlocktally.Target) bool { return t.Name == target.Name && t.Address == target.Address }) {
		return
	}
	if m.known == nil {
		m.known = map[hemlocktally.ServiceName][]hemlocktally.Target{}
	}
	if len(targets) >= maxKnownTargets {
		targets = targets[1:]
	}
	m.known[service] = append(targets, target)
	m.state.Note(service)
}

// Isolated implements hemlocktally.Reachability.
func (m *Monitor) Isolated(service hemlocktally.ServiceName) bool {
	if m == nil || m.isolated.Load() == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Isolated(service)
}

// IsolatedServices returns how many services' targets can't be reached.
func (m *Monitor) IsolatedServices() int64 {
	if m == nil {
		return 0
	}
	return m.isolated.Load()
}

// Run rechecks the services that can't be reached until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	m.once.Do(m.init)
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		case <-timer.C:
		}
		if m.isolated.Load() == 0 {
			continue // The timer is not set again: an instance at rest is not woken.
		}
		m.mu.Lock()
		m.update(TickMsg{})
		m.mu.Unlock()
		timer.Reset(tick)
	}
}

func (m *Monitor) init() { m.wake = make(chan struct{}, 1) }

// update changes the state and executes its commands. The lock is held.
func (m *Monitor) update(msg any) {
	for _, command := range m.state.Update(msg, time.Now()) {
		switch command := command.(type) {
		case CheckCmd:
			go m.check(command.Service, m.selectTargets(command))
		case IsolatedCmd:
			m.isolated.Add(1)
			m.once.Do(m.init)
			select {
			case m.wake <- struct{}{}:
			default:
			}
			m.Log.Log(logger.EventServiceIsolated, logger.Fields{"Service": command.Service, "Tried": command.Tried, "Reached": command.Reached})
		case ReachableCmd:
			m.isolated.Add(-1)
			m.Log.Log(logger.EventServiceReachable, logger.Fields{"Service": command.Service, "After": command.After.String()})
		}
	}
}

// selectTargets picks targets for a check: the zones in turn, since a zone that is down says nothing
// about the network of this instance, and in each of them at random those that have not failed
// first.
func (m *Monitor) selectTargets(command CheckCmd) []hemlocktally.Target {
	targets := slices.Clone(m.known[command.Service])
	if m.Listed != nil {
		if listed := m.Listed(command.Service); len(listed) > len(targets) {
			targets = listed
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	slices.SortStableFunc(targets, func(a, b hemlocktally.Target) int {
		return cmp.Compare(failedRank(command, a), failedRank(command, b))
	})
	turn := map[hemlocktally.ZoneName]int{}
	turns := make(map[hemlocktally.TargetName]int, len(targets))
	for _, t := range targets {
		turns[t.Name] = turn[t.Zone]
		turn[t.Zone]++
	}
	slices.SortStableFunc(targets, func(a, b hemlocktally.Target) int { return cmp.Compare(turns[a.Name], turns[b.Name]) })
	return targets[:min(len(targets), checkedTargets)]
}

func failedRank(command CheckCmd, t hemlocktally.Target) int {
	if slices.Contains(command.Except, t.Name) {
		return 1
	}
	return 0
}

// check connects to the targets at the same time and reports how many accept.
func (m *Monitor) check(service hemlocktally.ServiceName, targets []hemlocktally.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, target := range targets {
		go func() { results <- m.Reach(ctx, target) }()
	}
	checked := CheckedMsg{Service: service, Tried: len(targets)}
	for range targets {
		if <-results == nil {
			checked.Reached++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(checked)
}
