package registrar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
)

// simulation runs the States of a fleet against a simulated clock, network and
// store.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	nodes     []*node
	events    []event
	records   map[hemlocktally.InstanceID]storedLease
	leases    int
	storeDown bool
	loss      float64
	repeat    float64
	cut       func(a, b *node) bool
	changes   []ChangedCmd
}

type node struct {
	state   *State
	address string
	crashed bool
	paused  bool
	noStore bool
	held    []Msg // held are messages that arrive in a pause.
	ended   map[string]bool
	last    hemlocktally.View
	fault   string
}

type storedLease struct {
	record hemlocktally.Instance
	id     string
	end    time.Time
}

type event struct {
	at   time.Time
	node *node
	msg  Msg
	done func([]Cmd)
}

const (
	hop         = time.Millisecond
	simulateTTL = 6 * time.Second
)

func simulate(seed uint64, count int) *simulation {
	s := &simulation{
		now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 2)),
		records: map[hemlocktally.InstanceID]storedLease{}, cut: func(*node, *node) bool { return false },
	}
	for range count {
		s.add("", "")
	}
	return s
}

// add starts an instance; an empty ID or address means a new one.
func (s *simulation) add(id hemlocktally.InstanceID, address string) *node {
	number := len(s.nodes)
	if id == "" {
		id = hemlocktally.InstanceID(fmt.Sprintf("entry-%02d", number))
	}
	if address == "" {
		address = fmt.Sprintf("10.0.0.%d:1", number)
	}
	n := &node{address: address, ended: map[string]bool{}}
	n.state = &State{Seed: uint64(number) + 1, LeaseTTL: simulateTTL, Self: hemlocktally.Instance{
		ID: id, PeerAddress: address, Zone: hemlocktally.ZoneName(fmt.Sprintf("zone-%d", number%3)),
		Incarnation: ulid.MustNew(ulid.Timestamp(s.now), rand.NewChaCha8([32]byte{byte(number)})).String(),
	}}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for s.now.Before(end) {
		s.now = s.now.Add(10 * time.Millisecond)
		s.deliver()
		if s.now.UnixMilli()%50 == 0 {
			for _, n := range s.nodes {
				s.step(n, TickMsg{}, nil)
			}
		}
	}
}

func (s *simulation) deliver() {
	for {
		if len(s.events) == 0 || s.events[0].at.After(s.now) {
			return
		}
		e := s.events[0]
		s.events = s.events[1:]
		s.step(e.node, e.msg, e.done)
	}
}

func (s *simulation) post(n *node, after time.Duration, msg Msg) {
	s.schedule(event{at: s.now.Add(after), node: n, msg: msg})
}

// schedule keeps the events in the order of their times.
func (s *simulation) schedule(e event) {
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at.After(e.at) })
	s.events = slices.Insert(s.events, i, e)
}

func (s *simulation) step(n *node, msg Msg, done func([]Cmd)) {
	if (n.crashed || n.paused) && done != nil {
		done(nil)
	}
	if n.crashed {
		return
	}
	if n.paused {
		if _, tick := msg.(TickMsg); !tick {
			n.held = append(n.held, msg)
		}
		return
	}
	cmds := n.state.Update(msg, s.now)
	s.check(n)
	if done != nil {
		done(cmds)
	}
	for _, cmd := range cmds {
		s.execute(n, cmd)
	}
}

// check asserts what must hold after every step.
func (s *simulation) check(n *node) {
	view := n.last
	if n.state.changed {
		view, _ = n.state.View()
	}
	if view.Revision < n.last.Revision {
		n.fault = "the view's revision fell"
	}
	if _, ok := view.Find(n.state.Self.ID); !ok {
		n.fault = "the view lost the instance itself"
	}
	if view.Frozen && n.last.Frozen && len(view.Members) == 1 && len(n.last.Members) > 2 {
		n.fault = "a frozen view was emptied"
	}
	n.last = view
	s.checkLease(n)
}

// checkLease asserts that a lease ends once, and here before it does in the store.
func (s *simulation) checkLease(n *node) {
	lease := n.state.Lease()
	if lease.live(s.now) && n.ended[lease.id] {
		n.fault = "a lease came back after its end"
	}
	if lease.id != "" && !lease.live(s.now) {
		n.ended[lease.id] = true
	}
	if stored, ok := s.records[n.state.Self.ID]; ok && lease.live(s.now) && stored.id == lease.id && !s.now.Before(stored.end) {
		n.fault = "a lease outlived the store's"
	}
}

func (s *simulation) execute(n *node, cmd Cmd) {
	switch cmd := cmd.(type) {
	case ChangedCmd:
		s.changes = append(s.changes, cmd)
	case BeatCmd:
		s.beat(n, cmd)
	case RegisterCmd:
		s.register(n, cmd)
	case RenewCmd:
		s.post(n, hop, RenewedMsg{Lease: cmd.Lease, Sent: s.now, Result: s.renew(n, cmd.Lease)})
	case RelayCmd:
		peer := s.at(cmd.Address)
		result := RenewFailed
		if peer != nil && !peer.paused && !s.cut(n, peer) {
			result = s.renew(peer, cmd.Lease)
		}
		s.post(n, hop, RenewedMsg{Lease: cmd.Lease, Sent: s.now, Result: result, Peer: cmd.Peer})
	case ListCmd:
		if s.reachable(n) {
			s.post(n, hop, s.list())
		}
	case HintsCmd:
		var hints HintsMsg
		for _, other := range s.nodes {
			hints.Addresses = append(hints.Addresses, other.address)
		}
		s.post(n, hop, hints)
	}
}

func (s *simulation) at(address string) *node {
	for _, n := range s.nodes {
		if n.address == address && !n.crashed {
			return n
		}
	}
	return nil
}

func (s *simulation) lost() bool { return s.random.Float64() < s.loss }

func (s *simulation) beat(from *node, cmd BeatCmd) {
	silence := SilenceMsg{To: cmd.To, Sent: s.now}
	to := s.at(cmd.Address)
	switch {
	case to == nil:
		s.post(from, hop, silence)
		return
	case to.paused || s.cut(from, to) || s.lost():
		s.post(from, beatTimeout, silence)
		if to.paused {
			s.post(to, hop, BeatMsg{Beat: cmd.Beat})
		}
		return
	}
	answer := func(cmds []Cmd) {
		if len(cmds) == 0 || s.lost() {
			s.post(from, beatTimeout, silence)
			return
		}
		if reply, ok := cmds[len(cmds)-1].(ReplyCmd); ok {
			s.post(from, hop, AnswerMsg{To: cmd.To, Beat: reply.Beat})
		}
	}
	s.schedule(event{at: s.now.Add(hop), node: to, msg: BeatMsg{Beat: cmd.Beat}, done: answer})
	if s.random.Float64() < s.repeat {
		s.post(to, time.Second, BeatMsg{Beat: cmd.Beat})
	}
}

func (s *simulation) reachable(n *node) bool { return !s.storeDown && !n.noStore }

func (s *simulation) register(n *node, cmd RegisterCmd) {
	if !s.reachable(n) {
		s.post(n, hop, RegisterFailedMsg{})
		return
	}
	s.expire()
	if present, ok := s.records[cmd.Record.ID]; ok && present.record.Incarnation > cmd.Record.Incarnation {
		s.post(n, hop, RegisterFailedMsg{Above: present.record.Incarnation})
		return
	}
	s.leases++
	id := fmt.Sprint(s.leases)
	s.records[cmd.Record.ID] = storedLease{record: cmd.Record, id: id, end: s.now.Add(simulateTTL)}
	s.post(n, hop, RegisteredMsg{Lease: id, Sent: s.now, Incarnation: cmd.Record.Incarnation})
	s.notify()
}

func (s *simulation) renew(n *node, lease string) RenewResult {
	if !s.reachable(n) {
		return RenewFailed
	}
	s.expire()
	for id, stored := range s.records {
		if stored.id == lease {
			stored.end = s.now.Add(simulateTTL)
			s.records[id] = stored
			return RenewDone
		}
	}
	return RenewLapsed
}

func (s *simulation) expire() {
	for id, stored := range s.records {
		if !s.now.Before(stored.end) {
			delete(s.records, id)
			s.notify()
		}
	}
}

func (s *simulation) list() RecordsMsg {
	var msg RecordsMsg
	for _, stored := range s.records {
		if s.now.Before(stored.end) {
			msg.Records = append(msg.Records, stored.record)
		}
	}
	sort.Slice(msg.Records, func(i, j int) bool { return msg.Records[i].ID < msg.Records[j].ID })
	return msg
}

// notify answers the watches.
func (s *simulation) notify() {
	for _, n := range s.nodes {
		if s.reachable(n) && Watching(n.last, n.state.Self.ID, recordPrefix) {
			s.post(n, hop, s.list())
		}
	}
}

func (s *simulation) pause(n *node) { n.paused = true }

func (s *simulation) resume(n *node) {
	n.paused = false
	held := n.held
	n.held = nil
	for _, msg := range held {
		s.step(n, msg, nil)
	}
}

// serving returns whom a node takes for serving.
func (n *node) serving() []hemlocktally.InstanceID {
	var ids []hemlocktally.InstanceID
	for _, m := range n.last.Serving() {
		ids = append(ids, m.ID)
	}
	return ids
}

func (s *simulation) live() []*node {
	var live []*node
	for _, n := range s.nodes {
		if !n.crashed {
			live = append(live, n)
		}
	}
	return live
}
