package dispatcher

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// The second attempt must come early enough to meet the objective, but not before the first one
// had time for its work, also if the call has waited for its target.
func TestHedgeDelay(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct{ objective, waited, median, want time.Duration }{
		"half of the objective is early enough":    {1200 * ms, 0, 200 * ms, 600 * ms},
		"half of the objective is too late":        {600 * ms, 0, 160 * ms, 280 * ms},
		"the wait for a target counts":             {600 * ms, 10 * ms, 160 * ms, 270 * ms},
		"the first attempt gets time for its work": {500 * ms, 200 * ms, 160 * ms, 208 * ms},
		"the objective is hardly more than work":   {200 * ms, 0, 140 * ms, 182 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, hedgeDelay(test.objective, test.waited, test.median), qt.Equals, test.want)
		})
	}
}

// Second attempts start as before in a configuration that does not weigh the zones, where the
// mechanism is off, and while the work is not known.
func TestEarlyHedgesOnlyWhereTheyAreAskedFor(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	d := &Dispatcher{EarlyHedges: true}
	of := &call{dispatcher: d, config: &hemlocktally.Configuration{KeysRequired: true}, started: now, contract: hemlocktally.Contract{Name: "c", Objective: time.Second}}
	_, ok := of.earlyHedgeDelay(now)
	c.Check(ok, qt.IsFalse)
	for range latencyMinCalls {
		d.latencies.record("c", 400*time.Millisecond, now)
	}
	delay, ok := of.earlyHedgeDelay(now)
	c.Assert(ok, qt.IsTrue)
	c.Check(delay > 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", delay))
	of.config = &hemlocktally.Configuration{}
	_, ok = of.earlyHedgeDelay(now)
	c.Check(ok, qt.IsFalse)
	of.config = &hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{LargeResponses: true}}}
	_, ok = of.earlyHedgeDelay(now)
	c.Check(ok, qt.IsTrue)
	d.EarlyHedges = false
	_, ok = of.earlyHedgeDelay(now)
	c.Check(ok, qt.IsFalse)
}
