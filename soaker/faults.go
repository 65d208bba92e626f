package soaker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/runner"
)

// targetFaults are the faults of one target in force.
type targetFaults struct {
	active []Fault
}

// runFaults plays the schedule until the context ends, and undoes each fault.
func (s *Soak) runFaults(ctx context.Context) {
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, f := range s.Faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(s.started.Add(f.At))):
		}
		undo := s.apply(ctx, f)
		if undo == nil {
			continue
		}
		ends.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(f.For):
			}
			undo()
		})
	}
}

// apply starts a fault and returns what ends it.
func (s *Soak) apply(ctx context.Context, f Fault) func() {
	s.note("fault " + f.String())
	switch f.Kind {
	case StoreDown, StoreSlow, StoreLossy:
		return s.storeFault(f)
	case Pause:
		return s.pause(f)
	case Crash, Stop:
		s.replace(ctx, f)
		return nil
	case Split:
		return s.split(f)
	case ZoneOut:
		return s.zoneOut(ctx, f)
	case Race:
		s.race(ctx, f)
		return nil
	default:
		return s.targetFault(f)
	}
}

const (
	slowStore  = 300 * time.Millisecond
	lossyStore = 0.3
)

func (s *Soak) storeFault(f Fault) func() {
	set := func(change func()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		change()
		var faults imitator.PlatformFaults
		for _, active := range s.store {
			switch active.Kind {
			case StoreDown:
				faults.Down = true
			case StoreSlow:
				faults.Delay = slowStore
			default:
				faults.LoseWriteAnswers = lossyStore
			}
		}
		s.fleet.Platform.SetFaults(faults)
	}
	set(func() { s.store = append(s.store, f); s.disturb++ })
	return func() {
		set(func() {
			s.store = slices.DeleteFunc(s.store, func(x Fault) bool { return x.Number == f.Number })
			s.disturb--
		})
	}
}

// choose returns the picked instance among those that serve.
func (s *Soak) choose(pick int) *slot {
	var serving []*slot
	for _, x := range s.slots {
		if !x.gone && !x.stopping {
			serving = append(serving, x)
		}
	}
	return serving[pick%len(serving)]
}

func (s *Soak) daemon(x *slot) *runner.Daemon { return s.fleet.Daemons[x.index] }

func (s *Soak) pause(f Fault) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.choose(f.Pick)
	x.paused++
	s.disturb++
	s.daemon(x).Pause()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturb--
		if x.paused--; x.paused == 0 {
			s.resume(x)
		}
	}
}

// resume lets an instance go on. Only then does it see the signal of a planned
// stop that came while it was paused.
func (s *Soak) resume(x *slot) {
	s.daemon(x).Resume()
	if x.stopping {
		s.fleet.StopInstance(x.index)
	}
}

// replace ends an instance, by a crash or as planned, and starts another one.
func (s *Soak) replace(ctx context.Context, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.choose(f.Pick)
	x.gone = true
	if f.Kind == Crash {
		x.crashed = true
		s.fleet.Crash(x.index)
	} else {
		x.stopping, x.halted = true, x.paused > 0
		if !x.halted {
			s.fleet.StopInstance(x.index)
		}
	}
	if i, err := s.fleet.Add(ctx); err == nil {
		s.slots = append(s.slots, &slot{index: i})
	}
}

func (s *Soak) split(f Fault) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, b := s.daemon(s.choose(f.Pick)), s.daemon(s.choose(f.Other))
	s.disturb++
	a.Cut(b.Self().PeerAddress)
	b.Cut(a.Self().PeerAddress)
	return func() {
		a.Join(b.Self().PeerAddress)
		b.Join(a.Self().PeerAddress)
		s.mu.Lock()
		s.disturb--
		s.mu.Unlock()
	}
}

// change offers one command to an instance until it is accepted or the time is
// over. It returns whether it was accepted.
func (s *Soak) change(ctx context.Context, id string, pick int, command hemlocktally.Command) bool {
	const tries = 40
	for n := range tries {
		s.mu.Lock()
		daemon := s.daemon(s.choose(pick + n))
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		err := daemon.Change(ctx, hemlocktally.Change{
			ID: id, Author: "soak", Base: daemon.Revision(), Commands: []hemlocktally.Command{command},
		})
		cancel()
		if err == nil {
			s.mu.Lock()
			s.report.Changes++
			s.mu.Unlock()
			return true
		}
		if ctx.Err() != nil && n > tries/2 {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// race lets two operators change the same zone's first target at once.
func (s *Soak) race(ctx context.Context, f Fault) {
	service := s.fleet.Deployment.Services[f.Pick%len(s.fleet.Deployment.Services)]
	command := hemlocktally.Command{
		Kind: hemlocktally.CommandTargetBack, Name: string(service.Name),
		Target: hemlocktally.TargetName(fmt.Sprintf("%s-%d", service.Name, 1+f.Other%service.Targets)),
	}
	var both sync.WaitGroup
	for i, pick := range []int{f.Pick, f.Other} {
		both.Go(func() {
			s.mu.Lock()
			daemon := s.daemon(s.choose(pick))
			s.mu.Unlock()
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			err := daemon.Change(ctx, hemlocktally.Change{
				ID: fmt.Sprintf("race-%d-%d", f.Number, i), Author: fmt.Sprintf("operator-%d", i), Base: daemon.Revision(),
				Commands: []hemlocktally.Command{command},
			})
			s.mu.Lock()
			defer s.mu.Unlock()
			if err != nil {
				s.report.RacesLost++
			} else {
				s.report.Changes++
			}
		})
	}
	both.Wait()
}

// targetFault sets a fault of one target, together with those in force there.
func (s *Soak) targetFault(f Fault) func() {
	names := make([]string, 0, len(s.fleet.Targets))
	for name := range s.fleet.Targets {
		names = append(names, name)
	}
	slices.Sort(names)
	name := names[f.Pick%len(names)]
	s.note("target " + name)
	set := func(change func(*targetFaults)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		faults := s.targets[name]
		if faults == nil {
			faults = &targetFaults{}
			s.targets[name] = faults
		}
		change(faults)
		s.fleet.Targets[name].SetFaults(faults.sum())
	}
	set(func(t *targetFaults) { t.active = append(t.active, f) })
	return func() {
		set(func(t *targetFaults) {
			t.active = slices.DeleteFunc(t.active, func(x Fault) bool { return x.Number == f.Number })
		})
	}
}

const slowTarget = 8

func (t *targetFaults) sum() imitator.TargetFaults {
	var out imitator.TargetFaults
	for _, f := range t.active {
		switch f.Kind {
		case TargetDrain:
			out.Draining = true
		case TargetCold:
			out.Cold = true
		case TargetSlow:
			out.Slow = slowTarget
		case TargetFail:
			out.FailFast = true
		case TargetLose:
			out.LoseAnswer = true
		case TargetBreak:
			out.BreakAnswer = true
		default:
			out.SilentLinks = true
		}
	}
	return out
}

func isInvariant(message string) bool { return strings.Contains(message, "invariant") }
