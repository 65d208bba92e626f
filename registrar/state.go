package registrar

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hemlocktally"
)

// State is the membership state that one instance keeps of the fleet. Members,
// votes and lease change only in Update, which does no I/O and reads no clock, so
// that a simulation can drive it. It is not safe for concurrent use.
type State struct {
	Self     hemlocktally.Instance
	LeaseTTL time.Duration // LeaseTTL is the TTL of the store lease; zero means DefaultLeaseTTL.
	Seed     uint64        // Seed seeds the random choice of peers and the new incarnations.

	random        *rand.Rand
	entropy       *rand.ChaCha8
	version       uint64 // version numbers the instance's reports of itself.
	sendsLeft     int    // sendsLeft is how many more heartbeats carry the report as new.
	members       map[hemlocktally.InstanceID]*member
	sorted        []*member // sorted caches the members by ID; nil after one was added or removed.
	membersDigest uint64    // membersDigest is the xor of the digests of all members' reports.
	tombstones    map[incarnationKey]*tombstone

	round         uint64
	nextRound     time.Time
	mismatchSince time.Time
	now           time.Time

	leaseState       leaseState
	nextRecordList   time.Time
	nextInstanceList time.Time
	frozen           bool
	departed         bool
	started          bool // started is set once the instance has had a configuration.

	viewRevision uint64
	viewChanged  bool
}

// member is another instance as this one sees it.
type member struct {
	report                                        // report is the newest report that the member made of itself.
	lifecycle     lifecycle                       // lifecycle holds the member's state as this instance sees it.
	heardAt       time.Time                       // heardAt is when the member was last heard directly.
	failures      int                             // failures counts consecutive heartbeats without a reply.
	failingSince  time.Time                       // failingSince is when the first of those was sent.
	awaitingReply bool                            // awaitingReply is set while a heartbeat is in flight.
	votes         map[hemlocktally.InstanceID]int // votes maps each instance that suspects this member to how often that vote is still to be sent.
	sendsLeft     int                             // sendsLeft is how many more heartbeats carry the report as new.
}

// incarnationKey identifies one incarnation of an instance.
type incarnationKey struct {
	id          hemlocktally.InstanceID
	incarnation string
}

// tombstone keeps the last report of a gone incarnation, so that late messages
// don't add it again.
type tombstone struct {
	last      report
	expiresAt time.Time
	sendsLeft int
}

// tombstoneTTL is how long late messages of a gone incarnation may still arrive.
const tombstoneTTL = 5 * time.Minute

// Update applies one message and returns the commands that follow from it. The
// caller runs them and passes their results back as messages.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	s.init(now)
	s.now = now
	switch msg := msg.(type) {
	case TickMsg:
		return s.handleTick(msg, now)
	case HeartbeatMsg:
		known := s.members[hemlocktally.InstanceID(msg.Heartbeat.GetFrom().GetID())] != nil
		cmds := s.handleHeartbeat(msg.Heartbeat, now)
		return append(cmds, ReplyCmd{Heartbeat: s.newReply(msg.Heartbeat, msg.Heartbeat.GetWhole() || !known)})
	case HeartbeatReplyMsg:
		return s.handleReply(msg, now)
	case HeartbeatFailedMsg:
		return s.handleFailure(msg, now)
	case RecordsMsg:
		return s.handleRecords(msg, now)
	case AddressesMsg:
		return s.handleAddresses(msg)
	case StoreFailedMsg:
		s.setFrozen(true)
	case RegisteredMsg:
		return s.handleRegistered(msg, now)
	case RegisterFailedMsg:
		s.handleRegisterFailed(msg, now)
	case RenewedMsg:
		return s.handleRenewed(msg, now)
	case LeaveMsg:
		s.setState(hemlocktally.InstanceLeaving)
	case DepartMsg:
		return s.handleDepart()
	}
	return nil
}

func (s *State) init(now time.Time) {
	if s.members != nil {
		return
	}
	s.members = map[hemlocktally.InstanceID]*member{}
	s.tombstones = map[incarnationKey]*tombstone{}
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.entropy = rand.NewChaCha8([32]byte(binary.LittleEndian.AppendUint64(make([]byte, 24), s.Seed)))
	s.version, s.viewChanged = 1, true
	s.nextRound = now
	s.sendsLeft = s.transmitLimit()
	if s.Self.State == "" {
		s.Self.State = hemlocktally.InstanceServing
	}
}

func (s *State) handleTick(msg TickMsg, now time.Time) []Cmd {
	s.updateSelf(msg)
	s.expireTombstones(now)
	cmds := s.maintainLease(now)
	cmds = append(cmds, s.requestLists(now)...)
	if !now.Before(s.nextRound) {
		cmds = append(cmds, s.startRound(now)...)
	}
	return cmds
}

// updateSelf sets the instance's own revision and state from a tick. Once the
// instance is Leaving or Gone, ticks no longer change its state.
func (s *State) updateSelf(msg TickMsg) {
	if msg.Revision > s.Self.Revision {
		s.Self.Revision = msg.Revision
		s.bumpVersion()
	}
	s.started = s.started || !msg.Starting
	stateFollowsTick := s.Self.State == hemlocktally.InstanceStarting || s.Self.State == hemlocktally.InstanceServing ||
		s.Self.State == hemlocktally.InstanceOut
	switch {
	case !stateFollowsTick:
	case !s.started:
		s.setState(hemlocktally.InstanceStarting)
	case msg.Out:
		s.setState(hemlocktally.InstanceOut)
	default:
		s.setState(hemlocktally.InstanceServing)
	}
}

func (s *State) setState(state hemlocktally.InstanceState) {
	if s.Self.State == state {
		return
	}
	s.Self.State = state
	s.bumpVersion()
	s.expediteRound()
}

// bumpVersion starts a new version of the instance's report and has it sent to peers.
func (s *State) bumpVersion() {
	s.version++
	s.sendsLeft = s.transmitLimit()
	s.viewChanged = true
}

func (s *State) setFrozen(frozen bool) {
	s.viewChanged = s.viewChanged || s.frozen != frozen
	s.frozen = frozen
}

func (s *State) expireTombstones(now time.Time) {
	for key, t := range s.tombstones {
		if now.After(t.expiresAt) {
			delete(s.tombstones, key)
		}
	}
}

// selfReport returns the instance's report of itself.
func (s *State) selfReport() report { return report{instance: s.Self, version: s.version} }

// ordered returns the members sorted by ID. Callers must not modify the slice.
func (s *State) ordered() []*member {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Values(s.members), compareID)
	}
	return s.sorted
}

// View returns the view after the last update. The second result is false where
// only the HeardAt times differ from the view returned before.
func (s *State) View() (hemlocktally.View, bool) {
	changed := s.viewChanged
	if changed {
		s.viewRevision++
		s.viewChanged = false
	}
	view := hemlocktally.View{Revision: s.viewRevision, Frozen: s.frozen}
	self := s.Self
	self.HeardAt = s.now
	view.Members = append(view.Members, self)
	for _, m := range s.members {
		view.Members = append(view.Members, m.observed())
	}
	slices.SortFunc(view.Members, func(a, b hemlocktally.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return view, changed
}

func (m *member) observed() hemlocktally.Instance {
	instance := m.instance
	instance.State = m.lifecycle.state()
	instance.HeardAt = m.heardAt
	return instance
}

// Lease returns the lease after the last update.
func (s *State) Lease() heldLease { return s.leaseState.lease }
