package claimer

import (
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// State is the state machine of one instance as a holder of ranges. It does no
// I/O; Update is its only transition. It is not safe for concurrent use.
type State struct {
	Self   hemlocktally.Instance
	Limits Limits
	NewID  func() string // NewID returns a unique ID for a transfer.

	machine           *fsm.FSM
	lease             LeaseMsg
	markedLease       string    // markedLease is the lease whose marker is in the store.
	nextMarkAt        time.Time // nextMarkAt is when the marker may be written again.
	table             Table
	liveLeases        map[string]bool // liveLeases holds the leases whose markers were in the last listing.
	liveLeasesVersion hemlocktally.StoreVersion
	serving           []hemlocktally.Instance
	membersChangedAt  time.Time // membersChangedAt is when the set of members last changed.
	vacantSince       [Ranges]time.Time
	ranges            [Ranges]*rangeState
	receivedTransfers map[string]receivedTransfer
	transfer          *transfer
	swapInFlight      bool
	leaving           bool
	nextHandOverAt    time.Time                             // nextHandOverAt is when the next hand-over may start.
	avoidUntil        map[hemlocktally.InstanceID]time.Time // avoidUntil is the time until which a member that refused a transfer gets no range.
	memory            memoryTracker
}

// rangeState is a range that this instance holds, or held last and still has the
// records of.
type rangeState struct {
	id             RangeID
	epoch          uint64
	lease          string
	horizon        time.Time
	taintEnd       time.Time
	frozen         bool
	inDoubtVersion hemlocktally.StoreVersion // inDoubtVersion is the table version that a write with an unknown result may still replace.
	inDoubt        bool
	queued         []Msg // queued holds the messages that wait for the end of a hand-over.
	records        map[KeyID]*Record
	running        map[KeyID]*Record // running holds the records whose calls are not finished.
}

// Table returns the newest table that the instance has seen.
func (s *State) Table() Table { return s.table }

// Held returns how many ranges the instance holds under its current lease.
func (s *State) Held(now time.Time) int {
	n := 0
	for _, h := range s.ranges {
		if s.valid(h, now) {
			n++
		}
	}
	return n
}

// Update applies one message and returns the commands that the caller must carry
// out.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	s.init()
	switch m := msg.(type) {
	case BeginMsg:
		return s.begin(m, now)
	case FinishMsg:
		return s.finish(m, now)
	case CancelMsg:
		s.cancel(m)
		return nil
	case TransferMsg:
		return s.receive(m, now)
	case TransferredMsg:
		return s.handleTransferred(m, now)
	case SwapMsg:
		return s.handleSwap(m, now)
	case TableMsg:
		return append(s.applyTable(m, now), s.takeVacant(now)...)
	default:
		return s.updateSelf(msg, now)
	}
}

func (s *State) updateSelf(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case LeaseMsg:
		return s.setLease(m, now)
	case MarkedMsg:
		s.markedLease = m.Lease
		return s.takeVacant(now)
	case MembersMsg:
		s.setMembers(m.Serving, now)
		return nil
	case LeaveMsg:
		s.leaving = true
		return s.handOver(now)
	case TickMsg:
		return s.tick(now)
	default:
		return []Cmd{InvariantCmd{Detail: fmt.Sprintf("unknown message %T", msg)}}
	}
}

func (s *State) init() {
	if s.machine != nil {
		return
	}
	s.machine = newRecordMachine()
	s.Limits = s.Limits.withDefaults()
	s.receivedTransfers = map[string]receivedTransfer{}
	s.avoidUntil = map[hemlocktally.InstanceID]time.Time{}
}

// valid reports whether the range is held under the current, unexpired lease, so
// that the instance may answer for it.
func (s *State) valid(h *rangeState, now time.Time) bool {
	return h != nil && h.lease != "" && h.lease == s.lease.ID && now.Before(s.lease.End)
}

func (s *State) setLease(m LeaseMsg, now time.Time) []Cmd {
	lost := s.lease.ID != "" && m.ID != s.lease.ID
	s.lease = m
	var cmds []Cmd
	if lost {
		cmds = s.loseLease()
	}
	if lost {
		s.nextMarkAt = time.Time{}
	}
	return append(cmds, s.mark(now)...)
}

const markRetryInterval = 300 * time.Millisecond

// mark writes the marker that shows the other instances that the lease is alive.
func (s *State) mark(now time.Time) []Cmd {
	if s.lease.ID == "" || s.markedLease == s.lease.ID || now.Before(s.nextMarkAt) || !now.Before(s.lease.End) {
		return nil
	}
	s.nextMarkAt = now.Add(markRetryInterval)
	return []Cmd{MarkCmd{Lease: s.lease.ID}}
}

// loseLease rejects all pending requests when the lease is lost. The records
// stay: the same process may get the ranges back before another instance has held
// them.
func (s *State) loseLease() []Cmd {
	var cmds []Cmd
	var ids []RangeID
	for id, h := range s.ranges {
		if h == nil {
			continue
		}
		ids = append(ids, RangeID(id))
		cmds = append(cmds, s.rejectPending(h)...)
	}
	if len(ids) > 0 {
		cmds = append(cmds, RangeEventCmd{Kind: RangeLost, Ranges: ids})
	}
	return cmds
}

// rejectPending answers every request that waits on a range that this instance can
// no longer answer for.
func (s *State) rejectPending(h *rangeState) []Cmd {
	var cmds []Cmd
	for _, msg := range h.queued {
		cmds = append(cmds, s.notHolder(msg, h.id))
	}
	h.queued = nil
	for _, r := range h.running {
		for _, w := range r.waiters {
			cmds = append(cmds, s.notHolder(w, h.id))
		}
		r.waiters = nil
	}
	return cmds
}

// notHolder rejects a message for a range that this instance can't answer for. It
// names the present holder if the table has another one.
func (s *State) notHolder(msg Msg, id RangeID) Cmd {
	a := s.table.Assignments[id]
	moved := a.Epoch > 0 && !s.isOwn(a)
	switch m := msg.(type) {
	case BeginMsg:
		claim := refused("no instance holds the key's range now; retry with the same key")
		claim.Holder = a.Holder
		return AnswerCmd{RequestID: m.RequestID, Claim: claim, Moved: moved}
	case FinishMsg:
		return RecordedCmd{RequestID: m.RequestID, Moved: moved, Holder: a.Holder}
	default:
		return InvariantCmd{Detail: fmt.Sprintf("message %T is not a request and can't be answered", msg)}
	}
}

func (s *State) isOwn(a Assignment) bool {
	return a.Holder == s.Self.ID && a.Incarnation == s.Self.Incarnation
}

// tick does the periodic work: fences, wait timeouts, expiry of records, the lease
// marker, takeover and hand-over of ranges.
func (s *State) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for _, h := range s.ranges {
		if h != nil {
			cmds = append(cmds, s.applyTimeouts(h, now)...)
		}
	}
	s.expire(now)
	cmds = append(cmds, s.mark(now)...)
	cmds = append(cmds, s.takeVacant(now)...)
	return append(cmds, s.handOver(now)...)
}
