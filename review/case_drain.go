package main

import (
	"context"
	"time"
)

// Figures of the case: the store turns the hubs away, three of nine instances, and upstreams
// say shortly before that they leave.
const (
	drainHost      = "cubo38.example"
	drainPath      = "/lookup/"
	drainBound     = 2 * time.Second
	drainWork      = 60 * time.Millisecond
	drainUpstreams = 6
	drainRounds    = 6
	drainDeadline  = 800 * time.Millisecond
	refusedFor     = 5 * time.Second
)

func caseDrain(s *scene) (int, error) {
	zones := []string{"steyr", "wels", "gmunden"}
	f, err := newFleet(s.program, s.folder, zones, 3, s.record)
	if err != nil {
		return exitNotRun, err
	}
	running = f
	defer f.stop()
	f.configure(2, []route{{name: "r-lookup", host: drainHost, prefix: drainPath, kind: "safe", service: "lookup", timeout: drainDeadline, aim: 200 * time.Millisecond, attempts: 2}},
		[]string{"lookup"}, 3*time.Second, 17)
	for n := range drainUpstreams {
		u := &upstream{
			service: "lookup", zone: zones[n%3], slots: 2, queue: 8, coldStart: 3 * time.Second, record: s.record, store: f.store,
			work: func(string) (time.Duration, int) { return drainWork, 2000 },
		}
		f.upstreams = append(f.upstreams, u)
		if err := u.start(false); err != nil {
			return exitNotRun, err
		}
	}
	if err := f.startAll(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(500 * time.Millisecond)
	t := newTraffic(f, drainHost, drainPath+"x", drainDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	// Traffic goes to instances that the store has served all the while.
	t.only = func(i *instance) bool { return time.Since(i.refusedAt()) > refusedFor+5*time.Second }
	go func() { t.run(ctx, 125); close(done) }()
	time.Sleep(3 * time.Second)
	late := 0
	for round := range drainRounds {
		n, err := drainRound(s, f, t, round)
		if err != nil {
			return exitNotRun, err
		}
		late += n
	}
	cancel()
	<-done
	s.record.say("how requests ended: %v", t.answers)
	s.record.say("requests that reached an upstream over %v after the store had acknowledged that it drains: %d", drainBound, late)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// drainRound lets two upstreams drain and then has the store turn the hubs away for a while.
// It returns how many requests reached the upstreams too late.
func drainRound(s *scene, f *fleet, t *traffic, round int) (int, error) {
	leaving := []*upstream{f.upstreams[(2*round)%drainUpstreams], f.upstreams[(2*round+1)%drainUpstreams]}
	hubs := f.hubs()
	for _, u := range leaving {
		u.drain()
	}
	time.Sleep(20 * time.Millisecond)
	if s.trouble {
		for _, i := range hubs {
			s.record.add("the store turns %s away", i.id)
			i.refuse(true)
		}
	}
	time.Sleep(refusedFor)
	for _, i := range hubs {
		i.refuse(false)
	}
	late := 0
	for _, u := range leaving {
		u.mu.Lock()
		for _, a := range u.arrived {
			if after := a.at.Sub(u.drainedAt); after > drainBound {
				late++
				s.record.say("DRAIN: request %s, sent to %s, reaches upstream %s %d ms after the acknowledgement", a.request, t.sentTo(a.request), u.id, after.Milliseconds())
			}
		}
		u.arrived = nil
		u.mu.Unlock()
		u.leave()
	}
	time.Sleep(time.Second)
	for _, u := range leaving {
		if err := u.start(true); err != nil {
			return 0, err
		}
	}
	time.Sleep(9 * time.Second)
	return late, nil
}
