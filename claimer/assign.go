package claimer

import (
	"fmt"
	"time"

	"hemlocktally"
)

const (
	// settleTime is how long the members must be unchanged before ranges move.
	settleTime = 300 * time.Millisecond
	// joinTime is how long they must be unchanged before ranges move to a member
	// that came while the present holder is well.
	joinTime = 2 * time.Second
	// rankDelay is how long each next choice waits for the one before it.
	rankDelay = time.Second
	// returnTime is how long a holder whose lease is lost, but which its peers
	// still see, may take to get its ranges back.
	returnTime = time.Second
)

func (s *State) setMembers(serving []hemlocktally.Instance, now time.Time) {
	if !sameMembers(s.serving, serving) {
		s.settled = now
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

// assign puts a newer table in force.
func (s *State) assign(m AssignmentMsg, now time.Time) []Cmd {
	if m.Table.Version < s.table.Version {
		return nil
	}
	if m.Live != nil {
		s.live = m.Live
		s.liveAt = m.Table.Version
	}
	if m.Table.Version == s.table.Version {
		return nil
	}
	cmds := s.compare(m.Table)
	s.table = m.Table
	taken := map[NoteKind][]RangeID{}
	for i := range Ranges {
		kind, more := s.assignRange(RangeID(i), now)
		cmds = append(cmds, more...)
		if kind >= 0 {
			taken[kind] = append(taken[kind], RangeID(i))
		}
	}
	for i := range Ranges {
		delete(s.received, m.Table.Assignments[i].Transfer)
	}
	for kind := NoteTaken; kind <= NoteLost; kind++ {
		if len(taken[kind]) > 0 {
			cmds = append(cmds, NoteCmd{Kind: kind, Ranges: taken[kind]})
		}
	}
	return cmds
}

// compare checks that epochs only rise.
func (s *State) compare(next Table) []Cmd {
	var cmds []Cmd
	for i := range Ranges {
		old, a := s.table.Assignments[i], next.Assignments[i]
		if a.Epoch < old.Epoch {
			cmds = append(cmds, InvariantCmd{Detail: fmt.Sprintf("range %d went from epoch %d to %d", i, old.Epoch, a.Epoch)})
		}
		if a.Epoch != old.Epoch {
			s.vacant[i] = time.Time{}
		}
	}
	return cmds
}

const noNote NoteKind = -1

// assignRange makes one range what the table says.
func (s *State) assignRange(id RangeID, now time.Time) (NoteKind, []Cmd) {
	a, h := s.table.Assignments[id], s.ranges[id]
	if !s.mine(a) {
		if h == nil {
			return noNote, nil
		}
		cmds := s.turnAway(h)
		s.drop(h)
		if h.frozen {
			return NoteHandedOver, cmds
		}
		return NoteLost, cmds
	}
	kind := noNote
	switch {
	case h != nil && h.epoch == a.Epoch:
	case h != nil && h.epoch+1 == a.Epoch:
		kind = NoteResumed
	default:
		kind = s.install(id, a, now)
	}
	h = s.ranges[id]
	h.epoch, h.lease = a.Epoch, a.Lease
	if h.inDoubt && s.table.Version != h.doubt {
		// The lost write can't take effect any more.
		h.inDoubt = false
		return kind, s.unfreeze(h, now)
	}
	return kind, nil
}

// install starts a range that this instance did not hold last.
func (s *State) install(id RangeID, a Assignment, now time.Time) NoteKind {
	if h := s.ranges[id]; h != nil {
		s.drop(h)
	}
	h := &held{id: id, records: map[KeyID]*Record{}, running: map[KeyID]*Record{}}
	s.ranges[id] = h
	if a.Epoch == 1 {
		return NoteTaken
	}
	if records, ok := s.receivedRange(id, a); ok {
		s.fill(h, records)
		return NoteReceived
	}
	h.horizon = now.Add(2 * ClockMargin)
	h.taintEnd = now.Add(KeyLifetime)
	return NoteTaken
}

func (s *State) fill(h *held, records RangeRecords) {
	h.horizon, h.taintEnd = records.Horizon, records.TaintEnd
	for i := range records.Records {
		r := records.Records[i]
		h.records[r.Key] = &r
		if r.State == RecordRunning {
			h.running[r.Key] = &r
		}
		s.memory.add(h.id, &r)
	}
}

// take asks the store for the ranges that should be this instance's and that
// nobody holds any more.
func (s *State) take(now time.Time) []Cmd {
	if s.swapping || s.lease.ID == "" || s.marked != s.lease.ID || !now.Before(s.lease.End) {
		return nil
	}
	next := s.table
	changed := false
	for i := range Ranges {
		if !s.mayTake(RangeID(i), now) {
			continue
		}
		changed = true
		next.Assignments[i] = Assignment{
			Holder: s.Self.ID, Incarnation: s.Self.Incarnation, Lease: s.lease.ID, Epoch: s.table.Assignments[i].Epoch + 1,
		}
	}
	if !changed {
		return nil
	}
	s.swapping = true
	return []Cmd{SwapCmd{Table: next}}
}

func (s *State) mayTake(id RangeID, now time.Time) bool {
	a := s.table.Assignments[id]
	if s.mine(a) {
		h := s.ranges[id]
		return a.Lease != s.lease.ID || h != nil && h.inDoubt
	}
	if s.leaving || a.Epoch > 0 && !s.gone(a) {
		return false
	}
	if s.vacant[id].IsZero() {
		s.vacant[id] = now
	}
	if now.Sub(s.settled) < settleTime {
		return false
	}
	return now.Sub(s.vacant[id]) >= s.takeDelay(id, a)
}

// gone reports whether the store has said that the holder's lease is over. A
// listing older than the table says nothing of the leases that the table names.
func (s *State) gone(a Assignment) bool {
	return s.liveAt == s.table.Version && !s.live[a.Lease]
}

// takeDelay is how long this instance leaves a vacant range to those that stand
// before it.
func (s *State) takeDelay(id RangeID, a Assignment) time.Duration {
	var candidates []hemlocktally.Instance
	delay := time.Duration(0)
	for _, m := range s.serving {
		if m.ID == a.Holder && m.Incarnation == a.Incarnation {
			delay = returnTime
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

// swapped meets the result of a compare-and-swap.
func (s *State) swapped(m SwapMsg, now time.Time) []Cmd {
	s.swapping = false
	t := s.transfer
	if t != nil && !t.written {
		t = nil // The swap was one of take.
	}
	if t != nil {
		s.transfer = nil
	}
	if m.Result == SwapDone {
		cmds := s.assign(AssignmentMsg{Table: m.Table}, now)
		if t != nil {
			cmds = append(cmds, ConfirmCmd{To: t.to, Table: m.Table})
		}
		return append(cmds, s.left()...)
	}
	cmds := []Cmd{RefreshCmd{}}
	if t != nil {
		cmds = append(cmds, s.swapFailed(t, m, now)...)
	}
	return cmds
}

// swapFailed ends a hand-over that the table did not take. Where the write may
// still take effect, the ranges stay frozen until the table has another version.
func (s *State) swapFailed(t *transfer, m SwapMsg, now time.Time) []Cmd {
	s.retryAt = now.Add(transferPause)
	cmds := []Cmd{NoteCmd{Kind: NoteHandOverFailed, Ranges: t.ids, Detail: "the table could not be written"}}
	for _, id := range t.ids {
		h := s.ranges[id]
		switch {
		case h == nil:
		case m.Result == SwapUnknown:
			h.inDoubt, h.doubt = true, m.Base
		default:
			cmds = append(cmds, s.unfreeze(h, now)...)
		}
	}
	return cmds
}
