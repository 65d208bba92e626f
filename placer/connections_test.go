package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// runLowLoad simulates a zone with many instances at a low rate, where each call takes a fifth
// of its objective. It returns the number of grants, the number of connections opened for them
// if idle ones are closed after eight seconds, and the grants per target.
func runLowLoad(instances, targets int, span time.Duration) (granted, dials int, perTarget map[hemlocktally.TargetName]int) {
	var list []hemlocktally.Registration
	for i := range targets {
		r := target(fmt.Sprint("t", i), "a")
		r.Target.Slots = 6
		list = append(list, r)
	}
	h := newHarness(list...)
	perTarget = map[hemlocktally.TargetName]int{}
	type key struct {
		from   hemlocktally.InstanceID
		target hemlocktally.TargetName
	}
	idle := map[key][]time.Time{}
	type call struct {
		grant hemlocktally.Grant
		from  hemlocktally.InstanceID
		ends  time.Time
	}
	var active []call
	const work, objective, interval = 160 * time.Millisecond, 800 * time.Millisecond, 3 * time.Millisecond
	for n := 0; h.now.Before(startTime.Add(span)); n++ {
		h.now = h.now.Add(interval)
		for len(active) > 0 && !active[0].ends.After(h.now) {
			finished := active[0]
			active = active[1:]
			idle[key{finished.from, finished.grant.Target.Name}] = append(idle[key{finished.from, finished.grant.Target.Name}], h.now)
			h.update(ReleaseMsg{Result: hemlocktally.GrantResult{
				Grant: finished.grant, Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: work, Load: &hemlocktally.Load{Slots: 6, Pace: 1},
			}})
		}
		msg := h.request()
		msg.From = hemlocktally.InstanceID(fmt.Sprint("e", (n*7919)%instances))
		msg.Request.Objective = h.now.Add(objective)
		commands := h.update(msg)
		for i := 0; i < len(commands); i++ {
			if probe, ok := commands[i].(ProbeCmd); ok {
				commands = append(commands, h.report(string(probe.Target.Name), 1+float64((n+i)%4)/10)...)
			}
		}
		for _, grant := range grants(commands) {
			granted++
			perTarget[grant.Target.Name]++
			links := idle[key{msg.From, grant.Target.Name}]
			for len(links) > 0 && h.now.Sub(links[0]) > 8*time.Second {
				links = links[1:]
			}
			if len(links) == 0 {
				dials++
			} else {
				links = links[:len(links)-1]
			}
			idle[key{msg.From, grant.Target.Name}] = links
			active = append(active, call{grant, msg.From, h.now.Add(work)})
		}
	}
	return granted, dials, perTarget
}

// At a low rate in a large zone, instances must reuse their connections, and no target in use
// may get far more calls than the others.
func TestConnectionsAreReusedAtLowLoad(t *testing.T) {
	c := qt.New(t)
	const targets = 25
	granted, dials, perTarget := runLowLoad(24, targets, 20*time.Second)
	c.Check(granted > 6000, qt.IsTrue)
	c.Check(dials*5 <= granted, qt.IsTrue, qt.Commentf("%d connections for %d grants", dials, granted))
	busiest := 0
	for _, n := range perTarget {
		busiest = max(busiest, n)
	}
	c.Check(busiest*len(perTarget) <= 2*granted, qt.IsTrue, qt.Commentf("%v", perTarget))
}

// An added target must get calls soon, even while all other targets have idle connections.
func TestAddedTargetGetsCalls(t *testing.T) {
	c := qt.New(t)
	h := newHarness(target("x", "a"), target("y", "a"))
	for range 6 {
		got := h.acquireFresh("x", "y")
		c.Assert(got, qt.HasLen, 1)
		h.releaseWith(got[0], func(r *hemlocktally.GrantResult) { r.Load = &hemlocktally.Load{Slots: 2, Pace: 1} })
	}
	h.configure(nil, target("x", "a"), target("y", "a"), target("new", "a"))
	got := h.acquireFresh("x", "y", "new")
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("new"))
}
