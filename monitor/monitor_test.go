package monitor_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/monitor"
)

func target(n int) hemlocktally.Target {
	return hemlocktally.Target{Name: hemlocktally.TargetName(fmt.Sprint(n)), Address: fmt.Sprint("10.0.0.", n)}
}

func await(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatal(what)
		}
	}
}

// An instance whose network fails notices it by two failures, and notices its return by itself.
func TestIsolationIsNoticedAndEnds(t *testing.T) {
	c := qt.New(t)
	var cut atomic.Bool
	cut.Store(true)
	m := &monitor.Monitor{Reach: func(context.Context, hemlocktally.Target) error {
		if cut.Load() {
			return errors.New("no route")
		}
		return nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- m.Run(ctx) }()
	for n := range 10 {
		m.Note("s", target(n))
	}
	c.Check(m.Isolated("s"), qt.IsFalse)
	m.Failed("s", target(1))
	m.Failed("s", target(2))
	await(c, "isolated", func() bool { return m.Isolated("s") })
	c.Check(m.IsolatedServices(), qt.Equals, int64(1))
	cut.Store(false)
	await(c, "reachable", func() bool { return !m.Isolated("s") })
	c.Check(m.IsolatedServices(), qt.Equals, int64(0))
	cancel()
	c.Check(<-done, qt.IsNil)
}

// A zone whose targets are all down, and of which this instance knows most, is not taken for a
// failure of its own network.
func TestZoneThatIsDownIsNoIsolation(t *testing.T) {
	c := qt.New(t)
	var checks atomic.Int64
	m := &monitor.Monitor{Reach: func(_ context.Context, t hemlocktally.Target) error {
		checks.Add(1)
		if t.Zone == "down" {
			return errors.New("connection refused")
		}
		return nil
	}}
	for n := range 40 {
		t := target(n)
		t.Zone = "down"
		if n%10 == 0 {
			t.Zone = hemlocktally.ZoneName(fmt.Sprint("up", n%20))
		}
		m.Note("s", t)
	}
	for round := range 20 {
		before := checks.Load()
		m.Failed("s", hemlocktally.Target{Name: hemlocktally.TargetName(fmt.Sprint(round%2 + 1)), Zone: "down", Address: fmt.Sprint("10.0.0.", round%2+1)})
		m.Failed("s", hemlocktally.Target{Name: hemlocktally.TargetName(fmt.Sprint(round%2 + 3)), Zone: "down", Address: fmt.Sprint("10.0.0.", round%2+3)})
		await(c, "a check", func() bool { return checks.Load() > before })
		time.Sleep(20 * time.Millisecond)
		c.Check(m.Isolated("s"), qt.IsFalse)
		time.Sleep(300 * time.Millisecond)
	}
}
