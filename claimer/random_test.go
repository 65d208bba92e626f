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
	leaseTTL    = 6 * time.Second
	leaseMargin = 500 * time.Millisecond
)

// simulation has three holders, a store, callers and a network that loses, repeats
// and delays messages.
type simulation struct {
	t               *rapid.T
	now             time.Time
	holders         []*State
	leases          map[string]time.Time // leases holds the time at which the store ends each lease.
	leaseMarkers    map[string]bool
	table           Table
	oldListings     []TableMsg // oldListings holds earlier listings, which may arrive again.
	pending         []message  // pending holds the messages in transit.
	calls           map[RequestID]*simulatedCall
	keys            []string
	paused          map[hemlocktally.InstanceID]bool
	answeredUnknown map[string]bool // answeredUnknown holds the keys for which a caller got Unknown.
	runCounts       map[string]int
	lastID          int
}

// message is a message in transit. Its lose function reports the loss to the sender.
type message struct {
	deliver func()
	lose    func()
}

type simulatedCall struct {
	msg     BeginMsg
	decided bool
	started bool
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: start, leases: map[string]time.Time{}, leaseMarkers: map[string]bool{}, calls: map[RequestID]*simulatedCall{},
		paused: map[hemlocktally.InstanceID]bool{}, answeredUnknown: map[string]bool{}, runCounts: map[string]int{}, keys: []string{"plain-1", "plain-2"},
	}
	var members []hemlocktally.Instance
	for i := range 3 {
		id := hemlocktally.InstanceID(fmt.Sprint("h", i))
		holder := &State{Self: hemlocktally.Instance{ID: id, Incarnation: string(id)}, NewID: func() string { sim.lastID++; return fmt.Sprint("t", sim.lastID) }}
		sim.holders = append(sim.holders, holder)
		members = append(members, holder.Self)
	}
	for _, holder := range sim.holders {
		sim.renew(holder)
		sim.update(holder, MembersMsg{Serving: members})
	}
	return sim
}

func (sim *simulation) randomHolder() *State {
	return rapid.SampledFrom(sim.holders).Draw(sim.t, "holder")
}

func (sim *simulation) update(s *State, msg Msg) {
	for _, cmd := range s.Update(msg, sim.now) {
		sim.execute(s, cmd)
	}
}

// renew renews the holder's lease, or gives it a new one if the old one has expired.
func (sim *simulation) renew(s *State) {
	id := s.lease.ID
	if end, ok := sim.leases[id]; !ok || !sim.now.Before(end) {
		sim.lastID++
		id = fmt.Sprint("lease", sim.lastID)
	}
	sim.leases[id] = sim.now.Add(leaseTTL)
	sim.update(s, LeaseMsg{ID: id, End: sim.now.Add(leaseTTL - leaseMargin)})
}

func (sim *simulation) sendLater(f func()) { sim.pending = append(sim.pending, message{f, func() {}}) }

// deliverOne delivers or loses one message in transit.
func (sim *simulation) deliverOne(t *rapid.T) {
	if len(sim.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.pending)-1).Draw(t, "message")
	p := sim.pending[i]
	sim.pending = slices.Delete(sim.pending, i, i+1)
	if rapid.IntRange(0, 7).Draw(t, "lost") == 0 {
		p.lose()
		return
	}
	p.deliver()
}

func (sim *simulation) execute(s *State, cmd Cmd) {
	switch c := cmd.(type) {
	case InvariantCmd:
		sim.t.Fatal(c.Detail)
	case MarkCmd:
		sim.sendLater(func() {
			if sim.now.Before(sim.leases[c.Lease]) {
				sim.leaseMarkers[c.Lease] = true
				sim.update(s, MarkedMsg(c))
			}
		})
	case SwapCmd:
		sim.pending = append(sim.pending, message{
			func() { sim.swap(s, c) },
			func() { sim.update(s, SwapMsg{Base: c.Table.Version, Table: c.Table, Result: SwapUnknown}) },
		})
	case RefreshCmd:
		sim.sendLater(func() { sim.update(s, sim.newListing()) })
	case TransferCmd:
		failed := func() { sim.update(s, TransferredMsg{ID: c.ID}) }
		sim.pending = append(sim.pending, message{func() { sim.sendTransfer(s, c, failed) }, failed})
	case ConfirmCmd:
		sim.sendLater(func() { sim.update(sim.find(c.To.ID), TableMsg{Table: c.Table}) })
	case AnswerCmd:
		sim.sendLater(func() { sim.handleAnswer(c) })
	}
}

func (sim *simulation) find(id hemlocktally.InstanceID) *State {
	return sim.holders[slices.IndexFunc(sim.holders, func(s *State) bool { return s.Self.ID == id })]
}

func (sim *simulation) newListing() TableMsg {
	live := map[string]bool{}
	for id := range sim.leaseMarkers {
		if sim.now.Before(sim.leases[id]) {
			live[id] = true
		}
	}
	msg := TableMsg{Table: sim.table, LiveLeases: live}
	sim.oldListings = append(sim.oldListings, msg)
	return msg
}

// swap performs a compare-and-swap of the table, now or later, and may lose the answer.
func (sim *simulation) swap(s *State, c SwapCmd) {
	write := func() bool {
		if sim.table.Version != c.Table.Version {
			return false
		}
		sim.table = c.Table
		sim.table.Version++
		return true
	}
	out := SwapMsg{Base: c.Table.Version, Table: c.Table, Result: SwapUnknown}
	switch rapid.IntRange(0, 3).Draw(sim.t, "write") {
	case 0:
		sim.sendLater(func() { write() })
	case 1:
		write()
	default:
		out.Result = SwapFailed
		if write() {
			out.Result, out.Table = SwapDone, sim.table
		}
	}
	sim.update(s, out)
}

func (sim *simulation) sendTransfer(s *State, c TransferCmd, failed func()) {
	to := sim.find(c.To.ID)
	for _, cmd := range to.Update(TransferMsg{ID: c.ID, From: s.Self.ID, Ranges: c.Ranges}, sim.now) {
		if accept, ok := cmd.(AcceptCmd); ok {
			sim.pending = append(sim.pending, message{func() {
				sim.update(s, TransferredMsg{ID: c.ID, Accepted: accept.Accepted, Incarnation: to.Self.Incarnation, Lease: accept.Lease})
			}, failed})
		}
	}
}

// handleAnswer does what the client does with a holder's answer.
func (sim *simulation) handleAnswer(c AnswerCmd) {
	call := sim.calls[c.RequestID]
	if call.decided || c.Moved {
		return
	}
	key := call.msg.Request.Key
	switch c.Claim.Verdict {
	case hemlocktally.ClaimRun:
		call.decided = true
		outcome := hemlocktally.OutcomeNotRun
		if sim.now.Before(c.Claim.Fence) && rapid.Bool().Draw(sim.t, "send") {
			sim.start(call)
			outcome = rapid.SampledFrom([]hemlocktally.Outcome{hemlocktally.OutcomeDone, hemlocktally.OutcomeUnknown}).Draw(sim.t, "outcome")
			sim.answeredUnknown[key] = sim.answeredUnknown[key] || outcome == hemlocktally.OutcomeUnknown
		}
		sim.report(call, outcome)
	case hemlocktally.ClaimUnknown:
		call.decided = true
		sim.answeredUnknown[key] = true
	case hemlocktally.ClaimDone:
		call.decided = true
		if sim.runCounts[key] != 1 {
			sim.t.Fatalf("key %s was reported done, but ran %d times", key, sim.runCounts[key])
		}
	}
}

func (sim *simulation) start(call *simulatedCall) {
	key := call.msg.Request.Key
	if sim.runCounts[key]++; sim.runCounts[key] > 1 {
		sim.t.Fatalf("key %s ran twice", key)
	}
	if sim.answeredUnknown[key] {
		sim.t.Fatalf("key %s ran after a caller got Unknown", key)
	}
	call.started = true
}

// report sends a call's outcome to random holders, up to three times and delayed.
func (sim *simulation) report(call *simulatedCall, outcome hemlocktally.Outcome) {
	for range rapid.IntRange(0, 3).Draw(sim.t, "copies") {
		to := sim.randomHolder()
		sim.sendLater(func() { sim.update(to, finish(call.msg, outcome)) })
	}
}

// claim sends the claim of a new call, or repeats that of an earlier one.
func (sim *simulation) claim(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "mint") == 0 {
		sim.keys = append(sim.keys, keyAt(sim.now))
	}
	requestID := RequestID(len(sim.calls) + 1)
	if len(sim.calls) > 0 && rapid.Bool().Draw(t, "again") {
		requestID = rapid.SampledFrom(slices.Sorted(maps.Keys(sim.calls))).Draw(t, "asker")
	} else {
		key := rapid.SampledFrom(sim.keys).Draw(t, "key")
		sim.calls[requestID] = &simulatedCall{msg: begin(requestID, fmt.Sprint("call", requestID), key, sim.now)}
	}
	call := sim.calls[requestID]
	to := sim.randomHolder()
	sim.sendLater(func() { sim.update(to, call.msg) })
}

// abandon ends a call that has no verdict yet. It never starts.
func (sim *simulation) abandon(t *rapid.T) {
	if len(sim.calls) == 0 {
		return
	}
	call := sim.calls[rapid.SampledFrom(slices.Sorted(maps.Keys(sim.calls))).Draw(t, "asker")]
	if !call.decided {
		call.decided = true
		sim.report(call, hemlocktally.OutcomeNotRun)
	}
}

// advance moves the clock. Holders that are not paused renew their leases, may read
// the store, and tick.
func (sim *simulation) advance(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	for _, s := range sim.holders {
		if sim.paused[s.Self.ID] {
			continue
		}
		sim.renew(s)
		if rapid.IntRange(0, 3).Draw(t, "reads") > 0 {
			sim.update(s, sim.newListing())
		}
		sim.update(s, TickMsg{})
	}
}

// deliverAll delivers the messages in transit in order, but delays or loses a few.
func (sim *simulation) deliverAll(t *rapid.T) {
	for range len(sim.pending) {
		p := sim.pending[0]
		sim.pending = sim.pending[1:]
		switch rapid.IntRange(0, 9).Draw(t, "fate") {
		case 0:
			sim.pending = append(sim.pending, p)
		case 1:
			p.lose()
		default:
			p.deliver()
		}
	}
}

func TestNoKeyRunsTwiceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		togglePause := func(*rapid.T) {
			id := sim.randomHolder().Self.ID
			sim.paused[id] = !sim.paused[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": sim.claim, "ask2": sim.claim, "ask3": sim.claim, "giveUp": sim.abandon, "pass": sim.advance, "pass2": sim.advance,
			"flow": sim.deliverAll, "flow2": sim.deliverAll, "deliver": sim.deliverOne, "deliver2": sim.deliverOne, "pause": togglePause,
			"lapse": func(*rapid.T) {
				s := sim.randomHolder()
				if sim.paused[s.Self.ID] && !sim.now.Before(s.lease.End) {
					sim.now = sim.now.Add(leaseTTL)
				}
			},
			"stale": func(t *rapid.T) {
				if len(sim.oldListings) > 0 {
					sim.update(sim.randomHolder(), rapid.SampledFrom(sim.oldListings).Draw(t, "listing"))
				}
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "leaves") == 0 {
					sim.update(sim.randomHolder(), LeaveMsg{})
				}
			},
		})
	})
}
