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

// simulation runs the States of a fleet on a simulated clock, network and store.
type simulation struct {
	now           time.Time
	random        *rand.Rand
	nodes         []*node
	events        []event
	records       map[hemlocktally.InstanceID]storedLease
	leases        int
	storeDown     bool
	lossRate      float64
	duplicateRate float64
	partitioned   func(a, b *node) bool
	changes       []StateChangedCmd
}

type node struct {
	state            *State
	address          string
	crashed          bool
	paused           bool
	storeUnreachable bool
	deferred         []Msg // deferred holds the messages that arrive during a pause.
	expired          map[string]bool
	lastView         hemlocktally.View
	violation        string
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
	networkDelay = time.Millisecond
	simulatedTTL = 6 * time.Second
)

func newSimulation(seed uint64, count int) *simulation {
	s := &simulation{
		now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 2)),
		records: map[hemlocktally.InstanceID]storedLease{}, partitioned: func(*node, *node) bool { return false },
	}
	for range count {
		s.addNode("", "")
	}
	return s
}

// addNode starts an instance; an empty ID or address means a new one.
func (s *simulation) addNode(id hemlocktally.InstanceID, address string) *node {
	number := len(s.nodes)
	if id == "" {
		id = hemlocktally.InstanceID(fmt.Sprintf("entry-%02d", number))
	}
	if address == "" {
		address = fmt.Sprintf("10.0.0.%d:1", number)
	}
	n := &node{address: address, expired: map[string]bool{}}
	n.state = &State{Seed: uint64(number) + 1, LeaseTTL: simulatedTTL, Self: hemlocktally.Instance{
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

// schedule inserts the event in order of time.
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
			n.deferred = append(n.deferred, msg)
		}
		return
	}
	cmds := n.state.Update(msg, s.now)
	s.checkInvariants(n)
	if done != nil {
		done(cmds)
	}
	for _, cmd := range cmds {
		s.execute(n, cmd)
	}
}

// checkInvariants records a violation of what must hold after every step.
func (s *simulation) checkInvariants(n *node) {
	view := n.lastView
	if n.state.viewChanged {
		view, _ = n.state.View()
	}
	if view.Revision < n.lastView.Revision {
		n.violation = "the view's revision decreased"
	}
	if _, ok := view.Find(n.state.Self.ID); !ok {
		n.violation = "the view lacks the instance itself"
	}
	if view.Frozen && n.lastView.Frozen && len(view.Members) == 1 && len(n.lastView.Members) > 2 {
		n.violation = "a frozen view lost its members"
	}
	n.lastView = view
	s.checkLease(n)
}

// checkLease records a violation if a lease is valid again after it expired, or is
// still valid after it expired in the store.
func (s *simulation) checkLease(n *node) {
	lease := n.state.Lease()
	if lease.live(s.now) && n.expired[lease.id] {
		n.violation = "a lease was valid again after it expired"
	}
	if lease.id != "" && !lease.live(s.now) {
		n.expired[lease.id] = true
	}
	if stored, ok := s.records[n.state.Self.ID]; ok && lease.live(s.now) && stored.id == lease.id && !s.now.Before(stored.end) {
		n.violation = "a lease was valid after it expired in the store"
	}
}

func (s *simulation) execute(n *node, cmd Cmd) {
	switch cmd := cmd.(type) {
	case StateChangedCmd:
		s.changes = append(s.changes, cmd)
	case HeartbeatCmd:
		s.sendHeartbeat(n, cmd)
	case RegisterCmd:
		s.register(n, cmd)
	case RenewCmd:
		s.post(n, networkDelay, RenewedMsg{Lease: cmd.Lease, Sent: s.now, Result: s.renew(n, cmd.Lease)})
	case RelayCmd:
		peer := s.nodeAt(cmd.Address)
		result := RenewFailed
		if peer != nil && !peer.paused && !s.partitioned(n, peer) {
			result = s.renew(peer, cmd.Lease)
		}
		s.post(n, networkDelay, RenewedMsg{Lease: cmd.Lease, Sent: s.now, Result: result, Peer: cmd.Peer})
	case ListRecordsCmd:
		if s.reachable(n) {
			s.post(n, networkDelay, s.list())
		}
	case ListInstancesCmd:
		var addresses AddressesMsg
		for _, other := range s.nodes {
			addresses.Addresses = append(addresses.Addresses, other.address)
		}
		s.post(n, networkDelay, addresses)
	}
}

func (s *simulation) nodeAt(address string) *node {
	for _, n := range s.nodes {
		if n.address == address && !n.crashed {
			return n
		}
	}
	return nil
}

func (s *simulation) dropMessage() bool { return s.random.Float64() < s.lossRate }

func (s *simulation) sendHeartbeat(from *node, cmd HeartbeatCmd) {
	failed := HeartbeatFailedMsg{To: cmd.To, Sent: s.now}
	to := s.nodeAt(cmd.Address)
	switch {
	case to == nil:
		s.post(from, networkDelay, failed)
		return
	case to.paused || s.partitioned(from, to) || s.dropMessage():
		s.post(from, heartbeatTimeout, failed)
		if to.paused {
			s.post(to, networkDelay, HeartbeatMsg{Heartbeat: cmd.Heartbeat})
		}
		return
	}
	sendReply := func(cmds []Cmd) {
		if len(cmds) == 0 || s.dropMessage() {
			s.post(from, heartbeatTimeout, failed)
			return
		}
		if reply, ok := cmds[len(cmds)-1].(ReplyCmd); ok {
			s.post(from, networkDelay, HeartbeatReplyMsg{To: cmd.To, Heartbeat: reply.Heartbeat})
		}
	}
	s.schedule(event{at: s.now.Add(networkDelay), node: to, msg: HeartbeatMsg{Heartbeat: cmd.Heartbeat}, done: sendReply})
	if s.random.Float64() < s.duplicateRate {
		s.post(to, time.Second, HeartbeatMsg{Heartbeat: cmd.Heartbeat})
	}
}

func (s *simulation) reachable(n *node) bool { return !s.storeDown && !n.storeUnreachable }

func (s *simulation) register(n *node, cmd RegisterCmd) {
	if !s.reachable(n) {
		s.post(n, networkDelay, RegisterFailedMsg{})
		return
	}
	s.expire()
	if stored, ok := s.records[cmd.Record.ID]; ok && stored.record.Incarnation > cmd.Record.Incarnation {
		s.post(n, networkDelay, RegisterFailedMsg{ExistingIncarnation: stored.record.Incarnation})
		return
	}
	s.leases++
	id := fmt.Sprint(s.leases)
	s.records[cmd.Record.ID] = storedLease{record: cmd.Record, id: id, end: s.now.Add(simulatedTTL)}
	s.post(n, networkDelay, RegisteredMsg{Lease: id, Sent: s.now, Incarnation: cmd.Record.Incarnation})
	s.notifyWatchers()
}

func (s *simulation) renew(n *node, lease string) RenewResult {
	if !s.reachable(n) {
		return RenewFailed
	}
	s.expire()
	for id, stored := range s.records {
		if stored.id == lease {
			stored.end = s.now.Add(simulatedTTL)
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
			s.notifyWatchers()
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

// notifyWatchers sends the records to the instances that watch the store.
func (s *simulation) notifyWatchers() {
	for _, n := range s.nodes {
		if s.reachable(n) && IsWatcher(n.lastView, n.state.Self.ID, recordPrefix) {
			s.post(n, networkDelay, s.list())
		}
	}
}

func (s *simulation) pause(n *node) { n.paused = true }

func (s *simulation) resume(n *node) {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, msg := range deferred {
		s.step(n, msg, nil)
	}
}

// serving returns the instances that a node sees as Serving.
func (n *node) serving() []hemlocktally.InstanceID {
	var ids []hemlocktally.InstanceID
	for _, m := range n.lastView.Serving() {
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
