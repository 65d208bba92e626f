package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case: a zone is evacuated, the configuration is large, and the process of
// the zone's hub is killed again and again.
const (
	evacHost     = "cubo38.example"
	evacServices = 6
	evacRoutes   = 1056 // evacRoutes are the configuration's routes, most of them without traffic.
	evacBound    = 5 * time.Second
	evacRounds   = 24
	evacDeadline = 800 * time.Millisecond
)

func caseEvac(s *scene) (int, error) {
	zones := []string{"steyr", "wels", "gmunden"}
	f, err := newFleet(s.program, s.folder, zones, 1, s.record)
	if err != nil {
		return exitNotRun, err
	}
	running = f
	defer f.stop()
	if err := f.add(zones[0], 2, 8); err != nil {
		return exitNotRun, err
	}
	var routes []route
	var services []string
	for n := range evacServices {
		name := fmt.Sprintf("lookup%d", n)
		services = append(services, name)
		routes = append(routes, route{name: "r-" + name, host: evacHost, prefix: "/" + name + "/", kind: "safe", service: name, timeout: evacDeadline, aim: 200 * time.Millisecond, attempts: 2})
	}
	for n := len(routes); n < evacRoutes; n++ {
		routes = append(routes, route{
			name: fmt.Sprintf("r-idle-%05d", n), host: fmt.Sprintf("idle%d.example", n%40), prefix: fmt.Sprintf("/idle%d/", n), kind: "safe",
			service: services[n%len(services)], timeout: evacDeadline, aim: 200 * time.Millisecond, attempts: 2,
		})
	}
	f.configure(2, routes, services, 3*time.Second, 17)
	s.record.say("the configuration has %d bytes", len(f.store.get("op/config")))
	for _, service := range services {
		for _, zone := range zones[:2] {
			u := &upstream{
				service: service, zone: zone, slots: 6, queue: 12, coldStart: 3 * time.Second, record: s.record, store: f.store,
				work: func(string) (time.Duration, int) { return 20 * time.Millisecond, 2000 },
			}
			f.upstreams = append(f.upstreams, u)
			if err := u.start(false); err != nil {
				return exitNotRun, err
			}
		}
	}
	if err := f.startAll(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(500 * time.Millisecond)
	var hub atomic.Pointer[instance]
	for _, i := range f.hubs() {
		if i.zone == zones[0] {
			hub.Store(i)
		}
	}
	if hub.Load() == nil {
		return exitNotRun, errNotReady
	}
	t := newTraffic(f, evacHost, "", evacDeadline)
	t.paths = func(n int) string { return fmt.Sprintf("/lookup%d/x", n%evacServices) }
	t.only = func(i *instance) bool { return i.zone == zones[0] && i != hub.Load() }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { t.run(ctx, 400); close(done) }()
	time.Sleep(time.Second)
	f.store.put("op/evacuate/"+zones[0], []byte("{}"))
	ack := time.Now()
	s.record.say("the evacuation of zone %s is acknowledged; the zone's hub is %s", zones[0], hub.Load().id)
	time.Sleep(evacBound + time.Second)
	for round := range evacRounds {
		evacRound(s, hub.Load(), round)
	}
	cancel()
	<-done
	s.record.say("how requests ended: %v", t.answers)
	late := 0
	for _, u := range f.upstreams {
		for _, a := range u.arrived {
			if u.zone == zones[0] && a.at.After(ack.Add(evacBound)) {
				late++
				s.record.say("EVAC: request %s, sent to %s, reaches upstream %s of zone %s %d ms after the acknowledgement", a.request, t.sentTo(a.request), u.id, u.zone, a.at.Sub(ack).Milliseconds())
			}
		}
	}
	s.record.say("requests that reached the evacuated zone's upstreams over %v after the acknowledgement: %d", evacBound, late)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// evacRound kills the hub's process, which starts again after a short delay.
func evacRound(s *scene, hub *instance, round int) {
	const pause = 1900 * time.Millisecond
	if !s.trouble {
		time.Sleep(pause + restartDelay)
		return
	}
	hub.signal(syscall.SIGKILL)
	<-hub.ended
	time.Sleep(restartDelay + time.Duration(round%5)*20*time.Millisecond)
	if err := hub.start(); err != nil {
		s.record.say("%v", err)
	}
	time.Sleep(pause)
}

// restartDelay is after which time the platform starts a process that has ended.
const restartDelay = 400 * time.Millisecond
