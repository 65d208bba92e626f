package claimer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// startHandOver drives the hand-over of the first ranges from one state to the other
// up to the write of the table, and returns that write's command.
func startHandOver(c *qt.C, from, to *State) SwapCmd {
	from.Update(MembersMsg{Serving: []hemlocktally.Instance{from.Self, to.Self}}, start)
	cmds := from.Update(LeaveMsg{}, start)
	offer, ok := cmds[0].(TransferCmd)
	c.Assert(ok, qt.IsTrue)
	accepted, ok := to.Update(TransferMsg{ID: offer.ID, From: from.Self.ID, Ranges: offer.Ranges}, start)[0].(AcceptCmd)
	c.Assert(ok, qt.IsTrue)
	c.Assert(accepted.Accepted, qt.IsTrue, qt.Commentf(accepted.Detail))
	swap, ok := from.Update(TransferredMsg{
		ID: offer.ID, Accepted: true, Incarnation: to.Self.Incarnation, Lease: accepted.Lease,
	}, start)[0].(SwapCmd)
	c.Assert(ok, qt.IsTrue)
	return swap
}

// keyOfFirstTransfer returns a key whose range is part of the first transfer.
func keyOfFirstTransfer() string {
	for key := byte('a'); ; key++ {
		if RangeOf(KeyID{Caller: "counter", Contract: "Holds", Key: string(key)}) < transferRanges {
			return string(key)
		}
	}
}

func newPair() (from, to *State) {
	from, to = newHolder("a", "L1", 1), &State{Self: hemlocktally.Instance{ID: "b", Incarnation: "b"}}
	to.Update(LeaseMsg{ID: "L2", End: start.Add(time.Minute)}, start)
	to.Update(MarkedMsg{Lease: "L2"}, start)
	to.Update(TableMsg{Table: from.Table()}, start)
	return from, to
}

func TestHandOverMovesTheRecordsAndRefusesNothing(t *testing.T) {
	c := qt.New(t)
	from, to := newPair()
	key := keyOfFirstTransfer()
	first := begin(1, "c1", key, start)
	c.Assert(verdict(from.Update(first, start), 1), qt.Equals, hemlocktally.ClaimRun)
	swap := startHandOver(c, from, to)
	// During the hand-over the old holder queues calls, and the new one redirects
	// them to the old one.
	c.Assert(answers(from.Update(begin(2, "c2", key, start), start)), qt.HasLen, 0)
	c.Assert(answers(to.Update(begin(3, "c3", key, start), start))[3].Claim.Holder, qt.Equals, from.Self.ID)
	table := swap.Table
	table.Version = 2
	moved := from.Update(SwapMsg{Result: SwapDone, Base: 1, Table: table}, start)
	c.Assert(answers(moved)[2].Moved, qt.IsTrue)
	c.Assert(answers(moved)[2].Claim.Holder, qt.Equals, to.Self.ID)
	to.Update(TableMsg{Table: table}, start)
	// The running call finishes at the new holder, and its retry gets the answer.
	c.Assert(answers(to.Update(begin(4, "c2", key, start), start)), qt.HasLen, 0)
	done := to.Update(finish(first, hemlocktally.OutcomeDone), start)
	c.Assert(verdict(done, 4), qt.Equals, hemlocktally.ClaimDone)
	late := from.Update(finish(first, hemlocktally.OutcomeDone), start)
	c.Assert(late[0], qt.DeepEquals, Cmd(RecordedCmd{Moved: true, Holder: to.Self.ID}))
}

func TestHandOverInDoubtStaysFrozenUntilTheTableChanges(t *testing.T) {
	c := qt.New(t)
	from, to := newPair()
	key := keyOfFirstTransfer()
	swap := startHandOver(c, from, to)
	from.Update(SwapMsg{Result: SwapUnknown, Base: 1, Table: swap.Table}, start)
	// The write may still take effect, so the old holder grants nothing.
	c.Assert(answers(from.Update(begin(1, "c1", key, start), start)), qt.HasLen, 0)
	var retake SwapCmd
	for _, cmd := range from.Update(TickMsg{}, start) {
		if s, ok := cmd.(SwapCmd); ok {
			retake = s
		}
	}
	table := retake.Table
	c.Assert(table.Version, qt.Equals, hemlocktally.StoreVersion(1))
	table.Version = 2
	cmds := from.Update(SwapMsg{Result: SwapDone, Base: 1, Table: table}, start)
	c.Assert(verdict(cmds, 1), qt.Equals, hemlocktally.ClaimRun)
}

func TestRecordsOfAHandOverThatFailedAreNotUsed(t *testing.T) {
	c := qt.New(t)
	from, to := newPair()
	key := keyOfFirstTransfer()
	startHandOver(c, from, to)
	from.Update(SwapMsg{Result: SwapFailed, Base: 1}, start)
	c.Assert(verdict(from.Update(begin(1, "c1", key, start), start), 1), qt.Equals, hemlocktally.ClaimRun)
	// The old holder crashes. The other takes over without naming the transfer.
	to.Update(TableMsg{Table: tableOf(to.Self, "L2", 2, 3, "")}, start)
	c.Assert(verdict(to.Update(begin(2, "c2", key, start), start), 2), qt.Equals, hemlocktally.ClaimUnknown)
}

func TestTakeoverWaitsForTheListingWithoutTheLease(t *testing.T) {
	c := qt.New(t)
	from, to := newPair()
	to.Update(MembersMsg{Serving: []hemlocktally.Instance{to.Self}}, start)
	later := start.Add(10 * time.Second)
	to.Update(LeaseMsg{ID: "L2", End: later.Add(time.Minute)}, later)
	hasSwap := func(cmds []Cmd) bool {
		for _, cmd := range cmds {
			if _, ok := cmd.(SwapCmd); ok {
				return true
			}
		}
		return false
	}
	// A table without a listing says nothing about the leases in the table.
	c.Check(hasSwap(to.Update(TickMsg{}, later)), qt.IsFalse)
	live := map[string]bool{"L1": true, "L2": true}
	c.Check(hasSwap(to.Update(TableMsg{Table: from.Table(), LiveLeases: live}, later)), qt.IsFalse)
	c.Check(hasSwap(to.Update(TableMsg{Table: from.Table(), LiveLeases: map[string]bool{"L2": true}}, later)), qt.IsTrue)
}

func TestJoiningMemberMovesOnlyItsOwnRanges(t *testing.T) {
	c := qt.New(t)
	members := []hemlocktally.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	moved := 0
	for id := range RangeID(Ranges) {
		before, _ := preferredHolder(id, members[:2])
		after, ok := preferredHolder(id, members)
		c.Check(ok, qt.IsTrue)
		c.Check(rankOf(after.ID, id, members), qt.Equals, 0)
		if before.ID != after.ID {
			c.Check(after.ID, qt.Equals, hemlocktally.InstanceID("c"))
			moved++
		}
	}
	c.Check(moved > 0 && moved < Ranges/2, qt.IsTrue, qt.Commentf("%d moved", moved))
}

// A member may refuse a transfer only for a moment, as while its lease is being
// renewed. A leaving instance must try it again: if it left without handing over its
// ranges, their keys would become Unknown.
func TestLeavingInstanceRetriesARefusedTransfer(t *testing.T) {
	c := qt.New(t)
	from, to := newPair()
	from.Update(MembersMsg{Serving: []hemlocktally.Instance{from.Self, to.Self}}, start)
	offer, ok := from.Update(LeaveMsg{}, start)[0].(TransferCmd)
	c.Assert(ok, qt.IsTrue)
	for _, cmd := range append(from.Update(TransferredMsg{ID: offer.ID}, start), from.Update(TickMsg{}, start)...) {
		_, left := cmd.(LeftCmd)
		c.Check(left, qt.IsFalse)
	}
	var again []TransferCmd
	for _, cmd := range from.Update(TickMsg{}, start.Add(leaveAvoidTime)) {
		if offer, ok := cmd.(TransferCmd); ok {
			again = append(again, offer)
		}
	}
	c.Check(again, qt.HasLen, 1)
}

// A holder sends the next transfer as soon as the table names the first one. The
// next holder may receive that table only afterwards, and must still have the records
// of the first transfer.
func TestNextTransferBeforeTheTableLosesNoRecords(t *testing.T) {
	c := qt.New(t)
	from, to := newPair()
	transfers := 0
	from.NewID = func() string {
		transfers++
		return fmt.Sprint("T", transfers)
	}
	swap := startHandOver(c, from, to)
	table := swap.Table
	table.Version = 2
	var next TransferCmd
	for _, cmd := range append(from.Update(SwapMsg{Result: SwapDone, Base: 1, Table: table}, start), from.Update(TickMsg{}, start)...) {
		if offer, ok := cmd.(TransferCmd); ok {
			next = offer
		}
	}
	c.Assert(next.Ranges, qt.Not(qt.HasLen), 0)
	to.Update(TransferMsg{ID: next.ID, From: from.Self.ID, Ranges: next.Ranges}, start)
	kinds := map[RangeEvent]int{}
	for _, cmd := range to.Update(TableMsg{Table: table, LiveLeases: map[string]bool{"L1": true, "L2": true}}, start) {
		if note, ok := cmd.(RangeEventCmd); ok {
			kinds[note.Kind] += len(note.Ranges)
		}
	}
	c.Check(kinds, qt.DeepEquals, map[RangeEvent]int{RangeReceived: transferRanges})
	c.Check(to.receivedTransfers, qt.HasLen, 1)
}
