package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// drainBound is how long after an acknowledged leaving a request may still reach an upstream.
const drainBound = 2 * time.Second

// cutFor is how long one instance is partitioned from the store; leavesAfter is when in that time
// an upstream leaves.
const (
	cutFor      = 600 * time.Millisecond
	leavesAfter = 500 * time.Millisecond
)

// servesOn is how long an upstream serves on after the store has removed its entry.
const servesOn = 7 * time.Second

// leaving lets upstreams leave without a word while the connections of one instance to the store
// are reset. It checks the rule DRAIN at the other instances.
func leaving(d *deployment) error {
	zones := []string{"steyr", "wels", "gmunden"}
	spec := serviceSpec{
		name: "auftrag", coldPerS: 17, routeType: "unsafe", timeout: "1000ms", target: "250ms", attempts: 2, host: "hulo84.example", path: "/xapu221/",
	}
	d.store.put("op/config", configuration(7, spec))
	var upstreams []*upstream
	start := func(n int) error {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", n), service: spec.name, zone: zones[n%len(zones)], slots: 6, queue: 12,
			work: 78 * time.Millisecond, coldFactor: 2, log: d.log,
		}
		upstreams = append(upstreams, u)
		return u.start(d.ctx, d.store)
	}
	const atFirst, rounds = 4, 4
	for n := range atFirst {
		if err := start(n); err != nil {
			return err
		}
	}
	if err := d.startFleet(zones, 3); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	callers := &clients{host: spec.host, path: spec.path, method: "POST", deadline: time.Second, log: d.log}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	const clientsEach = 4
	for _, i := range d.fleet.instances {
		callers.run(ctx, &group, i, clientsEach)
	}
	if err := d.rest(5 * time.Second); err != nil {
		return err
	}
	d.log.note("hubs: %v; %s", d.store.hubs(), callers.summary())
	late := 0
	for round := range rounds {
		u := upstreams[round]
		owner := d.store.busiestReader(time.Now().Add(-3 * time.Second))
		if d.trouble {
			n := d.store.cut(owner, cutFor)
			d.log.note("round %d: %s is partitioned from the store for %s, %d connections are reset", round+1, owner, cutFor, n)
		} else {
			d.log.note("round %d: nothing is reset; %s reads the list of targets", round+1, owner)
		}
		time.Sleep(leavesAfter)
		acknowledged := u.leave()
		d.log.note("the store has acknowledged that %s is gone", u.id)
		if err := d.rest(servesOn - time.Second); err != nil {
			return err
		}
		late += judgeLeaving(d, callers, u, owner, acknowledged)
		if err := start(atFirst + round); err != nil {
			return err
		}
		if err := d.rest(4 * time.Second); err != nil {
			return err
		}
	}
	cancel()
	group.Wait()
	d.log.requests(callers, upstreams)
	d.log.note("%s", callers.summary())
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached an upstream more than %s after its leaving was acknowledged", errBroken, late, drainBound)
	}
	return nil
}

// judgeLeaving counts the requests that came too late, by instances other than the disturbed one.
func judgeLeaving(d *deployment, callers *clients, u *upstream, disturbed string, acknowledged time.Time) int {
	count, inTime, late := 0, 0, []string{}
	for _, a := range u.seen() {
		from := callers.instanceOf(a.id)
		switch {
		case a.at.Before(acknowledged):
			continue
		case !a.at.After(acknowledged.Add(drainBound)):
			inTime++
		case d.trouble && from == disturbed:
			d.log.note("not counted: request %s from %s reaches %s %.3f s after", a.id, from, u.id, a.at.Sub(acknowledged).Seconds())
		default:
			count++
			late = append(late, fmt.Sprintf("request %s from %s reaches %s %.3f s after", a.id, from, u.id, a.at.Sub(acknowledged).Seconds()))
		}
	}
	slices.Sort(late)
	for _, line := range late {
		d.log.note("%s", line)
	}
	d.log.note("%s got %d requests within %s of the acknowledgement and %d after that", u.id, inTime, drainBound, count)
	return count
}
