package claimer

import (
	"fmt"
	"time"

	"hemlocktally"
)

const (
	// takeoverStableTime is how long the members must be unchanged before vacant
	// ranges are taken over.
	takeoverStableTime = 300 * time.Millisecond
	// handOverStableTime is how long the members must be unchanged before ranges
	// move to a newly joined member while their present holder is healthy.
	handOverStableTime = 2 * time.Second
	// rankDelay is how much longer each candidate for a vacant range waits than
	// the one ranked before it.
	rankDelay = time.Second
	// recoveryTime is how long a holder whose lease is lost, but which its peers
	// still see as serving, may take to get its ranges back.
	recoveryTime = time.Second
)

func (s *State) setMembers(serving []hemlocktally.Instance, now time.Time) {
	if !sameMembers(s.serving, serving) {
		s.membersChangedAt = now
	}
	s.serving = serving
}

func sameMembers(a, b []hemlocktally.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].Incarnation != b[i].Incarnation {
			return false
		}
	}
	return true
}

// applyTable adopts a newer table. A listing of the same version updates only the
// live leases.
func (s *State) applyTable(m TableMsg, now time.Time) []Cmd {
	if m.Table.Version < s.table.Version {
		return nil
	}
	if m.LiveLeases != nil {
		s.liveLeases = m.LiveLeases
		s.liveLeasesVersion = m.Table.Version
	}
	if m.Table.Version == s.table.Version {
		return nil
	}
	cmds := s.checkEpochs(m.Table)
	s.table = m.Table
	taken := map[RangeEvent][]RangeID{}
	for i := range Ranges {
		kind, more := s.applyAssignment(RangeID(i), now)
		cmds = append(cmds, more...)
		if kind >= 0 {
			taken[kind] = append(taken[kind], RangeID(i))
		}
	}
	for i := range Ranges {
		delete(s.receivedTransfers, m.Table.Assignments[i].Transfer)
	}
	for kind := RangeTaken; kind <= RangeLost; kind++ {
		if len(taken[kind]) > 0 {
			cmds = append(cmds, RangeEventCmd{Kind: kind, Ranges: taken[kind]})
		}
	}
	return cmds
}

// checkEpochs reports every range whose epoch went down, and resets the vacancy of
// ranges whose epoch changed.
func (s *State) checkEpochs(next Table) []Cmd {
	var cmds []Cmd
	for i := range Ranges {
		old, a := s.table.Assignments[i], next.Assignments[i]
		if a.Epoch < old.Epoch {
			cmds = append(cmds, InvariantCmd{Detail: fmt.Sprintf("epoch of range %d decreased from %d to %d", i, old.Epoch, a.Epoch)})
		}
		if a.Epoch != old.Epoch {
			s.vacantSince[i] = time.Time{}
		}
	}
	return cmds
}

const noRangeEvent RangeEvent = -1

// applyAssignment brings the state of one range in line with the table.
func (s *State) applyAssignment(id RangeID, now time.Time) (RangeEvent, []Cmd) {
	a, h := s.table.Assignments[id], s.ranges[id]
	if !s.isOwn(a) {
		if h == nil {
			return noRangeEvent, nil
		}
		cmds := s.rejectPending(h)
		s.dropRange(h)
		if h.frozen {
			return RangeHandedOver, cmds
		}
		return RangeLost, cmds
	}
	kind := noRangeEvent
	switch {
	case h != nil && h.epoch == a.Epoch:
	case h != nil && h.epoch+1 == a.Epoch:
		kind = RangeResumed
	default:
		kind = s.installRange(id, a, now)
	}
	h = s.ranges[id]
	h.epoch, h.lease = a.Epoch, a.Lease
	if h.inDoubt && s.table.Version != h.inDoubtVersion {
		// The table has another version, so the write with an unknown result can't
		// take effect any more.
		h.inDoubt = false
		return kind, s.unfreeze(h, now)
	}
	return kind, nil
}

// installRange sets up a range that this instance did not hold last. Unless its
// records were transferred, keys that an earlier holder may have seen are unknown.
func (s *State) installRange(id RangeID, a Assignment, now time.Time) RangeEvent {
	if h := s.ranges[id]; h != nil {
		s.dropRange(h)
	}
	h := &rangeState{id: id, records: map[KeyID]*Record{}, running: map[KeyID]*Record{}}
	s.ranges[id] = h
	if a.Epoch == 1 {
		return RangeTaken
	}
	if records, ok := s.receivedRange(id, a); ok {
		s.loadRecords(h, records)
		return RangeReceived
	}
	h.horizon = now.Add(2 * ClockMargin)
	h.taintEnd = now.Add(KeyLifetime)
	return RangeTaken
}

func (s *State) loadRecords(h *rangeState, records RangeRecords) {
	h.horizon, h.taintEnd = records.Horizon, records.TaintEnd
	for i := range records.Records {
		r := records.Records[i]
		h.records[r.Key] = &r
		if r.State == RecordRunning {
			h.running[r.Key] = &r
		}
		s.memory.track(h.id, &r)
	}
}

// takeVacant writes a table that assigns to this instance the ranges that it may
// take over, and those that it holds under an older lease or whose hand-over is in
// doubt.
func (s *State) takeVacant(now time.Time) []Cmd {
	if s.swapInFlight || s.lease.ID == "" || s.markedLease != s.lease.ID || !now.Before(s.lease.End) {
		return nil
	}
	table := s.table
	changed := false
	for i := range Ranges {
		if !s.mayTake(RangeID(i), now) {
			continue
		}
		changed = true
		table.Assignments[i] = Assignment{
			Holder: s.Self.ID, Incarnation: s.Self.Incarnation, Lease: s.lease.ID, Epoch: s.table.Assignments[i].Epoch + 1,
		}
	}
	if !changed {
		return nil
	}
	s.swapInFlight = true
	return []Cmd{SwapCmd{Table: table}}
}

func (s *State) mayTake(id RangeID, now time.Time) bool {
	a := s.table.Assignments[id]
	if s.isOwn(a) {
		h := s.ranges[id]
		return a.Lease != s.lease.ID || h != nil && h.inDoubt
	}
	if s.leaving || a.Epoch > 0 && !s.leaseEnded(a) {
		return false
	}
	if s.vacantSince[id].IsZero() {
		s.vacantSince[id] = now
	}
	if now.Sub(s.membersChangedAt) < takeoverStableTime {
		return false
	}
	return now.Sub(s.vacantSince[id]) >= s.takeoverDelay(id, a)
}

// leaseEnded reports whether the store's listing shows that the holder's lease has
// ended. A listing older than the table says nothing about the leases in the table.
func (s *State) leaseEnded(a Assignment) bool {
	return s.liveLeasesVersion == s.table.Version && !s.liveLeases[a.Lease]
}

// takeoverDelay returns how long this instance leaves a vacant range to its last
// holder and to the candidates ranked before this instance.
func (s *State) takeoverDelay(id RangeID, a Assignment) time.Duration {
	var candidates []hemlocktally.Instance
	delay := time.Duration(0)
	for _, m := range s.serving {
		if m.ID == a.Holder && m.Incarnation == a.Incarnation {
			delay = recoveryTime
			continue
		}
		candidates = append(candidates, m)
	}
	rank := rankOf(s.Self.ID, id, candidates)
	if rank < 0 {
		return KeyLifetime
	}
	return delay + time.Duration(rank)*rankDelay
}

// handleSwap processes the result of a compare-and-swap of the table.
func (s *State) handleSwap(m SwapMsg, now time.Time) []Cmd {
	s.swapInFlight = false
	t := s.transfer
	if t != nil && !t.writeStarted {
		t = nil // The swap was started by takeVacant.
	}
	if t != nil {
		s.transfer = nil
	}
	if m.Result == SwapDone {
		cmds := s.applyTable(TableMsg{Table: m.Table}, now)
		if t != nil {
			cmds = append(cmds, ConfirmCmd{To: t.to, Table: m.Table})
		}
		return append(cmds, s.leaveIfEmpty()...)
	}
	cmds := []Cmd{RefreshCmd{}}
	if t != nil {
		cmds = append(cmds, s.failHandOver(t, m, now)...)
	}
	return cmds
}

// failHandOver ends a hand-over whose table write did not succeed. If the write may
// still take effect, the ranges stay frozen until the table has another version.
func (s *State) failHandOver(t *transfer, m SwapMsg, now time.Time) []Cmd {
	s.nextHandOverAt = now.Add(transferPause)
	cmds := []Cmd{RangeEventCmd{Kind: RangeHandOverFailed, Ranges: t.rangeIDs, Detail: "the table could not be written"}}
	for _, id := range t.rangeIDs {
		h := s.ranges[id]
		switch {
		case h == nil:
		case m.Result == SwapUnknown:
			h.inDoubt, h.inDoubtVersion = true, m.Base
		default:
			cmds = append(cmds, s.unfreeze(h, now)...)
		}
	}
	return cmds
}
