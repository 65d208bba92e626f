package claimer

import (
	"slices"
	"time"

	"hemlocktally"
)

const (
	transferPause    = 100 * time.Millisecond // transferPause follows a hand-over that the table did not take.
	avoidTime        = 3 * time.Second        // avoidTime is how long a member that refused a range is left out.
	leaveAvoidTime   = 300 * time.Millisecond // leaveAvoidTime is the same for an instance that leaves and can't wait.
	receivedLifetime = 10 * time.Second       // receivedLifetime is how long offered records are kept.
	transferRanges   = 16                     // transferRanges bounds the ranges of one hand-over.
	transferRecords  = 4096                   // transferRecords bounds its records beyond those of one range.
)

// transfer is the hand-over that is under way.
type transfer struct {
	id      string
	to      hemlocktally.Instance
	ids     []RangeID
	records int
	written bool // written is set once the table is being written.
}

// receipt holds the records that a holder offered.
type receipt struct {
	at     time.Time
	ranges []RangeRecords
}

// handOver starts to move ranges to the members that they fall to.
func (s *State) handOver(now time.Time) []Cmd {
	if s.swapping || s.transfer != nil || now.Before(s.retryAt) {
		return nil
	}
	wait := joinTime
	if s.leaving {
		wait = 0
	}
	if now.Sub(s.settled) < wait || !now.Before(s.lease.End) {
		return s.left()
	}
	t := s.nextTransfer(now)
	if t == nil {
		return s.stuck()
	}
	t.id = s.NewID()
	s.transfer = t
	cmd := TransferCmd{ID: t.id, To: t.to}
	for _, id := range t.ids {
		h := s.ranges[id]
		h.frozen = true
		cmd.Ranges = append(cmd.Ranges, snapshot(h))
	}
	return []Cmd{cmd}
}

// stuck tells a leaving instance that there is no member to take what it still
// holds. Members that refused a moment ago are asked again.
func (s *State) stuck() []Cmd {
	inDoubt := func(h *held) bool { return h != nil && h.inDoubt }
	other := func(m hemlocktally.Instance) bool { return m.ID != s.Self.ID }
	holds := slices.ContainsFunc(s.table.Assignments[:], s.mine)
	switch {
	case !s.leaving, slices.ContainsFunc(s.ranges[:], inDoubt):
		return nil
	case holds && slices.ContainsFunc(s.serving, other):
		return nil
	default:
		return []Cmd{LeftCmd{}}
	}
}

func (s *State) avoidance() time.Duration {
	if s.leaving {
		return leaveAvoidTime
	}
	return avoidTime
}

// left tells a leaving instance that it holds nothing any more.
func (s *State) left() []Cmd {
	if !s.leaving || slices.ContainsFunc(s.table.Assignments[:], s.mine) {
		return nil
	}
	return []Cmd{LeftCmd{}}
}

func (s *State) nextTransfer(now time.Time) *transfer {
	var t *transfer
	for i, h := range s.ranges {
		if !s.valid(h, now) || h.frozen {
			continue
		}
		to, ok := s.heir(RangeID(i), now)
		switch {
		case !ok:
		case t == nil:
			t = &transfer{to: to, ids: []RangeID{RangeID(i)}, records: len(h.records)}
		case t.to.ID == to.ID && len(t.ids) < transferRanges && t.records+len(h.records) <= transferRecords:
			t.ids = append(t.ids, RangeID(i))
			t.records += len(h.records)
		}
	}
	return t
}

// heir returns the member that should hold the range, if it is another one.
func (s *State) heir(id RangeID, now time.Time) (hemlocktally.Instance, bool) {
	members := s.serving
	if s.leaving {
		members = slices.DeleteFunc(slices.Clone(members), func(m hemlocktally.Instance) bool {
			return now.Before(s.avoided[m.ID]) || m.ID == s.Self.ID
		})
	} else if rankOf(s.Self.ID, id, members) < 0 {
		// An instance that is not seen as serving moves ranges only when it leaves.
		return hemlocktally.Instance{}, false
	}
	first, ok := firstOf(id, members)
	if !ok || first.ID == s.Self.ID || now.Before(s.avoided[first.ID]) {
		return hemlocktally.Instance{}, false
	}
	return first, true
}

func snapshot(h *held) RangeRecords {
	out := RangeRecords{Range: h.id, Epoch: h.epoch, Horizon: h.horizon, TaintEnd: h.taintEnd}
	for _, r := range h.records {
		record := *r
		record.waiters = nil
		out.Records = append(out.Records, record)
	}
	return out
}

// receive keeps the records that a holder offers. They count only once the
// table names the transfer. The next offer of the same holder may come before
// that table does, so an offer is kept until it is used or too old.
func (s *State) receive(m TransferMsg, now time.Time) []Cmd {
	n := s.memory.records
	for id, r := range s.received {
		if now.Sub(r.at) > receivedLifetime {
			delete(s.received, id)
			continue
		}
		for _, ranges := range r.ranges {
			n += len(ranges.Records)
		}
	}
	for _, r := range m.Ranges {
		n += len(r.Records)
	}
	refuse := func(detail string) []Cmd { return []Cmd{AcceptCmd{Asker: m.Asker, Detail: detail}} }
	switch {
	case s.leaving:
		return refuse("the instance is leaving")
	case s.lease.ID == "" || s.marked != s.lease.ID || !now.Before(s.lease.End):
		return refuse("the instance has no lease")
	case n > s.Limits.Records:
		return refuse("the memory for keys is full")
	}
	s.received[m.ID] = receipt{at: now, ranges: m.Ranges}
	return []Cmd{AcceptCmd{Asker: m.Asker, Accepted: true, Lease: s.lease.ID}}
}

// receivedRange returns the offered records that the table names.
func (s *State) receivedRange(id RangeID, a Assignment) (RangeRecords, bool) {
	for _, r := range s.received[a.Transfer].ranges {
		if r.Range == id && r.Epoch+1 == a.Epoch {
			return r, true
		}
	}
	return RangeRecords{}, false
}

// transferred goes on with a hand-over once the next holder has the records.
func (s *State) transferred(m TransferredMsg, now time.Time) []Cmd {
	t := s.transfer
	if t == nil || t.id != m.ID {
		return nil
	}
	ready := m.Accepted && !s.swapping && now.Before(s.lease.End)
	next := s.table
	for _, id := range t.ids {
		h := s.ranges[id]
		ready = ready && s.valid(h, now) && h.frozen && next.Assignments[id].Epoch == h.epoch
		next.Assignments[id] = Assignment{
			Holder: t.to.ID, Incarnation: m.Incarnation, Lease: m.Lease, Epoch: next.Assignments[id].Epoch + 1, Transfer: t.id,
		}
	}
	if ready {
		s.swapping, t.written = true, true
		return []Cmd{SwapCmd{Table: next}}
	}
	s.transfer = nil
	if !m.Accepted {
		s.avoided[t.to.ID] = now.Add(s.avoidance())
	}
	cmds := []Cmd{NoteCmd{Kind: NoteHandOverFailed, Ranges: t.ids, Detail: "the next holder did not accept"}}
	for _, id := range t.ids {
		if h := s.ranges[id]; h != nil {
			cmds = append(cmds, s.unfreeze(h, now)...)
		}
	}
	return cmds
}

// unfreeze serves the messages that waited for the end of a hand-over.
func (s *State) unfreeze(h *held, now time.Time) []Cmd {
	h.frozen = false
	queued := h.queued
	h.queued = nil
	var cmds []Cmd
	for _, msg := range queued {
		cmds = append(cmds, s.Update(msg, now)...)
	}
	return cmds
}
