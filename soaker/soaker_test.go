package soaker

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestShortRunsKeepThePromises(t *testing.T) {
	c := qt.New(t)
	soak := &Soak{Seed: 1, Span: 7 * time.Second, Quiet: 2 * time.Second, Instances: 5, Rate: 60}
	report, err := soak.Run(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(report.Broke(), qt.IsFalse, qt.Commentf("%+v\n%v", report, soak.Tail()))
	c.Assert(report.Done > 0, qt.IsTrue)
}

func TestScheduleComesFromItsSeed(t *testing.T) {
	c := qt.New(t)
	c.Assert(Schedule(3, time.Minute), qt.DeepEquals, Schedule(3, time.Minute))
	c.Assert(Schedule(3, time.Minute), qt.Not(qt.DeepEquals), Schedule(4, time.Minute))
	seen := map[Kind]bool{}
	for _, f := range Schedule(3, 10*time.Minute) {
		seen[f.Kind] = true
		c.Assert(f.At+f.For <= 10*time.Minute, qt.IsTrue)
	}
	c.Assert(len(seen), qt.Equals, len(kinds()))
}

func TestHistoriesOfAKey(t *testing.T) {
	c := qt.New(t)
	at := func(ms int) time.Time { return time.Date(2026, 12, 4, 3, 0, 0, ms*1e6, time.UTC) }
	one := func(name string, from, to int, outcome hemlocktally.Outcome, ranAs string) *attempt {
		return &attempt{name: name, began: at(from), ended: at(to), outcome: outcome, ranAs: ranAs}
	}
	const done, unknown, notRun = hemlocktally.OutcomeDone, hemlocktally.OutcomeUnknown, hemlocktally.OutcomeNotRun
	c.Check(legal([]*attempt{one("w#1", 0, 10, unknown, ""), one("w#2", 20, 30, done, "w#1")}), qt.IsTrue)
	c.Check(legal([]*attempt{one("w#1", 0, 10, notRun, ""), one("w#2", 20, 30, done, "w#2")}), qt.IsTrue)
	c.Check(legal([]*attempt{one("w#1", 0, 10, done, "w#1"), one("w#2", 20, 30, done, "w#2")}), qt.IsFalse)
	c.Check(legal([]*attempt{one("w#1", 0, 10, "", ""), one("w#2", 5, 30, done, "w#2"), one("w#3", 40, 50, done, "w#1")}), qt.IsFalse)
}
