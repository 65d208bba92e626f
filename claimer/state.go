package claimer

import (
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// State is all that one instance knows as a holder. Update is its only step.
type State struct {
	Self   hemlocktally.Instance
	Limits Limits
	NewID  func() string // NewID names transfers.

	machine  *fsm.FSM
	lease    LeaseMsg
	marked   string    // marked is the lease whose mark the store holds.
	markAt   time.Time // markAt is when the mark may be written again.
	table    Table
	live     map[string]bool // live holds the leases whose marks were listed.
	liveAt   hemlocktally.StoreVersion
	serving  []hemlocktally.Instance
	settled  time.Time // settled is when the members last changed.
	vacant   [Ranges]time.Time
	ranges   [Ranges]*held
	received map[string]receipt
	transfer *transfer
	swapping bool
	leaving  bool
	retryAt  time.Time                             // retryAt is when the next hand-over may start.
	avoided  map[hemlocktally.InstanceID]time.Time // avoided holds until when a member that refused gets no range.
	memory   memory
}

// held is one range that this instance holds or held last.
type held struct {
	id       RangeID
	epoch    uint64
	lease    string
	horizon  time.Time
	taintEnd time.Time
	frozen   bool
	doubt    hemlocktally.StoreVersion // doubt is the version that a lost hand-over may still replace.
	inDoubt  bool
	queued   []Msg // queued wait for the end of a hand-over.
	records  map[KeyID]*Record
	running  map[KeyID]*Record // running holds the records whose calls are not finished.
}

// Table returns the newest table that the instance has seen.
func (s *State) Table() Table { return s.table }

// Held returns how many ranges the instance holds validly.
func (s *State) Held(now time.Time) int {
	n := 0
	for _, h := range s.ranges {
		if s.valid(h, now) {
			n++
		}
	}
	return n
}

// Update takes one message and returns what must be done about it.
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
		return s.transferred(m, now)
	case SwapMsg:
		return s.swapped(m, now)
	case AssignmentMsg:
		return append(s.assign(m, now), s.take(now)...)
	default:
		return s.updateSelf(msg, now)
	}
}

func (s *State) updateSelf(msg Msg, now time.Time) []Cmd {
	switch m := msg.(type) {
	case LeaseMsg:
		return s.setLease(m, now)
	case MarkedMsg:
		s.marked = m.Lease
		return s.take(now)
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
	s.received = map[string]receipt{}
	s.avoided = map[hemlocktally.InstanceID]time.Time{}
}

// valid reports whether the instance may answer for the range now.
func (s *State) valid(h *held, now time.Time) bool {
	return h != nil && h.lease != "" && h.lease == s.lease.ID && now.Before(s.lease.End)
}

func (s *State) setLease(m LeaseMsg, now time.Time) []Cmd {
	lost := s.lease.ID != "" && m.ID != s.lease.ID
	s.lease = m
	var cmds []Cmd
	if lost {
		cmds = s.lapse()
	}
	if lost {
		s.markAt = time.Time{}
	}
	return append(cmds, s.mark(now)...)
}

const markPause = 300 * time.Millisecond

// mark writes the mark that tells all others that the lease is alive.
func (s *State) mark(now time.Time) []Cmd {
	if s.lease.ID == "" || s.marked == s.lease.ID || now.Before(s.markAt) || !now.Before(s.lease.End) {
		return nil
	}
	s.markAt = now.Add(markPause)
	return []Cmd{MarkCmd{Lease: s.lease.ID}}
}

// lapse answers all that wait on ranges whose lease is lost. The records stay:
// the same process may get the ranges back before anyone else had them.
func (s *State) lapse() []Cmd {
	var cmds []Cmd
	var ids []RangeID
	for id, h := range s.ranges {
		if h == nil {
			continue
		}
		ids = append(ids, RangeID(id))
		cmds = append(cmds, s.turnAway(h)...)
	}
	if len(ids) > 0 {
		cmds = append(cmds, NoteCmd{Kind: NoteLost, Ranges: ids})
	}
	return cmds
}

// turnAway answers all that wait on a range: its holder can't say any more.
func (s *State) turnAway(h *held) []Cmd {
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

// notHolder answers a message for a range that this instance can't answer for.
func (s *State) notHolder(msg Msg, id RangeID) Cmd {
	a := s.table.Assignments[id]
	moved := a.Epoch > 0 && !s.mine(a)
	switch m := msg.(type) {
	case BeginMsg:
		claim := refused("no instance holds the key's range now; retry with the same key")
		claim.Holder = a.Holder
		return AnswerCmd{Asker: m.Asker, Claim: claim, Moved: moved}
	case FinishMsg:
		return RecordedCmd{Asker: m.Asker, Moved: moved, Holder: a.Holder}
	default:
		return InvariantCmd{Detail: fmt.Sprintf("%T can't wait on a range", msg)}
	}
}

func (s *State) mine(a Assignment) bool {
	return a.Holder == s.Self.ID && a.Incarnation == s.Self.Incarnation
}

// tick does what is due: fences, deadlines, expiry, moves of ranges.
func (s *State) tick(now time.Time) []Cmd {
	var cmds []Cmd
	for _, h := range s.ranges {
		if h != nil {
			cmds = append(cmds, s.passTime(h, now)...)
		}
	}
	s.expire(now)
	cmds = append(cmds, s.mark(now)...)
	cmds = append(cmds, s.take(now)...)
	return append(cmds, s.handOver(now)...)
}
