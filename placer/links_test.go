package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// quietZone runs a zone of many instances at a quiet rate for a while: each call
// takes a fifth of its objective. It returns the turns and the connections that
// had to be opened for them, by idle links that close after eight seconds.
func quietZone(instances, targets int, span time.Duration) (turns, dials int, used map[hemlocktally.TargetName]int) {
	var list []hemlocktally.Registration
	for i := range targets {
		r := target(fmt.Sprint("t", i), "a")
		r.Target.Slots = 6
		list = append(list, r)
	}
	d := newDesk(list...)
	used = map[hemlocktally.TargetName]int{}
	type key struct {
		from   hemlocktally.InstanceID
		target hemlocktally.TargetName
	}
	idle := map[key][]time.Time{}
	type running struct {
		grant hemlocktally.Grant
		from  hemlocktally.InstanceID
		ends  time.Time
	}
	var open []running
	const work, objective, interval = 160 * time.Millisecond, 800 * time.Millisecond, 3 * time.Millisecond
	for n := 0; d.now.Before(start.Add(span)); n++ {
		d.now = d.now.Add(interval)
		for len(open) > 0 && !open[0].ends.After(d.now) {
			one := open[0]
			open = open[1:]
			idle[key{one.from, one.grant.Target.Name}] = append(idle[key{one.from, one.grant.Target.Name}], d.now)
			d.update(EndMsg{Result: hemlocktally.GrantResult{
				Grant: one.grant, Contract: "c", Outcome: hemlocktally.AttemptDone, Latency: work, Load: &hemlocktally.Load{Slots: 6, Pace: 1},
			}})
		}
		ask := d.request()
		ask.From = hemlocktally.InstanceID(fmt.Sprint("e", (n*7919)%instances))
		ask.Request.Objective = d.now.Add(objective)
		commands := d.update(ask)
		for i := 0; i < len(commands); i++ {
			if probe, ok := commands[i].(ProbeCmd); ok {
				commands = append(commands, d.report(string(probe.Target.Name), 1+float64((n+i)%4)/10)...)
			}
		}
		for _, grant := range grants(commands) {
			turns++
			used[grant.Target.Name]++
			links := idle[key{ask.From, grant.Target.Name}]
			for len(links) > 0 && d.now.Sub(links[0]) > 8*time.Second {
				links = links[1:]
			}
			if len(links) == 0 {
				dials++
			} else {
				links = links[:len(links)-1]
			}
			idle[key{ask.From, grant.Target.Name}] = links
			open = append(open, running{grant, ask.From, d.now.Add(work)})
		}
	}
	return turns, dials, used
}

// A quiet zone of a large service: instances go on using the connections that they
// have, and no target that is used gets far more work than the others.
func TestQuietZoneReusesItsConnections(t *testing.T) {
	c := qt.New(t)
	const targets = 25
	turns, dials, used := quietZone(24, targets, 20*time.Second)
	c.Check(turns > 6000, qt.IsTrue)
	c.Check(dials*5 <= turns, qt.IsTrue, qt.Commentf("%d connections for %d turns", dials, turns))
	busiest := 0
	for _, n := range used {
		busiest = max(busiest, n)
	}
	c.Check(busiest*len(used) <= 2*turns, qt.IsTrue, qt.Commentf("%v", used))
}

// A target that joins gets work within seconds, also while all others have idle
// links.
func TestTargetThatJoinsGetsWork(t *testing.T) {
	c := qt.New(t)
	d := newDesk(target("x", "a"), target("y", "a"))
	for range 6 {
		got := d.granted("x", "y")
		c.Assert(got, qt.HasLen, 1)
		d.ended(got[0], func(r *hemlocktally.GrantResult) { r.Load = &hemlocktally.Load{Slots: 2, Pace: 1} })
	}
	d.configure(nil, target("x", "a"), target("y", "a"), target("new", "a"))
	got := d.granted("x", "y", "new")
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Target.Name, qt.Equals, hemlocktally.TargetName("new"))
}
