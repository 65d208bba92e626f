package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the rule FAILBACK.
const (
	coldOvershoot = 1.5
	coldSlack     = 5
)

// crashRate is the number of requests in one second above which a cold upstream crashes: far more
// than it tolerates, and than the rule allows.
const crashRate = 45

// cold lets a busy upstream become cold again, without a restart. It checks the rule FAILBACK.
func cold(d *deployment) error {
	zones := []string{"steyr", "wels"}
	spec := serviceSpec{name: "rundenplan", coldPerS: 17, routeType: "unsafe", timeout: "800ms", target: "200ms", attempts: 2, host: "jepu9.example", path: "/lepu270/"}
	bound := spec.coldPerS*coldOvershoot + coldSlack
	d.store.put("op/config", configuration(7, spec))
	var upstreams []*upstream
	const count, rounds = 5, 3
	for n := range count {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", n), service: spec.name, zone: zones[n%len(zones)], slots: 6, queue: 12,
			work: 60 * time.Millisecond, coldFactor: 2, crashPerSecond: crashRate, log: d.log,
		}
		upstreams = append(upstreams, u)
		if err := u.start(d.ctx, d.store); err != nil {
			return err
		}
		time.Sleep(350 * time.Millisecond) // The heartbeats are spread.
	}
	if err := d.startFleet(zones, 2); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	callers := &clients{host: spec.host, path: spec.path, method: "POST", deadline: 800 * time.Millisecond, pause: 0, log: d.log}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	const clientsEach = 10
	for _, i := range d.fleet.instances {
		callers.run(ctx, &group, i, clientsEach)
	}
	if err := d.rest(6 * time.Second); err != nil {
		return err
	}
	d.log.note("hubs: %v; %s", d.store.hubs(), callers.summary())
	broken := 0
	for round := range rounds {
		u := upstreams[round%count]
		began := time.Now()
		if d.trouble {
			began = u.turnCold(3 * time.Second)
			d.log.note("%s is cold for 3 s", u.id)
		}
		if err := d.rest(6 * time.Second); err != nil {
			return err
		}
		broken += judgeCold(d, callers, u, began, bound)
	}
	cancel()
	group.Wait()
	d.log.requests(callers, upstreams)
	runs := map[string]int{}
	for _, u := range upstreams {
		for id, n := range u.allRuns() {
			runs[id] += n
		}
	}
	failed := 0
	for _, o := range callers.outcomes {
		if o.status != http.StatusOK && runs[o.id] > 0 {
			failed++
			d.log.note("request %s, which may not be repeated, was begun by an upstream and ends with status %d", o.id, o.status)
		}
	}
	d.log.note("%s; %d requests were begun and have no success", callers.summary(), failed)
	if broken > 0 {
		return fmt.Errorf("%w: FAILBACK: cold upstreams got more than %.1f requests in one second, %d times", errBroken, bound, broken)
	}
	return nil
}

// coldRequest is a request to a cold upstream.
type coldRequest struct{ sent, arrived time.Time }

// most returns how many of the requests were sent and arrived inside one second.
func most(requests []coldRequest) int {
	best := 0
	for _, first := range requests {
		n := 0
		for _, r := range requests {
			if !r.sent.Before(first.sent) && r.arrived.Sub(first.sent) < time.Second {
				n++
			}
		}
		best = max(best, n)
	}
	return best
}

// judgeCold reports 1 if the upstream got too many requests in a second while it was cold.
func judgeCold(d *deployment, callers *clients, u *upstream, since time.Time, bound float64) int {
	var requests []coldRequest
	perTenth := map[int]int{}
	for _, a := range u.seen() {
		if a.cold && a.at.After(since) {
			requests = append(requests, coldRequest{sent: callers.sentAt(a.id), arrived: a.at})
			perTenth[int(a.at.Sub(since)/(100*time.Millisecond))]++
		}
	}
	worst := most(requests)
	line := ""
	for tenth := range 30 {
		line += fmt.Sprintf(" %d", perTenth[tenth])
	}
	d.log.note("%s got %d requests while cold, %d sent and arrived in the worst second (bound %.1f); by tenth of a second:%s", u.id, len(requests), worst, bound, line)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.crashed.IsZero() {
		d.log.note("%s crashed after %.3f s with %d requests at work", u.id, u.crashed.Sub(since).Seconds(), u.cut)
	}
	if float64(worst) > bound {
		return 1
	}
	return 0
}
