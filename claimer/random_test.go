package claimer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlocktally"
)

const (
	worldTTL    = 6 * time.Second
	worldMargin = 500 * time.Millisecond
)

// world is three holders, a store, callers and a network that loses, repeats
// and delays.
type world struct {
	t       *rapid.T
	now     time.Time
	holders []*State
	leases  map[string]time.Time // leases holds when the store ends each lease.
	marks   map[string]bool
	table   Table
	old     []TableMsg // old holds listings that may still arrive.
	pending []parcel   // pending holds what is on its way.
	calls   map[RequestID]*worldCall
	keys    []string
	paused  map[hemlocktally.InstanceID]bool
	told    map[string]bool // told holds the keys of which a caller heard Unknown.
	ran     map[string]int
	next    int
}

// parcel is something on its way; lost says what its sender sees in its place.
type parcel struct {
	arrive func()
	lost   func()
}

type worldCall struct {
	msg     BeginMsg
	decided bool
	started bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: start, leases: map[string]time.Time{}, marks: map[string]bool{}, calls: map[RequestID]*worldCall{},
		paused: map[hemlocktally.InstanceID]bool{}, told: map[string]bool{}, ran: map[string]int{}, keys: []string{"plain-1", "plain-2"},
	}
	var members []hemlocktally.Instance
	for i := range 3 {
		id := hemlocktally.InstanceID(fmt.Sprint("h", i))
		s := &State{Self: hemlocktally.Instance{ID: id, Incarnation: string(id)}, NewID: func() string { w.next++; return fmt.Sprint("t", w.next) }}
		w.holders = append(w.holders, s)
		members = append(members, s.Self)
	}
	for _, s := range w.holders {
		w.renew(s)
		w.update(s, MembersMsg{Serving: members})
	}
	return w
}

func (w *world) holder() *State { return rapid.SampledFrom(w.holders).Draw(w.t, "holder") }

func (w *world) update(s *State, msg Msg) {
	for _, cmd := range s.Update(msg, w.now) {
		w.do(s, cmd)
	}
}

// renew renews the holder's lease, or gives it a new one after a lapse.
func (w *world) renew(s *State) {
	id := s.lease.ID
	if end, ok := w.leases[id]; !ok || !w.now.Before(end) {
		w.next++
		id = fmt.Sprint("lease", w.next)
	}
	w.leases[id] = w.now.Add(worldTTL)
	w.update(s, LeaseMsg{ID: id, End: w.now.Add(worldTTL - worldMargin)})
}

func (w *world) later(f func()) { w.pending = append(w.pending, parcel{f, func() {}}) }

// deliver lets something on its way arrive, or get lost.
func (w *world) deliver(t *rapid.T) {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(t, "message")
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	if rapid.IntRange(0, 7).Draw(t, "lost") == 0 {
		p.lost()
		return
	}
	p.arrive()
}

func (w *world) do(s *State, cmd Cmd) {
	switch c := cmd.(type) {
	case InvariantCmd:
		w.t.Fatal(c.Detail)
	case MarkCmd:
		w.later(func() {
			if w.now.Before(w.leases[c.Lease]) {
				w.marks[c.Lease] = true
				w.update(s, MarkedMsg(c))
			}
		})
	case SwapCmd:
		w.pending = append(w.pending, parcel{
			func() { w.swap(s, c) },
			func() { w.update(s, SwapMsg{Base: c.Table.Version, Table: c.Table, Result: SwapUnknown}) },
		})
	case RefreshCmd:
		w.later(func() { w.update(s, w.listing()) })
	case TransferCmd:
		failed := func() { w.update(s, TransferredMsg{ID: c.ID}) }
		w.pending = append(w.pending, parcel{func() { w.sendTransfer(s, c, failed) }, failed})
	case ConfirmCmd:
		w.later(func() { w.update(w.find(c.To.ID), TableMsg{Table: c.Table}) })
	case AnswerCmd:
		w.later(func() { w.answer(c) })
	}
}

func (w *world) find(id hemlocktally.InstanceID) *State {
	return w.holders[slices.IndexFunc(w.holders, func(s *State) bool { return s.Self.ID == id })]
}

func (w *world) listing() TableMsg {
	live := map[string]bool{}
	for id := range w.marks {
		if w.now.Before(w.leases[id]) {
			live[id] = true
		}
	}
	msg := TableMsg{Table: w.table, LiveLeases: live}
	w.old = append(w.old, msg)
	return msg
}

// swap writes the table, now or later, and may lose the answer.
func (w *world) swap(s *State, c SwapCmd) {
	write := func() bool {
		if w.table.Version != c.Table.Version {
			return false
		}
		w.table = c.Table
		w.table.Version++
		return true
	}
	out := SwapMsg{Base: c.Table.Version, Table: c.Table, Result: SwapUnknown}
	switch rapid.IntRange(0, 3).Draw(w.t, "write") {
	case 0:
		w.later(func() { write() })
	case 1:
		write()
	default:
		out.Result = SwapFailed
		if write() {
			out.Result, out.Table = SwapDone, w.table
		}
	}
	w.update(s, out)
}

func (w *world) sendTransfer(s *State, c TransferCmd, failed func()) {
	to := w.find(c.To.ID)
	for _, cmd := range to.Update(TransferMsg{ID: c.ID, From: s.Self.ID, Ranges: c.Ranges}, w.now) {
		if accept, ok := cmd.(AcceptCmd); ok {
			w.pending = append(w.pending, parcel{func() {
				w.update(s, TransferredMsg{ID: c.ID, Accepted: accept.Accepted, Incarnation: to.Self.Incarnation, Lease: accept.Lease})
			}, failed})
		}
	}
}

// answer is what an entry does with a holder's word.
func (w *world) answer(c AnswerCmd) {
	call := w.calls[c.RequestID]
	if call.decided || c.Moved {
		return
	}
	key := call.msg.Request.Key
	switch c.Claim.Verdict {
	case hemlocktally.ClaimRun:
		call.decided = true
		outcome := hemlocktally.OutcomeNotRun
		if w.now.Before(c.Claim.Fence) && rapid.Bool().Draw(w.t, "send") {
			w.start(call)
			outcome = rapid.SampledFrom([]hemlocktally.Outcome{hemlocktally.OutcomeDone, hemlocktally.OutcomeUnknown}).Draw(w.t, "outcome")
			w.told[key] = w.told[key] || outcome == hemlocktally.OutcomeUnknown
		}
		w.tell(call, outcome)
	case hemlocktally.ClaimUnknown:
		call.decided = true
		w.told[key] = true
	case hemlocktally.ClaimDone:
		call.decided = true
		if w.ran[key] != 1 {
			w.t.Fatalf("key %s is called done and ran %d times", key, w.ran[key])
		}
	}
}

func (w *world) start(call *worldCall) {
	key := call.msg.Request.Key
	if w.ran[key]++; w.ran[key] > 1 {
		w.t.Fatalf("key %s ran twice", key)
	}
	if w.told[key] {
		w.t.Fatalf("key %s ran after a caller heard Unknown", key)
	}
	call.started = true
}

// tell sends a call's outcome to some holders, more than once and late.
func (w *world) tell(call *worldCall, outcome hemlocktally.Outcome) {
	for range rapid.IntRange(0, 3).Draw(w.t, "copies") {
		to := w.holder()
		w.later(func() { w.update(to, finish(call.msg, outcome)) })
	}
}

// ask starts a call, or asks again for one that is not decided.
func (w *world) ask(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "mint") == 0 {
		w.keys = append(w.keys, keyAt(w.now))
	}
	requestID := RequestID(len(w.calls) + 1)
	if len(w.calls) > 0 && rapid.Bool().Draw(t, "again") {
		requestID = rapid.SampledFrom(slices.Sorted(maps.Keys(w.calls))).Draw(t, "asker")
	} else {
		key := rapid.SampledFrom(w.keys).Draw(t, "key")
		w.calls[requestID] = &worldCall{msg: begin(requestID, fmt.Sprint("call", requestID), key, w.now)}
	}
	call := w.calls[requestID]
	to := w.holder()
	w.later(func() { w.update(to, call.msg) })
}

// giveUp ends a call that has no word yet; it never starts.
func (w *world) giveUp(t *rapid.T) {
	if len(w.calls) == 0 {
		return
	}
	call := w.calls[rapid.SampledFrom(slices.Sorted(maps.Keys(w.calls))).Draw(t, "asker")]
	if !call.decided {
		call.decided = true
		w.tell(call, hemlocktally.OutcomeNotRun)
	}
}

// pass lets time go by. Holders that are not paused renew their leases, read the
// store and tick.
func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	for _, s := range w.holders {
		if w.paused[s.Self.ID] {
			continue
		}
		w.renew(s)
		if rapid.IntRange(0, 3).Draw(t, "reads") > 0 {
			w.update(s, w.listing())
		}
		w.update(s, TickMsg{})
	}
}

// flow delivers most of what is on its way, in order.
func (w *world) flow(t *rapid.T) {
	for range len(w.pending) {
		p := w.pending[0]
		w.pending = w.pending[1:]
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0:
			w.pending = append(w.pending, p)
		case 1:
			p.lost()
		default:
			p.arrive()
		}
	}
}

func TestNoKeyRunsTwiceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		toggle := func(*rapid.T) {
			id := w.holder().Self.ID
			w.paused[id] = !w.paused[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": w.ask, "ask2": w.ask, "ask3": w.ask, "giveUp": w.giveUp, "pass": w.pass, "pass2": w.pass,
			"flow": w.flow, "flow2": w.flow, "deliver": w.deliver, "deliver2": w.deliver, "pause": toggle,
			"lapse": func(*rapid.T) {
				s := w.holder()
				if w.paused[s.Self.ID] && !w.now.Before(s.lease.End) {
					w.now = w.now.Add(worldTTL)
				}
			},
			"stale": func(t *rapid.T) {
				if len(w.old) > 0 {
					w.update(w.holder(), rapid.SampledFrom(w.old).Draw(t, "listing"))
				}
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "leaves") == 0 {
					w.update(w.holder(), LeaveMsg{})
				}
			},
		})
	})
}
