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

// State is what one instance knows of the fleet. Every change of it is one step
// of Update; it does no I/O and reads no clock.
type State struct {
	Self     hemlocktally.Instance
	LeaseTTL time.Duration // LeaseTTL is zero for DefaultLeaseTTL.
	Seed     uint64        // Seed picks the random peers of each round.

	random  *rand.Rand
	entropy *rand.ChaCha8
	version uint64 // version of the instance's own report.
	news    int    // news counts the beats that still carry the own report.
	members map[hemlocktally.InstanceID]*member
	list    []*member // list holds the members by ID; it is nil after one came or went.
	sum     uint64    // sum combines the digests of the members' reports.
	graves  map[grave]*burial

	round         uint64
	nextBeat      time.Time
	mismatchSince time.Time
	now           time.Time

	keeper   keeper
	nextList time.Time
	nextHint time.Time
	frozen   bool
	departed bool
	started  bool // started is set once the instance had a configuration.

	viewRevision uint64
	changed      bool
}

// member is another instance as this one knows it.
type member struct {
	report                                   // report is the newest that the member made of itself.
	life     life                            // life is this instance's judgement.
	heardAt  time.Time                       // heardAt is the time of the last direct sign of life.
	failures int                             // failures counts heartbeats in a row without an answer.
	failing  time.Time                       // failing is when the first of them was sent.
	awaiting bool                            // awaiting is set while a heartbeat is under way.
	votes    map[hemlocktally.InstanceID]int // votes holds who finds it silent, and how often to pass that on.
	news     int                             // news counts the beats that still carry the report.
}

// grave names an incarnation that is gone.
type grave struct {
	id          hemlocktally.InstanceID
	incarnation string
}

// burial keeps the last report of a gone incarnation, so that late messages
// don't bring it back.
type burial struct {
	last  report
	until time.Time
	news  int
}

// graveTime is how long late messages of a gone incarnation may arrive.
const graveTime = 5 * time.Minute

// Update is the only step that changes the state.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	s.init(now)
	s.now = now
	switch msg := msg.(type) {
	case TickMsg:
		return s.tick(msg, now)
	case BeatMsg:
		known := s.members[hemlocktally.InstanceID(msg.Beat.GetFrom().GetID())] != nil
		cmds := s.hear(msg.Beat, now)
		return append(cmds, ReplyCmd{Beat: s.reply(msg.Beat, msg.Beat.GetWhole() || !known)})
	case AnswerMsg:
		return s.answer(msg, now)
	case SilenceMsg:
		return s.silence(msg, now)
	case RecordsMsg:
		return s.records(msg, now)
	case HintsMsg:
		return s.hints(msg)
	case StoreLostMsg:
		s.freeze(true)
	case RegisteredMsg:
		return s.registered(msg, now)
	case RegisterFailedMsg:
		s.registerFailed(msg, now)
	case RenewedMsg:
		return s.renewed(msg, now)
	case LeaveMsg:
		s.report(hemlocktally.InstanceLeaving)
	case DepartMsg:
		return s.depart()
	}
	return nil
}

func (s *State) init(now time.Time) {
	if s.members != nil {
		return
	}
	s.members = map[hemlocktally.InstanceID]*member{}
	s.graves = map[grave]*burial{}
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.entropy = rand.NewChaCha8([32]byte(binary.LittleEndian.AppendUint64(make([]byte, 24), s.Seed)))
	s.version, s.changed = 1, true
	s.nextBeat = now
	s.news = s.spread()
	if s.Self.State == "" {
		s.Self.State = hemlocktally.InstanceServing
	}
}

func (s *State) tick(msg TickMsg, now time.Time) []Cmd {
	s.reportSelf(msg)
	s.sweep(now)
	cmds := s.keepLease(now)
	cmds = append(cmds, s.readLists(now)...)
	if !now.Before(s.nextBeat) {
		cmds = append(cmds, s.beat(now)...)
	}
	return cmds
}

// reportSelf takes over what the instance says of itself.
func (s *State) reportSelf(msg TickMsg) {
	if msg.Revision > s.Self.Revision {
		s.Self.Revision = msg.Revision
		s.bump()
	}
	s.started = s.started || !msg.Starting
	able := s.Self.State == hemlocktally.InstanceStarting || s.Self.State == hemlocktally.InstanceServing ||
		s.Self.State == hemlocktally.InstanceOut
	switch {
	case !able:
	case !s.started:
		s.report(hemlocktally.InstanceStarting)
	case msg.Out:
		s.report(hemlocktally.InstanceOut)
	default:
		s.report(hemlocktally.InstanceServing)
	}
}

func (s *State) report(state hemlocktally.InstanceState) {
	if s.Self.State == state {
		return
	}
	s.Self.State = state
	s.bump()
	s.hurry()
}

// bump makes a new version of the own report, to be spread.
func (s *State) bump() {
	s.version++
	s.news = s.spread()
	s.changed = true
}

func (s *State) freeze(frozen bool) {
	s.changed = s.changed || s.frozen != frozen
	s.frozen = frozen
}

func (s *State) sweep(now time.Time) {
	for g, b := range s.graves {
		if now.After(b.until) {
			delete(s.graves, g)
		}
	}
}

// own returns the instance's report of itself.
func (s *State) own() report { return report{instance: s.Self, version: s.version} }

// ordered returns the members by ID. Callers leave the list as it is.
func (s *State) ordered() []*member {
	if s.list == nil {
		s.list = slices.SortedFunc(maps.Values(s.members), compareID)
	}
	return s.list
}

// View returns the view after the last step, and whether it differs from the
// one returned before in more than the times of signs of life.
func (s *State) View() (hemlocktally.View, bool) {
	changed := s.changed
	if changed {
		s.viewRevision++
		s.changed = false
	}
	view := hemlocktally.View{Revision: s.viewRevision, Frozen: s.frozen}
	self := s.Self
	self.HeardAt = s.now
	view.Members = append(view.Members, self)
	for _, m := range s.members {
		view.Members = append(view.Members, m.seen())
	}
	slices.SortFunc(view.Members, func(a, b hemlocktally.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return view, changed
}

func (m *member) seen() hemlocktally.Instance {
	seen := m.instance
	seen.State = m.life.state()
	seen.HeardAt = m.heardAt
	return seen
}

// Lease returns the lease after the last step.
func (s *State) Lease() heldLease { return s.keeper.lease }
