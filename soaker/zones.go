package soaker

import (
	"context"
	"fmt"
	"time"

	"hemlocktally"
)

// zoneGrace is how long a zone may still get new work after it was taken out.
const zoneGrace = 2 * time.Second

// zoneOut takes a zone out for the time of the fault and checks that it gets no
// new work. Only one zone is out at a time.
func (s *Soak) zoneOut(ctx context.Context, f Fault) func() {
	zones := s.fleet.Deployment.Zones
	zone := string(zones[f.Pick%len(zones)])
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.zoneStop(ctx, f, zone)
	}()
	return func() { <-done }
}

func (s *Soak) zoneStop(ctx context.Context, f Fault, zone string) {
	out := hemlocktally.Command{Kind: hemlocktally.CommandZoneOut, Name: zone}
	back := hemlocktally.Command{Kind: hemlocktally.CommandZoneBack, Name: zone}
	if !s.change(ctx, fmt.Sprintf("out-%d", f.Number), f.Pick, out) {
		return
	}
	disturbed := sleepWatching(ctx, zoneGrace, s.disturbed)
	before := s.startedIn(zone)
	disturbed = sleepWatching(ctx, f.For, s.disturbed) || disturbed
	after := s.startedIn(zone)
	if n := after - before; disturbed {
		s.mu.Lock()
		s.report.Hidden += n
		s.mu.Unlock()
		s.note(fmt.Sprintf("zone %s: %d calls after its stop, while store or peers were at fault", zone, n))
	} else {
		s.broke(&s.report.ZoneWork, n, fmt.Sprintf("zone %s got %d calls after its stop", zone, n))
	}
	s.change(context.WithoutCancel(ctx), fmt.Sprintf("back-%d", f.Number), f.Other, back)
}

func (s *Soak) disturbed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturb > 0
}

// sleepWatching sleeps and returns whether the condition held at any look.
func sleepWatching(ctx context.Context, d time.Duration, condition func() bool) bool {
	const step = 20 * time.Millisecond
	seen := condition()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(step) {
		seen = condition() || seen
	}
	return seen
}

// startedIn counts the calls that the targets of a zone have started.
func (s *Soak) startedIn(zone string) int {
	n := 0
	for _, service := range s.fleet.Deployment.Services {
		for i := range service.Targets {
			if string(s.fleet.Deployment.Zones[i%len(s.fleet.Deployment.Zones)]) != zone {
				continue
			}
			target := s.fleet.Targets[fmt.Sprintf("%s/%s-%d", service.Name, service.Name, i+1)]
			n += int(target.Counters().Started)
		}
	}
	return n
}

// watchRevisions checks that no instance's revision ever falls.
func (s *Soak) watchRevisions(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		slots := append([]*slot(nil), s.slots...)
		daemons := s.fleet.Daemons
		s.mu.Unlock()
		for _, x := range slots {
			now := daemons[x.index].Revision()
			if now < x.revision {
				s.broke(&s.report.Reverted, 1, fmt.Sprintf("instance %d went from revision %d to %d", x.index+1, x.revision, now))
			}
			x.revision = now
		}
	}
}
