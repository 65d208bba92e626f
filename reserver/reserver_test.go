package reserver_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/reserver"
)

var (
	crowded = netip.MustParseAddr("192.0.2.1")
	light   = netip.MustParseAddr("192.0.2.2")
)

func ignore(reserver.Activity) {}

// What is reserved must be released completely; a leak would refuse all callers in the end.
func TestReleasedMemoryIsAvailableAgain(t *testing.T) {
	c := qt.New(t)
	r := &reserver.Reserver{Bytes: 1 << 20}
	for range 1000 {
		h := r.Open(light, ignore)
		c.Assert(h, qt.IsNotNil)
		c.Assert(h.Reserve(500<<10), qt.IsTrue)
		c.Assert(h.Reserve(600<<10), qt.IsFalse)
		h.Release(500 << 10)
		h.Close()
		h.Close()
		c.Assert(h.TryReserve(1), qt.IsFalse) // Nobody would release it.
	}
	stats := r.Stats()
	c.Check(stats.Used, qt.Equals, int64(0))
	c.Check(stats.Connections, qt.Equals, 0)
	c.Check(stats.Addresses, qt.Equals, 0)
	c.Check(stats.Refusals[reserver.KindMemory], qt.Equals, uint64(1000))
}

// One address that uses up what it may must not keep the others from being served.
func TestLightAddressIsServedBesideACrowdedOne(t *testing.T) {
	c := qt.New(t)
	r := &reserver.Reserver{Bytes: 8 << 20}
	crowd := r.Open(crowded, ignore)
	for crowd.Reserve(64 << 10) {
	}
	other := r.Open(light, ignore)
	c.Assert(other, qt.IsNotNil)
	c.Check(other.Reserve(reserver.RequestCost), qt.IsTrue)
	c.Check(r.Open(crowded, ignore), qt.IsNil)
}

// Beyond the budget the connection that moves the fewest bytes goes, not one that is being served
// or that is fast.
func TestSlowestConnectionIsEvicted(t *testing.T) {
	c := qt.New(t)
	r := &reserver.Reserver{Bytes: 8 << 20}
	evicted := make(chan string, 8)
	open := func(name string, activity reserver.Activity, moved int) *reserver.Holder {
		h := r.Open(crowded, func(reserver.Activity) { evicted <- name })
		c.Assert(h.Reserve(2<<20), qt.IsTrue)
		h.Wait(activity)
		if moved > 0 {
			h.Moved(moved)
			h.Wait(activity)
		}
		return h
	}
	served := open("served", reserver.Receiving, 0)
	served.Moved(1)
	open("fast", reserver.Receiving, 1<<20)
	slow := open("slow", reserver.Sending, 10)
	time.Sleep(300 * time.Millisecond) // A connection counts as slow after 250 ms.
	other := r.Open(light, ignore)
	c.Check(other.Reserve(3<<20), qt.IsFalse)
	c.Check(<-evicted, qt.Equals, "slow")
	c.Check(slow.Evicted(), qt.IsTrue)
	slow.Release(2 << 20)
	slow.Close()
	c.Check(other.Reserve(1<<20), qt.IsTrue)
	c.Check(evicted, qt.HasLen, 0)
}

// Idle connections must neither fill the limit for ever nor give way to their own address's
// newcomers at the cost of others.
func TestIdleConnectionGivesWay(t *testing.T) {
	c := qt.New(t)
	r := &reserver.Reserver{Connections: 10}
	kept := r.Open(light, func(reserver.Activity) { t.Error("the connection of the light address was evicted") })
	kept.Wait(reserver.Idle)
	var evicted atomic.Int32
	for range 100 {
		h := r.Open(crowded, func(reserver.Activity) { evicted.Add(1) })
		c.Assert(h, qt.IsNotNil)
		h.Wait(reserver.Idle)
		c.Assert(r.Stats().Connections <= 10, qt.IsTrue)
	}
	for evicted.Load() < 91 {
		time.Sleep(time.Millisecond)
	}
	c.Check(kept.Evicted(), qt.IsFalse)
}

// Connections that are being served are not closed for new ones.
func TestServedConnectionsStay(t *testing.T) {
	c := qt.New(t)
	r := &reserver.Reserver{Connections: 2}
	r.Open(light, ignore)
	r.Open(light, ignore)
	c.Check(r.Open(crowded, ignore), qt.IsNil)
	c.Check(r.Stats().Refusals[reserver.KindConnections], qt.Equals, uint64(1))
}

// Floods must not flood the log.
func TestReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	reports := 0
	r := &reserver.Reserver{Bytes: 1, Report: func(reserver.Kind, uint64, netip.Addr) { reports++ }}
	started := time.Now()
	for range 1000 {
		r.Open(light, ignore)
	}
	c.Check(reports <= 1+int(time.Since(started)/time.Second), qt.IsTrue)
	c.Check(r.Stats().Refusals[reserver.KindMemory], qt.Equals, uint64(1000))
}

// Without a budget nothing is refused.
func TestNilHolderHasNoLimits(t *testing.T) {
	c := qt.New(t)
	var h *reserver.Holder
	c.Check(h.Reserve(1<<40), qt.IsTrue)
	c.Check(h.Evicted(), qt.IsFalse)
	h.Wait(reserver.Sending)
	h.Moved(1)
	h.Note(reserver.KindMemory)
	h.Release(1)
	h.Close()
}

// BenchmarkRequest measures what the budget adds to a request without a body.
func BenchmarkRequest(b *testing.B) {
	r := &reserver.Reserver{Bytes: 1 << 30, Connections: 1 << 20}
	h := r.Open(light, ignore)
	for b.Loop() {
		h.Wait(reserver.Idle)
		h.Moved(200)
		h.Reserve(reserver.RequestCost)
		h.Wait(reserver.Sending)
		h.Moved(200)
		h.Release(reserver.RequestCost)
	}
}
