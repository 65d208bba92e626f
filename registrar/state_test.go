package registrar

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

// agreed reports whether every live node takes just the live ones for serving.
func (s *simulation) agreed() bool {
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

// noticed is the time within which a crash or a return must be known.
const noticed = 1250 * time.Millisecond

func form(c *qt.C, seed uint64, count int) *simulation {
	s := simulate(seed, count)
	s.run(5 * time.Second)
	c.Assert(s.agreed(), qt.IsTrue)
	s.changes = nil
	return s
}

func (s *simulation) sound(c *qt.C) {
	for _, n := range s.nodes {
		c.Check(n.fault, qt.Equals, "", qt.Commentf("%s", n.state.Self.ID))
	}
}

func TestCrashIsNoticedAndNothingElseMoves(t *testing.T) {
	for seed := range uint64(3) {
		c := qt.New(t)
		s := form(c, seed, 16)
		crashed := s.nodes[seed]
		crashed.crashed = true
		s.run(noticed)
		c.Check(s.agreed(), qt.IsTrue)
		for _, change := range s.changes {
			c.Check(change.Member.ID, qt.Equals, crashed.state.Self.ID)
		}
		s.run(simulateTTL + 2*time.Second)
		_, found := s.live()[0].last.Find(crashed.state.Self.ID)
		c.Check(found, qt.IsFalse)
		s.sound(c)
	}
}

func TestMissedBeatsMoveNobody(t *testing.T) {
	c := qt.New(t)
	s := form(c, 3, 9)
	for range 8 {
		s.loss = 1
		s.run(100 * time.Millisecond)
		s.loss = 0
		s.run(2 * time.Second)
	}
	c.Check(s.changes, qt.HasLen, 0)
	s.sound(c)
}

func TestPausedHolderHasNoLeaseAndComesBackAsAnother(t *testing.T) {
	c := qt.New(t)
	s := form(c, 4, 9)
	paused := s.nodes[2]
	before := paused.state.Self.Incarnation
	lease := paused.state.Lease()
	s.pause(paused)
	s.run(noticed)
	c.Check(s.nodes[0].serving(), qt.HasLen, 8)
	s.run(10 * time.Second)
	c.Check(lease.live(s.now), qt.IsFalse)
	s.resume(paused)
	s.run(5 * time.Second)
	c.Check(s.agreed(), qt.IsTrue)
	c.Check(paused.state.Self.Incarnation > before, qt.IsTrue)
	c.Check(paused.state.Lease().id, qt.Not(qt.Equals), lease.id)
	s.sound(c)
}

func TestShortPauseComesBackUnderItsLease(t *testing.T) {
	c := qt.New(t)
	s := form(c, 5, 9)
	lease := s.nodes[2].state.Lease()
	s.pause(s.nodes[2])
	s.run(2 * time.Second)
	s.resume(s.nodes[2])
	s.run(noticed)
	c.Check(s.agreed(), qt.IsTrue)
	c.Check(s.nodes[2].state.Lease().id, qt.Equals, lease.id)
	s.sound(c)
}

func TestOutageFreezesTheView(t *testing.T) {
	c := qt.New(t)
	s := form(c, 6, 9)
	s.storeDown = true
	s.nodes[1].crashed = true
	s.run(30 * time.Second)
	for _, n := range s.live() {
		c.Check(n.last.Frozen, qt.IsTrue)
		c.Check(n.last.Members, qt.HasLen, 9)
		c.Check(n.serving(), qt.HasLen, 8)
		c.Check(n.state.Lease().live(s.now), qt.IsFalse)
	}
	s.add("", "")
	s.run(5 * time.Second)
	c.Check(s.nodes[0].serving(), qt.HasLen, 9)
	s.storeDown = false
	s.run(10 * time.Second)
	c.Check(s.agreed(), qt.IsTrue)
	for _, n := range s.live() {
		c.Check(n.last.Frozen, qt.IsFalse)
		c.Check(n.last.Members, qt.HasLen, 9)
	}
	s.sound(c)
}

func TestPeerRelaysRenewals(t *testing.T) {
	c := qt.New(t)
	s := form(c, 7, 5)
	lease := s.nodes[0].state.Lease()
	s.nodes[0].noStore = true
	s.run(30 * time.Second)
	c.Check(s.nodes[0].state.Lease().id, qt.Equals, lease.id)
	c.Check(s.nodes[0].state.Lease().live(s.now), qt.IsTrue)
	s.sound(c)
}

func TestReusedAddressIsAnotherInstance(t *testing.T) {
	c := qt.New(t)
	s := form(c, 8, 9)
	s.nodes[4].crashed = true
	s.add("replacement", s.nodes[4].address)
	s.run(3 * time.Second)
	c.Check(s.agreed(), qt.IsTrue)
	s.sound(c)
}

func TestReusedIDIsAnotherIncarnation(t *testing.T) {
	c := qt.New(t)
	s := form(c, 9, 9)
	s.nodes[4].crashed = true
	next := s.add(s.nodes[4].state.Self.ID, "")
	next.state.Self.Incarnation = "00000000000000000000000000" // Its clock is far behind.
	s.run(3 * time.Second)
	c.Check(s.agreed(), qt.IsTrue)
	member, _ := s.nodes[0].last.Find(next.state.Self.ID)
	c.Check(member.PeerAddress, qt.Equals, next.address)
	s.sound(c)
}

func TestPlannedLeaveIsSpreadBeforeItEnds(t *testing.T) {
	c := qt.New(t)
	s := form(c, 10, 16)
	s.step(s.nodes[3], LeaveMsg{}, nil)
	s.run(time.Second)
	for _, n := range s.live() {
		member, _ := n.last.Find(s.nodes[3].state.Self.ID)
		c.Check(member.State, qt.Equals, hemlocktally.InstanceLeaving)
	}
	s.step(s.nodes[3], DepartMsg{}, nil)
	s.nodes[3].crashed = true
	s.run(time.Second)
	for _, n := range s.live() {
		_, found := n.last.Find(s.nodes[3].state.Self.ID)
		c.Check(found, qt.IsFalse)
	}
	s.sound(c)
}

func TestSplitHalvesServeAloneAndHeal(t *testing.T) {
	c := qt.New(t)
	s := form(c, 11, 16)
	left := map[*node]bool{}
	for _, n := range s.nodes[:8] {
		left[n] = true
	}
	s.cut = func(a, b *node) bool { return left[a] != left[b] }
	s.run(5 * time.Second)
	for _, n := range s.live() {
		c.Check(n.serving(), qt.HasLen, 8)
	}
	s.cut = func(*node, *node) bool { return false }
	s.run(5 * time.Second)
	c.Check(s.agreed(), qt.IsTrue)
	s.sound(c)
}

func TestInstanceWithoutConfigurationOnlyStarts(t *testing.T) {
	c := qt.New(t)
	s := simulate(13, 1)
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
	s := form(c, 12, 5)
	n := s.nodes[0]
	s.step(n, TickMsg{Out: true, Revision: 7}, nil)
	c.Check(n.state.Self.State, qt.Equals, hemlocktally.InstanceOut)
	c.Check(n.state.Self.Revision, qt.Equals, hemlocktally.Revision(7))
	s.step(n, LeaveMsg{}, nil)
	s.step(n, TickMsg{}, nil)
	c.Check(n.state.Self.State, qt.Equals, hemlocktally.InstanceLeaving)
}

// TestFleetRepairsItself draws faults, lets them act together, and then asks
// that the fleet agrees again.
func TestFleetRepairsItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := simulate(rapid.Uint64().Draw(t, "seed"), 6)
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			s.disturb(t)
			s.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		s.loss, s.repeat, s.storeDown = 0, 0, false
		s.cut = func(*node, *node) bool { return false }
		for _, n := range s.nodes {
			n.noStore = false
			if n.paused {
				s.resume(n)
			}
		}
		s.run(15 * time.Second)
		if !s.agreed() {
			t.Fatal("the views did not agree again")
		}
		for _, n := range s.nodes {
			if n.fault != "" {
				t.Fatalf("%s: %s", n.state.Self.ID, n.fault)
			}
		}
	})
}

func (s *simulation) disturb(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"pause", "resume", "crash", "replace", "loss", "repeat", "store", "reach", "split"}).Draw(t, "fault") {
	case "pause":
		s.pause(n)
	case "resume":
		s.resume(n)
	case "crash":
		n.crashed = len(s.live()) > 3
	case "replace":
		if s.at(n.address) == nil && len(s.nodes) < 10 {
			s.add("", n.address)
		}
	case "loss":
		s.loss = rapid.Float64Range(0, 0.5).Draw(t, "share")
	case "repeat":
		s.repeat = 0.3
	case "store":
		s.storeDown = !s.storeDown
	case "reach":
		n.noStore = !n.noStore
	case "split":
		s.cut = func(a, b *node) bool { return (a == n) != (b == n) }
	}
}
