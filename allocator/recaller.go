package allocator

import (
	"context"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// The times between recalls. While a target is cold, the members' promises have
// to be renewed.
const (
	recallIdle    = time.Second
	recallHot     = 150 * time.Millisecond
	recallHotHold = 3 * time.Second
	demandTime    = 5 * time.Second // demandTime is how long after a request the promises are kept for cold targets.
	recallTimeout = 400 * time.Millisecond
	freshTime     = 300 * time.Millisecond // freshTime is how long a new owner has no word on its targets.
	ownerIdleTime = 30 * time.Second       // ownerIdleTime is how long an owner without work is kept.
)

// recaller asks the members of the view for their turns and their promises.
// Its fields are guarded by the server's lock.
type recaller struct {
	standing Standing
	asked    time.Time
	hotUntil time.Time
	stands   bool
	told     map[hemlocktally.InstanceID]map[hemlocktally.ServiceName]uint64 // told holds the board versions that members confirmed.
	busy     map[hemlocktally.InstanceID]bool
}

// recall asks each member where it is time to, and gives the owners their
// standing.
func (s *Server) recall(ctx context.Context, now time.Time) {
	view := rankingOf(s.view())
	owners := s.ownerList()
	hot, fresh := s.wants(view, owners, now)
	lease, leaseEnd := s.ownLease()
	s.mu.Lock()
	r := &s.recaller
	changed := view.hash != r.standing.View()
	r.standing.SetView(view.View, now)
	r.standing.SetLease(lease, leaseEnd, now)
	if hot {
		r.hotUntil = now.Add(recallHotHold)
	}
	pause := recallIdle
	if now.Before(r.hotUntil) {
		pause = recallHot
	}
	due := len(owners) > 0 && (changed || fresh || now.Sub(r.asked) >= pause)
	if due {
		r.asked = now
	}
	s.mu.Unlock()
	if due {
		s.askMembers(ctx, view, owners, now)
	}
	s.grantStanding(view, owners, now)
	s.dropIdle(view, owners, now)
}

// ownLease returns the instance's lease, or zero values where none holds.
func (s *Server) ownLease() (string, time.Time) {
	if s.Leaser == nil {
		return "", time.Time{}
	}
	id, end, ok := s.Leaser.Lease()
	if !ok {
		return "", time.Time{}
	}
	return id, end
}

// wants reports whether any owner of a service that is this instance's own
// needs its standing, and whether one has just started. Cold targets that nobody
// asks for can wait.
func (s *Server) wants(view ranking, owners map[hemlocktally.ServiceName]*Owner, now time.Time) (hot, fresh bool) {
	for name, o := range owners {
		if o.mine(name, s.Self, view) {
			shown := o.board.Load()
			hot = hot || shown.needs && now.Sub(shown.askedAt) < demandTime
		}
		fresh = fresh || now.Sub(o.Started) < recallHot
	}
	return hot, fresh
}

func (s *Server) askMembers(ctx context.Context, view ranking, owners map[hemlocktally.ServiceName]*Owner, now time.Time) {
	for _, member := range view.Members {
		if member.ID == s.Self {
			s.tellRecalled(ctx, owners, s.Self, now, s.Ledger.turnsOf(s.Self, everyService), s.toldHere(owners, now))
			continue
		}
		if member.State == hemlocktally.InstanceGone || s.Peers == nil || !s.begin(member.ID) {
			continue
		}
		go s.askMember(ctx, member, view, owners)
	}
	members := map[hemlocktally.InstanceID]bool{}
	for _, member := range view.Members {
		members[member.ID] = true
	}
	for _, o := range owners {
		o.Send(ctx, MembersMsg{Members: members})
	}
}

// toldHere returns what earlier owners told this instance. An owner that has
// just taken over must not wait for other members to repeat it.
func (s *Server) toldHere(owners map[hemlocktally.ServiceName]*Owner, now time.Time) []*messenger.ServiceStates {
	var states []*messenger.ServiceStates
	for name := range owners {
		if warm := s.Ledger.warm(name, now); len(warm) > 0 {
			states = append(states, &messenger.ServiceStates{Service: string(name), Warm: textsOf(warm)})
		}
	}
	return states
}

func everyService(hemlocktally.ServiceName) bool { return true }

// begin marks a member as being asked; it returns false where it already is.
func (s *Server) begin(member hemlocktally.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recaller.busy == nil {
		s.recaller.busy = map[hemlocktally.InstanceID]bool{}
	}
	if s.recaller.busy[member] {
		return false
	}
	s.recaller.busy[member] = true
	return true
}

func (s *Server) askMember(ctx context.Context, member hemlocktally.Instance, view ranking, owners map[hemlocktally.ServiceName]*Owner) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	sent := time.Now()
	request, versions := s.recallRequest(member.ID, view, owners, sent)
	out, err := s.Peers.client(member).Recall(ctx, request)
	now := time.Now()
	s.mu.Lock()
	delete(s.recaller.busy, member.ID)
	if err != nil {
		s.mu.Unlock()
		return
	}
	s.recaller.standing.Confirm(member.ID, out.View, out.Promised, sent, now)
	s.noteTold(member.ID, versions)
	waits := !s.recaller.stands
	s.mu.Unlock()
	if waits {
		s.effects.wake()
	}
	turns := make([]Turn, 0, len(out.InFlight))
	for _, used := range out.InFlight {
		turns = append(turns, Turn{
			Grant: hemlocktally.GrantID(used.Grant), Service: hemlocktally.ServiceName(used.Service),
			Target:  hemlocktally.TargetName(used.Target),
			Started: sent.Add(-time.Duration(used.AgeMicroseconds) * time.Microsecond),
			// The time left counts from when the answer was sent, before now.
			Deadline: now.Add(time.Duration(used.LeftMicroseconds) * time.Microsecond),
		})
	}
	s.tellRecalled(ctx, owners, member.ID, sent, turns, out.Services)
}

// noteTold keeps what a member has been told. The caller holds the lock.
func (s *Server) noteTold(member hemlocktally.InstanceID, versions map[hemlocktally.ServiceName]uint64) {
	if s.recaller.told == nil {
		s.recaller.told = map[hemlocktally.InstanceID]map[hemlocktally.ServiceName]uint64{}
	}
	told := s.recaller.told[member]
	if told == nil {
		told = map[hemlocktally.ServiceName]uint64{}
		s.recaller.told[member] = told
	}
	for name, version := range versions {
		told[name] = version
	}
}

// tellRecalled gives each owner the turns of one member.
func (s *Server) tellRecalled(ctx context.Context, owners map[hemlocktally.ServiceName]*Owner, from hemlocktally.InstanceID, asked time.Time, turns []Turn, states []*messenger.ServiceStates) {
	byService := map[hemlocktally.ServiceName]*RecallMsg{}
	for name := range owners {
		byService[name] = &RecallMsg{From: from, Asked: asked}
	}
	for _, used := range turns {
		if msg := byService[used.Service]; msg != nil {
			msg.Turns = append(msg.Turns, used)
		}
	}
	for _, state := range states {
		if msg := byService[hemlocktally.ServiceName(state.Service)]; msg != nil {
			for _, name := range state.Warm {
				msg.Warm = append(msg.Warm, hemlocktally.TargetName(name))
			}
		}
	}
	for name, o := range owners {
		o.Send(ctx, *byService[name])
	}
}

// recallRequest names the services whose targets changed since the member was
// last told, and those that this instance serves in another's place.
func (s *Server) recallRequest(member hemlocktally.InstanceID, view ranking, owners map[hemlocktally.ServiceName]*Owner, now time.Time) (*messenger.RecallRequest, map[hemlocktally.ServiceName]uint64) {
	request := &messenger.RecallRequest{Instance: string(s.Self), Incarnation: s.Incarnation, View: view.hash}
	versions := map[hemlocktally.ServiceName]uint64{}
	for name, o := range owners {
		shown := o.board.Load()
		s.mu.Lock()
		told, known := s.recaller.told[member][name]
		s.mu.Unlock()
		fresh := now.Sub(o.Started) < freshTime
		if !fresh && known && told == shown.version && o.mine(name, s.Self, view) {
			continue
		}
		states := &messenger.ServiceStates{Service: string(name)}
		if fresh {
			states.AgeMicroseconds = -1
		} else {
			versions[name] = shown.version
		}
		states.Warm, states.Unheard = textsOf(shown.warm), textsOf(shown.unheard)
		request.Services = append(request.Services, states)
	}
	return request, versions
}

// grantStanding tells the owners until when they are the only ones.
func (s *Server) grantStanding(view ranking, owners map[hemlocktally.ServiceName]*Owner, now time.Time) {
	s.mu.Lock()
	until := s.recaller.standing.Until(now)
	missing := s.recaller.standing.Missing(now)
	before := s.recaller.stands
	s.recaller.stands = !until.IsZero()
	hot := now.Before(s.recaller.hotUntil)
	s.mu.Unlock()
	for name, o := range owners {
		mine := StandingMsg{}
		if o.mine(name, s.Self, view) {
			mine = StandingMsg{Until: until, Owner: true}
		}
		o.standing.Store(&mine)
		if !before && !mine.Until.IsZero() {
			o.Send(context.Background(), TickMsg{})
		}
	}
	switch {
	case !before && !until.IsZero():
		s.Log.Log(logger.EventStandingGained, logger.Fields{"Instance": s.Self})
	case before && until.IsZero() && hot:
		s.Log.Log(logger.EventStandingLost, logger.Fields{"Instance": s.Self, "Detail": "no confirmation of " + string(missing)})
	}
}

// dropIdle ends the owners of services that belong to another instance and have
// had no work for a while.
func (s *Server) dropIdle(view ranking, owners map[hemlocktally.ServiceName]*Owner, now time.Time) {
	for name, o := range owners {
		shown := o.board.Load()
		idle := ownerIdleTime
		if shown.askedAt.Equal(o.Started) {
			idle = recallIdle
		}
		if o.mine(name, s.Self, view) || now.Sub(shown.askedAt) < idle {
			continue
		}
		s.mu.Lock()
		delete(s.owners, name)
		s.mu.Unlock()
		o.cancel()
	}
}

// Recall answers another owner.
func (s *Server) Recall(_ context.Context, in *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	now := time.Now()
	asker := hemlocktally.InstanceID(in.Instance)
	view := s.view()
	s.mu.Lock()
	s.recaller.standing.SetView(view, now)
	hash, promised := s.recaller.standing.Answer(asker, in.View, now)
	s.mu.Unlock()
	out := &messenger.RecallResponse{Instance: string(s.Self), Incarnation: s.Incarnation, View: hash, Promised: promised}
	named := map[hemlocktally.ServiceName]bool{}
	for _, states := range in.Services {
		name := hemlocktally.ServiceName(states.Service)
		named[name] = true
		out.Services = append(out.Services, s.exchange(asker, states, now))
	}
	s.Ledger.hear(asker, now)
	serving := view.Serving()
	turns := s.Ledger.turnsOf(asker, func(name hemlocktally.ServiceName) bool {
		owner, _ := OwnerOf(name, serving)
		return named[name] || owner.ID == asker
	})
	for _, used := range turns {
		out.InFlight = append(out.InFlight, &messenger.InFlight{
			Grant: string(used.Grant), Service: string(used.Service), Target: string(used.Target),
			AgeMicroseconds: now.Sub(used.Started).Microseconds(), LeftMicroseconds: used.Deadline.Sub(now).Microseconds(),
		})
	}
	return out, nil
}

// exchange takes in an owner's word on its targets, and returns what was known
// before it to an owner that has no word yet.
func (s *Server) exchange(asker hemlocktally.InstanceID, states *messenger.ServiceStates, now time.Time) *messenger.ServiceStates {
	name := hemlocktally.ServiceName(states.Service)
	out := &messenger.ServiceStates{Service: states.Service}
	if states.AgeMicroseconds < 0 {
		out.Warm = textsOf(s.knownWarm(name, now))
		return out
	}
	s.Ledger.learn(asker, name, targetNames(states.Warm), targetNames(states.Unheard))
	return out
}

// knownWarm returns the targets known as warm here: as the owner before, which
// may be leaving, or by the owner's word.
func (s *Server) knownWarm(service hemlocktally.ServiceName, now time.Time) []hemlocktally.TargetName {
	warm := slices.Clone(s.Ledger.warm(service, now))
	s.mu.Lock()
	owner := s.owners[service]
	s.mu.Unlock()
	if owner == nil {
		return warm
	}
	for _, target := range owner.board.Load().warm {
		if !slices.Contains(warm, target) {
			warm = append(warm, target)
		}
	}
	return warm
}

func targetNames(texts []string) []hemlocktally.TargetName {
	names := make([]hemlocktally.TargetName, 0, len(texts))
	for _, text := range texts {
		names = append(names, hemlocktally.TargetName(text))
	}
	return names
}

func textsOf(names []hemlocktally.TargetName) []string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return texts
}
