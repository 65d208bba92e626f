package allocator

import (
	"context"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Intervals and time limits of recalls. Members are asked more often while a
// target is cold, because the promises expire after promiseDuration.
const (
	normalRecallInterval = time.Second
	urgentRecallInterval = 150 * time.Millisecond
	urgentDuration       = 3 * time.Second
	// demandDuration is how long after a request for a service with cold targets promises are renewed.
	demandDuration = 5 * time.Second
	recallTimeout  = 400 * time.Millisecond
	// newOwnerDuration is how long a new owner asks members for warm targets before it reports its own.
	newOwnerDuration = 300 * time.Millisecond
	// idleOwnerDuration is how long an owner of another instance's service is kept after its last request.
	idleOwnerDuration = 30 * time.Second
)

// reconciler holds what the server needs to ask the members of the view for
// their grants and promises. Its fields are guarded by the server's lock.
type reconciler struct {
	exclusivity ExclusivityTracker
	lastAskedAt time.Time
	urgentUntil time.Time
	exclusive   bool
	// toldVersions holds the summary versions that members have confirmed.
	toldVersions map[hemlocktally.InstanceID]map[hemlocktally.ServiceName]uint64
	beingAsked   map[hemlocktally.InstanceID]bool
}

// reconcile asks all members if a recall is due, sets the owners' exclusivity
// and stops idle owners.
func (s *Server) reconcile(ctx context.Context, now time.Time) {
	view := newOwnerView(s.currentView())
	owners := s.snapshotOwners()
	urgent, newOwner := s.demand(view, owners, now)
	lease, leaseEnd := s.ownLease()
	s.mu.Lock()
	r := &s.reconciler
	changed := view.viewHash != r.exclusivity.ViewHash()
	r.exclusivity.SetView(view.View, now)
	r.exclusivity.SetLease(lease, leaseEnd, now)
	if urgent {
		r.urgentUntil = now.Add(urgentDuration)
	}
	interval := normalRecallInterval
	if now.Before(r.urgentUntil) {
		interval = urgentRecallInterval
	}
	due := len(owners) > 0 && (changed || newOwner || now.Sub(r.lastAskedAt) >= interval)
	if due {
		r.lastAskedAt = now
	}
	s.mu.Unlock()
	if due {
		s.askMembers(ctx, view, owners, now)
	}
	s.publishExclusivity(view, owners, now)
	s.stopIdleOwners(view, owners, now)
}

// ownLease returns the ID and end of the instance's lease, or zero values if it
// has none.
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

// demand reports whether any service that this instance owns needs exclusivity
// and had a request within demandDuration, and whether an owner has just started.
// Cold targets without requests can wait.
func (s *Server) demand(view ownerView, owners map[hemlocktally.ServiceName]*Owner, now time.Time) (urgent, newOwner bool) {
	for name, o := range owners {
		if o.ownsService(name, s.Self, view) {
			published := o.summary.Load()
			urgent = urgent || published.needsExclusivity && now.Sub(published.lastRequestAt) < demandDuration
		}
		newOwner = newOwner || now.Sub(o.Started) < urgentRecallInterval
	}
	return urgent, newOwner
}

func (s *Server) askMembers(ctx context.Context, view ownerView, owners map[hemlocktally.ServiceName]*Owner, now time.Time) {
	for _, member := range view.Members {
		if member.ID == s.Self {
			s.deliverReports(ctx, owners, s.Self, now, s.Grants.grantsFor(s.Self, everyService), s.localStates(owners, now))
			continue
		}
		if member.State == hemlocktally.InstanceGone || s.Peers == nil || !s.beginAsking(member.ID) {
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

// localStates returns the warm targets that earlier owners reported to this
// instance. A new owner uses them at once instead of waiting for other members
// to report the same.
func (s *Server) localStates(owners map[hemlocktally.ServiceName]*Owner, now time.Time) []*messenger.ServiceStates {
	var states []*messenger.ServiceStates
	for name := range owners {
		if warm := s.Grants.warmTargets(name, now); len(warm) > 0 {
			states = append(states, &messenger.ServiceStates{Service: string(name), Warm: targetStrings(warm)})
		}
	}
	return states
}

func everyService(hemlocktally.ServiceName) bool { return true }

// beginAsking marks a member as being asked. It returns false if it already is.
func (s *Server) beginAsking(member hemlocktally.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reconciler.beingAsked == nil {
		s.reconciler.beingAsked = map[hemlocktally.InstanceID]bool{}
	}
	if s.reconciler.beingAsked[member] {
		return false
	}
	s.reconciler.beingAsked[member] = true
	return true
}

func (s *Server) askMember(ctx context.Context, member hemlocktally.Instance, view ownerView, owners map[hemlocktally.ServiceName]*Owner) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	sent := time.Now()
	request, versions := s.buildRecallRequest(member.ID, view, owners, sent)
	out, err := s.Peers.client(member).Recall(ctx, request)
	now := time.Now()
	s.mu.Lock()
	delete(s.reconciler.beingAsked, member.ID)
	if err != nil {
		s.mu.Unlock()
		return
	}
	s.reconciler.exclusivity.RecordAnswer(member.ID, out.View, out.Promised, sent, now)
	s.recordTold(member.ID, versions)
	waiting := !s.reconciler.exclusive
	s.mu.Unlock()
	if waiting {
		s.environment.wakeServer()
	}
	grants := make([]InFlightGrant, 0, len(out.InFlight))
	for _, reported := range out.InFlight {
		grants = append(grants, InFlightGrant{
			Grant: hemlocktally.GrantID(reported.Grant), Service: hemlocktally.ServiceName(reported.Service),
			Target:  hemlocktally.TargetName(reported.Target),
			Started: sent.Add(-messenger.Duration(reported.AgeMicroseconds)),
			// The remaining time counts from when the response was sent. Counting from
			// now is later, and so never ends a grant early.
			Deadline: now.Add(messenger.Duration(reported.LeftMicroseconds)),
		})
	}
	s.deliverReports(ctx, owners, member.ID, sent, grants, out.Services)
}

// recordTold records the summary versions that a member has been sent. The
// caller holds the lock.
func (s *Server) recordTold(member hemlocktally.InstanceID, versions map[hemlocktally.ServiceName]uint64) {
	if s.reconciler.toldVersions == nil {
		s.reconciler.toldVersions = map[hemlocktally.InstanceID]map[hemlocktally.ServiceName]uint64{}
	}
	versionsByService := s.reconciler.toldVersions[member]
	if versionsByService == nil {
		versionsByService = map[hemlocktally.ServiceName]uint64{}
		s.reconciler.toldVersions[member] = versionsByService
	}
	for name, version := range versions {
		versionsByService[name] = version
	}
}

// deliverReports sends each owner the grants and warm targets that one member
// reported for its service.
func (s *Server) deliverReports(ctx context.Context, owners map[hemlocktally.ServiceName]*Owner, member hemlocktally.InstanceID, requestedAt time.Time, grants []InFlightGrant, states []*messenger.ServiceStates) {
	byService := map[hemlocktally.ServiceName]*ReconcileMsg{}
	for name := range owners {
		byService[name] = &ReconcileMsg{Requester: member, RequestedAt: requestedAt}
	}
	for _, reported := range grants {
		if msg := byService[reported.Service]; msg != nil {
			msg.Grants = append(msg.Grants, reported)
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

// buildRecallRequest returns the request for a member, and the summary versions
// that it contains. The request lists the services of new owners, those whose
// targets changed since the member was last told, and those that another
// instance owns.
func (s *Server) buildRecallRequest(member hemlocktally.InstanceID, view ownerView, owners map[hemlocktally.ServiceName]*Owner, now time.Time) (*messenger.RecallRequest, map[hemlocktally.ServiceName]uint64) {
	request := &messenger.RecallRequest{Instance: string(s.Self), Incarnation: s.Incarnation, View: view.viewHash}
	versions := map[hemlocktally.ServiceName]uint64{}
	for name, o := range owners {
		published := o.summary.Load()
		s.mu.Lock()
		toldVersion, wasTold := s.reconciler.toldVersions[member][name]
		s.mu.Unlock()
		newOwner := now.Sub(o.Started) < newOwnerDuration
		if !newOwner && wasTold && toldVersion == published.version && o.ownsService(name, s.Self, view) {
			continue
		}
		states := &messenger.ServiceStates{Service: string(name)}
		if newOwner {
			states.AgeMicroseconds = -1
		} else {
			versions[name] = published.version
		}
		states.Warm, states.Unheard = targetStrings(published.warm), targetStrings(published.unobserved)
		request.Services = append(request.Services, states)
	}
	return request, versions
}

// publishExclusivity sets for each owner the time until which it is the only
// one. It logs when the instance gains exclusivity, and when it loses it while
// recalls are urgent.
func (s *Server) publishExclusivity(view ownerView, owners map[hemlocktally.ServiceName]*Owner, now time.Time) {
	s.mu.Lock()
	until := s.reconciler.exclusivity.Until(now)
	missing := s.reconciler.exclusivity.Unconfirmed(now)
	wasExclusive := s.reconciler.exclusive
	s.reconciler.exclusive = !until.IsZero()
	urgent := now.Before(s.reconciler.urgentUntil)
	s.mu.Unlock()
	for name, o := range owners {
		exclusivity := ExclusivityMsg{}
		if o.ownsService(name, s.Self, view) {
			exclusivity = ExclusivityMsg{Until: until, Owner: true}
		}
		o.exclusivity.Store(&exclusivity)
		if !wasExclusive && !exclusivity.Until.IsZero() {
			o.Send(context.Background(), TickMsg{})
		}
	}
	switch {
	case !wasExclusive && !until.IsZero():
		s.Log.Log(logger.EventColdTargetsServed, logger.Fields{"Instance": s.Self})
	case wasExclusive && until.IsZero() && urgent:
		s.Log.Log(logger.EventColdTargetsWithheld, logger.Fields{"Instance": s.Self, "Detail": "no confirmation from " + string(missing)})
	}
}

// stopIdleOwners stops the owners of services that belong to another instance
// and had no request for idleOwnerDuration, or for normalRecallInterval if they
// never had one.
func (s *Server) stopIdleOwners(view ownerView, owners map[hemlocktally.ServiceName]*Owner, now time.Time) {
	for name, o := range owners {
		published := o.summary.Load()
		idleLimit := idleOwnerDuration
		if published.lastRequestAt.Equal(o.Started) {
			idleLimit = normalRecallInterval
		}
		if o.ownsService(name, s.Self, view) || now.Sub(published.lastRequestAt) < idleLimit {
			continue
		}
		s.mu.Lock()
		delete(s.owners, name)
		s.mu.Unlock()
		o.cancel()
	}
}

// Recall answers another owner with this instance's promise for the owner's view
// and its grants in flight, and exchanges the states of targets. The error is
// always nil.
func (s *Server) Recall(_ context.Context, in *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	now := time.Now()
	asker := hemlocktally.InstanceID(in.Instance)
	view := s.currentView()
	s.mu.Lock()
	s.reconciler.exclusivity.SetView(view, now)
	hash, promised := s.reconciler.exclusivity.Promise(asker, in.View, now)
	s.mu.Unlock()
	out := &messenger.RecallResponse{Instance: string(s.Self), Incarnation: s.Incarnation, View: hash, Promised: promised}
	named := map[hemlocktally.ServiceName]bool{}
	for _, states := range in.Services {
		name := hemlocktally.ServiceName(states.Service)
		named[name] = true
		out.Services = append(out.Services, s.exchange(asker, states, now))
	}
	s.Grants.recordContact(asker, now)
	serving := view.Serving()
	grants := s.Grants.grantsFor(asker, func(name hemlocktally.ServiceName) bool {
		owner, _ := OwnerOf(name, serving)
		return named[name] || owner.ID == asker
	})
	for _, active := range grants {
		out.InFlight = append(out.InFlight, &messenger.InFlight{
			Grant: string(active.Grant), Service: string(active.Service), Target: string(active.Target),
			AgeMicroseconds: now.Sub(active.Started).Microseconds(), LeftMicroseconds: active.Deadline.Sub(now).Microseconds(),
		})
	}
	return out, nil
}

// exchange stores an owner's report on its targets. To a new owner, marked by a
// negative age, it returns the warm targets known here instead.
func (s *Server) exchange(asker hemlocktally.InstanceID, states *messenger.ServiceStates, now time.Time) *messenger.ServiceStates {
	name := hemlocktally.ServiceName(states.Service)
	out := &messenger.ServiceStates{Service: states.Service}
	if states.AgeMicroseconds < 0 {
		out.Warm = targetStrings(s.knownWarm(name, now))
		return out
	}
	s.Grants.recordWarm(asker, name, targetNames(states.Warm), targetNames(states.Unheard))
	return out
}

// knownWarm returns the targets known as warm here: those that an owner reported,
// and those of an owner of the service on this instance, which may be leaving.
func (s *Server) knownWarm(service hemlocktally.ServiceName, now time.Time) []hemlocktally.TargetName {
	warm := slices.Clone(s.Grants.warmTargets(service, now))
	s.mu.Lock()
	owner := s.owners[service]
	s.mu.Unlock()
	if owner == nil {
		return warm
	}
	for _, target := range owner.summary.Load().warm {
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

func targetStrings(names []hemlocktally.TargetName) []string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return texts
}
