package claimer

import (
	"slices"
	"time"

	"hemlocktally"
)

const (
	transferPause    = 100 * time.Millisecond // transferPause is the pause after a hand-over whose table write did not succeed.
	avoidTime        = 3 * time.Second        // avoidTime is how long a member that refused a transfer gets no range.
	leaveAvoidTime   = 300 * time.Millisecond // leaveAvoidTime replaces avoidTime for an instance that is leaving and can't wait as long.
	receivedLifetime = 10 * time.Second       // receivedLifetime is how long received records are kept unused.
	transferRanges   = 16                     // transferRanges bounds the ranges of one hand-over.
	transferRecords  = 4096                   // transferRecords bounds the records of a hand-over of more than one range.
)

// transfer is the hand-over in progress.
type transfer struct {
	id           string
	to           hemlocktally.Instance
	rangeIDs     []RangeID
	recordCount  int
	writeStarted bool // writeStarted is set once the write of the table has started.
}

// receivedTransfer holds the records that another holder sent.
type receivedTransfer struct {
	receivedAt time.Time
	ranges     []RangeRecords
}

// handOver starts a transfer of ranges to the member that should hold them.
func (s *State) handOver(now time.Time) []Cmd {
	if s.swapInFlight || s.transfer != nil || now.Before(s.nextHandOverAt) {
		return nil
	}
	wait := handOverStableTime
	if s.leaving {
		wait = 0
	}
	if now.Sub(s.membersChangedAt) < wait || !now.Before(s.lease.End) {
		return s.leaveIfEmpty()
	}
	t := s.nextTransfer(now)
	if t == nil {
		return s.leaveIfNoRecipient()
	}
	t.id = s.NewID()
	s.transfer = t
	cmd := TransferCmd{ID: t.id, To: t.to}
	for _, id := range t.rangeIDs {
		h := s.ranges[id]
		h.frozen = true
		cmd.Ranges = append(cmd.Ranges, rangeRecords(h))
	}
	return []Cmd{cmd}
}

// leaveIfNoRecipient ends the leaving of an instance when there is no other member
// to take its remaining ranges. Members that refused recently are tried again later.
func (s *State) leaveIfNoRecipient() []Cmd {
	inDoubt := func(h *rangeState) bool { return h != nil && h.inDoubt }
	other := func(m hemlocktally.Instance) bool { return m.ID != s.Self.ID }
	holds := slices.ContainsFunc(s.table.Assignments[:], s.isOwn)
	switch {
	case !s.leaving, slices.ContainsFunc(s.ranges[:], inDoubt):
		return nil
	case holds && slices.ContainsFunc(s.serving, other):
		return nil
	default:
		return []Cmd{LeftCmd{}}
	}
}

func (s *State) avoidDuration() time.Duration {
	if s.leaving {
		return leaveAvoidTime
	}
	return avoidTime
}

// leaveIfEmpty ends the leaving of an instance once it holds no range.
func (s *State) leaveIfEmpty() []Cmd {
	if !s.leaving || slices.ContainsFunc(s.table.Assignments[:], s.isOwn) {
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
		to, ok := s.nextHolder(RangeID(i), now)
		switch {
		case !ok:
		case t == nil:
			t = &transfer{to: to, rangeIDs: []RangeID{RangeID(i)}, recordCount: len(h.records)}
		case t.to.ID == to.ID && len(t.rangeIDs) < transferRanges && t.recordCount+len(h.records) <= transferRecords:
			t.rangeIDs = append(t.rangeIDs, RangeID(i))
			t.recordCount += len(h.records)
		}
	}
	return t
}

// nextHolder returns the member that should hold the range, and false if that is
// this instance or no member can take it now.
func (s *State) nextHolder(id RangeID, now time.Time) (hemlocktally.Instance, bool) {
	members := s.serving
	if s.leaving {
		members = slices.DeleteFunc(slices.Clone(members), func(m hemlocktally.Instance) bool {
			return now.Before(s.avoidUntil[m.ID]) || m.ID == s.Self.ID
		})
	} else if rankOf(s.Self.ID, id, members) < 0 {
		// An instance that is not among the serving members moves ranges only when
		// it leaves.
		return hemlocktally.Instance{}, false
	}
	first, ok := preferredHolder(id, members)
	if !ok || first.ID == s.Self.ID || now.Before(s.avoidUntil[first.ID]) {
		return hemlocktally.Instance{}, false
	}
	return first, true
}

func rangeRecords(h *rangeState) RangeRecords {
	out := RangeRecords{Range: h.id, Epoch: h.epoch, Horizon: h.horizon, TaintEnd: h.taintEnd}
	for _, r := range h.records {
		record := *r
		record.waiters = nil
		out.Records = append(out.Records, record)
	}
	return out
}

// receive stores the records that a holder sends. They are used only once the table
// names the transfer. The holder's next transfer may arrive before that table does,
// so each one is kept until it is used or older than receivedLifetime.
func (s *State) receive(m TransferMsg, now time.Time) []Cmd {
	n := s.memory.records
	for id, r := range s.receivedTransfers {
		if now.Sub(r.receivedAt) > receivedLifetime {
			delete(s.receivedTransfers, id)
			continue
		}
		for _, ranges := range r.ranges {
			n += len(ranges.Records)
		}
	}
	for _, r := range m.Ranges {
		n += len(r.Records)
	}
	refuse := func(detail string) []Cmd { return []Cmd{AcceptCmd{RequestID: m.RequestID, Detail: detail}} }
	switch {
	case s.leaving:
		return refuse("the instance is leaving")
	case s.lease.ID == "" || s.markedLease != s.lease.ID || !now.Before(s.lease.End):
		return refuse("the instance has no lease")
	case n > s.Limits.Records:
		return refuse("the memory for keys is full")
	}
	s.receivedTransfers[m.ID] = receivedTransfer{receivedAt: now, ranges: m.Ranges}
	return []Cmd{AcceptCmd{RequestID: m.RequestID, Accepted: true, Lease: s.lease.ID}}
}

// receivedRange returns the received records of the transfer that the assignment
// names.
func (s *State) receivedRange(id RangeID, a Assignment) (RangeRecords, bool) {
	for _, r := range s.receivedTransfers[a.Transfer].ranges {
		if r.Range == id && r.Epoch+1 == a.Epoch {
			return r, true
		}
	}
	return RangeRecords{}, false
}

// handleTransferred writes the table once the next holder has accepted the records,
// or else ends the hand-over.
func (s *State) handleTransferred(m TransferredMsg, now time.Time) []Cmd {
	t := s.transfer
	if t == nil || t.id != m.ID {
		return nil
	}
	ready := m.Accepted && !s.swapInFlight && now.Before(s.lease.End)
	next := s.table
	for _, id := range t.rangeIDs {
		h := s.ranges[id]
		ready = ready && s.valid(h, now) && h.frozen && next.Assignments[id].Epoch == h.epoch
		next.Assignments[id] = Assignment{
			Holder: t.to.ID, Incarnation: m.Incarnation, Lease: m.Lease, Epoch: next.Assignments[id].Epoch + 1, Transfer: t.id,
		}
	}
	if ready {
		s.swapInFlight, t.writeStarted = true, true
		return []Cmd{SwapCmd{Table: next}}
	}
	s.transfer = nil
	if !m.Accepted {
		s.avoidUntil[t.to.ID] = now.Add(s.avoidDuration())
	}
	cmds := []Cmd{RangeEventCmd{Kind: RangeHandOverFailed, Ranges: t.rangeIDs, Detail: "the next holder did not accept"}}
	for _, id := range t.rangeIDs {
		if h := s.ranges[id]; h != nil {
			cmds = append(cmds, s.unfreeze(h, now)...)
		}
	}
	return cmds
}

// unfreeze ends the freeze of a range and processes the messages that were queued
// during the hand-over.
func (s *State) unfreeze(h *rangeState, now time.Time) []Cmd {
	h.frozen = false
	queued := h.queued
	h.queued = nil
	var cmds []Cmd
	for _, msg := range queued {
		cmds = append(cmds, s.Update(msg, now)...)
	}
	return cmds
}
