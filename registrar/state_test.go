package registrar

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

// converged reports whether every live node sees exactly the live nodes as Serving.
func (s *simulation) converged() bool {
	var want []hemlocktally.InstanceID
	for _, n := range s.live() {
		want = append(want, n.state.Self.ID)
	}
	slices.Sort(want)
	for _, n := range s.live() {
		if !slices.Equal(n.serving(), want) {
			return false
		}
	}
	return true
}

// detectionLimit is how soon all members must have detected a crash or a return.
const detectionLimit = 1250 * time.Millisecond

func newConvergedFleet(c *qt.C, seed uint64, count int) *simulation {
	s := newSimulation(seed, count)
	s.run(5 * time.Second)
	c.Assert(s.converged(), qt.IsTrue)
	s.changes = nil
	return s
}

func (s *simulation) assertInvariants(c *qt.C) {
	for _, n := range s.nodes {
		c.Check(n.violation, qt.Equals, "", qt.Commentf("%s", n.state.Self.ID))
	}
}

func TestCrashChangesOnlyTheCrashedMember(t *testing.T) {
	for seed := range uint64(3) {
		c := qt.New(t)
		s := newConvergedFleet(c, seed, 16)
		crashed := s.nodes[seed]
		crashed.crashed = true
		s.run(detectionLimit)
		c.Check(s.converged(), qt.IsTrue)
		for _, change := range s.changes {
			c.Check(change.Member.ID, qt.Equals, crashed.state.Self.ID)
		}
		s.run(simulatedTTL + 2*time.Second)
		_, found := s.live()[0].lastView.Find(crashed.state.Self.ID)
		c.Check(found, qt.IsFalse)
		s.assertInvariants(c)
	}
}

func TestMissedHeartbeatsChangeNoMember(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 3, 9)
	for range 8 {
		s.lossRate = 1
		s.run(100 * time.Millisecond)
		s.lossRate = 0
		s.run(2 * time.Second)
	}
	c.Check(s.changes, qt.HasLen, 0)
	s.assertInvariants(c)
}

func TestPausedInstanceReturnsAsNewIncarnation(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 4, 9)
	paused := s.nodes[2]
	before := paused.state.Self.Incarnation
	lease := paused.state.Lease()
	s.pause(paused)
	s.run(detectionLimit)
	c.Check(s.nodes[0].serving(), qt.HasLen, 8)
	s.run(10 * time.Second)
	c.Check(lease.live(s.now), qt.IsFalse)
	s.resume(paused)
	s.run(5 * time.Second)
	c.Check(s.converged(), qt.IsTrue)
	c.Check(paused.state.Self.Incarnation > before, qt.IsTrue)
	c.Check(paused.state.Lease().id, qt.Not(qt.Equals), lease.id)
	s.assertInvariants(c)
}

func TestShortPauseKeepsLease(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 5, 9)
	lease := s.nodes[2].state.Lease()
	s.pause(s.nodes[2])
	s.run(2 * time.Second)
	s.resume(s.nodes[2])
	s.run(detectionLimit)
	c.Check(s.converged(), qt.IsTrue)
	c.Check(s.nodes[2].state.Lease().id, qt.Equals, lease.id)
	s.assertInvariants(c)
}

func TestOutageFreezesTheView(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 6, 9)
	s.storeDown = true
	s.nodes[1].crashed = true
	s.run(30 * time.Second)
	for _, n := range s.live() {
		c.Check(n.lastView.Frozen, qt.IsTrue)
		c.Check(n.lastView.Members, qt.HasLen, 9)
		c.Check(n.serving(), qt.HasLen, 8)
		c.Check(n.state.Lease().live(s.now), qt.IsFalse)
	}
	s.addNode("", "")
	s.run(5 * time.Second)
	c.Check(s.nodes[0].serving(), qt.HasLen, 9)
	s.storeDown = false
	s.run(10 * time.Second)
	c.Check(s.converged(), qt.IsTrue)
	for _, n := range s.live() {
		c.Check(n.lastView.Frozen, qt.IsFalse)
		c.Check(n.lastView.Members, qt.HasLen, 9)
	}
	s.assertInvariants(c)
}

func TestPeerRelaysRenewals(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 7, 5)
	lease := s.nodes[0].state.Lease()
	s.nodes[0].storeUnreachable = true
	s.run(30 * time.Second)
	c.Check(s.nodes[0].state.Lease().id, qt.Equals, lease.id)
	c.Check(s.nodes[0].state.Lease().live(s.now), qt.IsTrue)
	s.assertInvariants(c)
}

func TestReusedAddressIsAnotherInstance(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 8, 9)
	s.nodes[4].crashed = true
	s.addNode("replacement", s.nodes[4].address)
	s.run(3 * time.Second)
	c.Check(s.converged(), qt.IsTrue)
	s.assertInvariants(c)
}

func TestReusedIDIsAnotherIncarnation(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 9, 9)
	s.nodes[4].crashed = true
	next := s.addNode(s.nodes[4].state.Self.ID, "")
	next.state.Self.Incarnation = "00000000000000000000000000" // As from a clock far behind.
	s.run(3 * time.Second)
	c.Check(s.converged(), qt.IsTrue)
	member, _ := s.nodes[0].lastView.Find(next.state.Self.ID)
	c.Check(member.PeerAddress, qt.Equals, next.address)
	s.assertInvariants(c)
}

func TestPlannedLeaveReachesAllMembers(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 10, 16)
	s.step(s.nodes[3], LeaveMsg{}, nil)
	s.run(time.Second)
	for _, n := range s.live() {
		member, _ := n.lastView.Find(s.nodes[3].state.Self.ID)
		c.Check(member.State, qt.Equals, hemlocktally.InstanceLeaving)
	}
	s.step(s.nodes[3], DepartMsg{}, nil)
	s.nodes[3].crashed = true
	s.run(time.Second)
	for _, n := range s.live() {
		_, found := n.lastView.Find(s.nodes[3].state.Self.ID)
		c.Check(found, qt.IsFalse)
	}
	s.assertInvariants(c)
}

func TestPartitionedHalvesServeAndReconverge(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 11, 16)
	left := map[*node]bool{}
	for _, n := range s.nodes[:8] {
		left[n] = true
	}
	s.partitioned = func(a, b *node) bool { return left[a] != left[b] }
	s.run(5 * time.Second)
	for _, n := range s.live() {
		c.Check(n.serving(), qt.HasLen, 8)
	}
	s.partitioned = func(*node, *node) bool { return false }
	s.run(5 * time.Second)
	c.Check(s.converged(), qt.IsTrue)
	s.assertInvariants(c)
}

func TestInstanceWithoutConfigurationStaysStarting(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(13, 1)
	n := s.nodes[0]
	s.step(n, TickMsg{Starting: true}, nil)
	c.Check(n.serving(), qt.HasLen, 0)
	s.step(n, TickMsg{Revision: 1}, nil)
	c.Check(n.serving(), qt.HasLen, 1)
	s.step(n, TickMsg{Starting: true}, nil)
	c.Check(n.serving(), qt.HasLen, 1)
}

func TestMembersOutOfServiceDoNotServe(t *testing.T) {
	c := qt.New(t)
	s := newConvergedFleet(c, 12, 5)
	n := s.nodes[0]
	s.step(n, TickMsg{Out: true, Revision: 7}, nil)
	c.Check(n.state.Self.State, qt.Equals, hemlocktally.InstanceOut)
	c.Check(n.state.Self.Revision, qt.Equals, hemlocktally.Revision(7))
	s.step(n, LeaveMsg{}, nil)
	s.step(n, TickMsg{}, nil)
	c.Check(n.state.Self.State, qt.Equals, hemlocktally.InstanceLeaving)
}

// TestFleetConvergesAfterFaults injects random overlapping faults and, once they are
// removed, requires the views to converge.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 6)
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			s.injectFault(t)
			s.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		s.lossRate, s.duplicateRate, s.storeDown = 0, 0, false
		s.partitioned = func(*node, *node) bool { return false }
		for _, n := range s.nodes {
			n.storeUnreachable = false
			if n.paused {
				s.resume(n)
			}
		}
		s.run(15 * time.Second)
		if !s.converged() {
			t.Fatal("the views did not converge after the faults")
		}
		for _, n := range s.nodes {
			if n.violation != "" {
				t.Fatalf("%s: %s", n.state.Self.ID, n.violation)
			}
		}
	})
}

func (s *simulation) injectFault(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"pause", "resume", "crash", "replace", "loss", "repeat", "store", "reach", "split"}).Draw(t, "fault") {
	case "pause":
		s.pause(n)
	case "resume":
		s.resume(n)
	case "crash":
		n.crashed = len(s.live()) > 3
	case "replace":
		if s.nodeAt(n.address) == nil && len(s.nodes) < 10 {
			s.addNode("", n.address)
		}
	case "loss":
		s.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "share")
	case "repeat":
		s.duplicateRate = 0.3
	case "store":
		s.storeDown = !s.storeDown
	case "reach":
		n.storeUnreachable = !n.storeUnreachable
	case "split":
		s.partitioned = func(a, b *node) bool { return (a == n) != (b == n) }
	}
}
