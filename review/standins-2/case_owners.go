package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// restartDelay is how long the platform takes to start a killed process again.
const restartDelay = 300 * time.Millisecond

// owners kills the instance that decides for a service while upstreams that have just joined are
// cold. It checks the rule FAILBACK.
func owners(d *deployment) error {
	zones := []string{"steyr", "wels", "gmunden"}
	spec := serviceSpec{name: "rundenplan", coldPerS: 17, routeType: "unsafe", timeout: "800ms", target: "200ms", attempts: 2, host: "jepu9.example", path: "/lepu270/"}
	bound := spec.coldPerS*coldOvershoot + coldSlack
	d.store.put("op/config", configuration(7, spec))
	var upstreams []*upstream
	add := func(coldFor time.Duration) (*upstream, error) {
		n := len(upstreams)
		u := &upstream{
			id: fmt.Sprintf("i-%08x", n), service: spec.name, zone: zones[n%len(zones)], slots: 6, queue: 12,
			work: 60 * time.Millisecond, coldFactor: 2, log: d.log,
		}
		if coldFor > 0 {
			u.turnCold(coldFor)
		}
		upstreams = append(upstreams, u)
		return u, u.start(d.ctx, d.store)
	}
	const atFirst, rounds, joining = 3, 6, 2
	for range atFirst {
		if _, err := add(0); err != nil {
			return err
		}
	}
	if err := d.startFleet(zones, 3); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	callers := &clients{host: spec.host, path: spec.path, method: "POST", deadline: 800 * time.Millisecond, pause: 5 * time.Millisecond, log: d.log}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	const clientsEach = 6
	for _, i := range d.fleet.instances {
		callers.run(ctx, &group, i, clientsEach)
	}
	if err := d.rest(5 * time.Second); err != nil {
		return err
	}
	broken := 0
	for round := range rounds {
		began := time.Now()
		var joined []*upstream
		for range joining {
			u, err := add(3 * time.Second)
			if err != nil {
				return err
			}
			joined = append(joined, u)
		}
		d.log.note("round %d: %d cold upstreams join", round+1, joining)
		time.Sleep(1500 * time.Millisecond)
		owner, _, err := d.pair(d.store.busiestReader(time.Now().Add(-2 * time.Second)))
		if err != nil {
			return err
		}
		if d.trouble {
			d.log.note("%s is killed", owner.name)
			if err := d.fleet.killAndRestart(owner, restartDelay); err != nil {
				return err
			}
			d.log.note("%s is started again", owner.name)
		}
		time.Sleep(time.Until(began.Add(4 * time.Second)))
		for _, u := range joined {
			broken += judgeCold(d, callers, u, began, bound)
		}
		for _, u := range joined {
			u.leave()
		}
		time.Sleep(2500 * time.Millisecond)
	}
	cancel()
	group.Wait()
	d.log.requests(callers, upstreams)
	d.log.note("%s", callers.summary())
	if broken > 0 {
		return fmt.Errorf("%w: FAILBACK: cold upstreams got more than %.1f requests in one second, %d times", errBroken, bound, broken)
	}
	return nil
}
