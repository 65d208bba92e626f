package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the case, after the start of its disruption.
const (
	lostFor      = 4 * time.Second // lostFor is how long an instance is partitioned from the store.
	leavesAt     = 12 * time.Second
	stopsAt      = 12300 * time.Millisecond // stopsAt is when the instance that took its role over is stopped as planned.
	revivedUntil = 20 * time.Second
)

// revived partitions an instance from the store and lets it come back. Long after that an upstream
// leaves without a word, and another instance of the zone is stopped as planned. It checks the rule
// DRAIN at all instances: none has been disturbed for a while.
func revived(d *deployment) error {
	zones := []string{"steyr", "wels", "gmunden"}
	spec := serviceSpec{
		name: "auftrag", coldPerS: 17, routeType: "unsafe", timeout: "1000ms", target: "250ms", attempts: 2, host: "hulo84.example", path: "/xapu221/",
	}
	d.store.put("op/config", configuration(7, spec))
	var upstreams []*upstream
	const count = 4
	for n := range count {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", n), service: spec.name, zone: zones[n%len(zones)], slots: 6, queue: 12,
			work: 78 * time.Millisecond, coldFactor: 2, log: d.log,
		}
		upstreams = append(upstreams, u)
		if err := u.start(d.ctx, d.store); err != nil {
			return err
		}
	}
	if err := d.startFleet(zones, 2); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	callers := &clients{host: spec.host, path: spec.path, method: "POST", deadline: time.Second, log: d.log}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	time.Sleep(5 * time.Second)
	owner := d.store.hubs()
	d.log.note("hubs: %v", owner)
	const clientsEach = 7
	clientsOf := map[string]context.CancelFunc{}
	for _, i := range d.fleet.instances {
		own, stop := context.WithCancel(ctx)
		clientsOf[i.name] = stop
		callers.run(own, &group, i, clientsEach)
	}
	if err := d.rest(4 * time.Second); err != nil {
		return err
	}
	disturbed, other, err := d.pair(d.store.busiestReader(time.Now().Add(-3 * time.Second)))
	if err != nil {
		return err
	}
	began := time.Now()
	if d.trouble {
		n := d.store.cut(disturbed.name, lostFor)
		d.log.note("%s is partitioned from the store for %s, %d connections are reset", disturbed.name, lostFor, n)
	}
	if err := d.rest(time.Until(began.Add(leavesAt))); err != nil {
		return err
	}
	d.log.note("hubs: %v; %s", d.store.hubs(), callers.summary())
	u := upstreams[0]
	acknowledged := u.leave()
	d.log.note("the store has acknowledged that %s is gone", u.id)
	time.Sleep(time.Until(began.Add(stopsAt)))
	d.log.note("%s gets SIGTERM", other.name)
	if err := other.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.AfterFunc(time.Second, clientsOf[other.name]) // The platform sends it no new connections.
	time.Sleep(time.Until(began.Add(revivedUntil)))
	d.log.note("hubs: %v", d.store.hubs())
	cancel()
	group.Wait()
	d.log.requests(callers, upstreams)
	d.log.note("%s", callers.summary())
	if late := judgeLeaving(d, callers, u, other.name, acknowledged); late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached an upstream more than %s after its leaving was acknowledged", errBroken, late, drainBound)
	}
	return nil
}

// pair returns the instance of the name and the other one of its zone.
func (d *deployment) pair(name string) (instance, other *instance, err error) {
	for _, i := range d.fleet.instances {
		if i.name == name {
			instance = i
		}
	}
	if instance == nil {
		return nil, nil, errors.New("no instance reads the list of targets")
	}
	for _, i := range d.fleet.instances {
		if i.zone == instance.zone && i != instance {
			other = i
		}
	}
	return instance, other, nil
}
