package placer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/promoter"
)

// State makes the placement decisions for one service. The zero value has no targets. Only
// Update changes it. State has no lock and reads no clock, so the caller serializes access and
// passes the time.
type State struct {
	Owner  hemlocktally.InstanceID
	Epoch  string // Epoch makes grant IDs of this run of the owner differ from those of earlier runs.
	Alone  bool   // Alone is set when the state decides for a single instance without the owner.
	Bounds Bounds

	service       hemlocktally.Service
	revision      hemlocktally.Revision
	targets       map[hemlocktally.TargetName]*targetState
	sorted        []*targetState
	byZone        map[hemlocktally.ZoneName][]*targetState // byZone holds the targets of each zone, sorted by name.
	queue         []*waiter
	retries       retryWindow
	workEstimates map[hemlocktally.ContractName]*estimate
	meanPace      float64   // meanPace is the moving mean of the reported paces.
	activeSince   time.Time // activeSince is since when requests have come without a pause of coldWindow.
	requestedAt   time.Time // requestedAt is when the last request came.
	granted       uint64
	probes        uint64
	expiredAt     time.Time
	examined      uint64 // examined counts the targets that choices have looked at.
	occupancy     occupancy
	// instances is the estimated number of instances in the fleet.
	instances     int
	ownerRank     Rank
	limited       []*targetState          // limited holds the targets that name a limit, sorted by name.
	limitChanges  []any                   // limitChanges holds the LimitCmds that Update has not returned yet.
	limitVersion  uint32                  // limitVersion counts the changes of limits.
	limitRefusals uint64                  // limitRefusals counts the calls that limits held back.
	zoneNames     []hemlocktally.ZoneName // zoneNames holds the zones with targets, sorted.
	spill         spillover
	fairness      fairness
	// servedPerSecond is how many calls the targets serve, by the last admission.
	servedPerSecond float64
	displaced       uint64 // displaced counts the waiting calls that were refused for calls of other customers.
	rollout         rolloutState
}

// waiter is a request in the queue.
type waiter struct {
	msg           AcquireMsg
	enqueuedAt    time.Time
	probeDeadline time.Time      // probeDeadline is when the waiter stops waiting for probe answers.
	probeRounds   int            // probeRounds counts the probe rounds made for the waiter.
	probedTargets []*targetState // probedTargets holds the targets of the last probe round.
	// holding is set while the waiter waits for a target of its own zone although another zone
	// has a free one.
	holding bool
	flow    *flow
	cost    time.Duration // cost is the expected work of the call.
	tag     float64       // tag is the virtual time from which its customer's share serves the call.
	// refused is the refusal of a waiter that is answered when its client asks again.
	refused   *hemlocktally.RefusedError
	heldBy    string // heldBy describes the limits that held the waiter back; empty if none did.
	candidate bool   // candidate is set if the call goes to the version that a rollout tests.
}

const (
	// defaultWork is the expected work of a contract that has no samples yet.
	defaultWork = 100 * time.Millisecond
	workWeight  = 0.05
	paceWeight  = 0.02
	// waiterGrace is how long after its reply time a waiter stays queued if its client doesn't
	// ask again.
	waiterGrace = 80 * time.Millisecond
	grantGrace  = 100 * time.Millisecond
	// expireInterval is the minimum time between two scans for expired grants. A busy owner
	// handles thousands of messages per second, so it does not scan on each.
	expireInterval = 5 * time.Millisecond
	outlierFactor  = 4
	// limitTTL is how long a target's concurrency limit is cached.
	limitTTL = 20 * time.Millisecond
	// referenceSamples is the number of samples after which an estimate's reference is fixed.
	referenceSamples = 30
	hedgeShare       = 0.5
	// lightLoadHedgeShare is the share of the retry budget for hedges whose first attempt runs
	// on a lightly loaded target.
	lightLoadHedgeShare = 0.25
	// minAloneInstances is the least number of instances assumed to decide alone at the same
	// time.
	minAloneInstances = 16
)

// estimate is a moving mean of work times. A single sample is capped at outlierFactor times
// the mean.
type estimate struct {
	seconds float64
	samples int
	// reference is the mean of the first referenceSamples samples. Work of different contracts
	// is compared as a multiple of it. It is never updated, so that the comparison does not
	// drift.
	reference float64
}

func (e *estimate) add(sample float64) {
	e.samples++
	weight := max(workWeight, 1/float64(e.samples))
	if e.samples > 1 {
		sample = min(sample, outlierFactor*e.seconds)
	}
	e.seconds += weight * (sample - e.seconds)
}

// Update applies one message at the given time and returns the commands to execute.
func (s *State) Update(msg any, now time.Time) []any {
	if s.targets == nil {
		s.targets = map[hemlocktally.TargetName]*targetState{}
		s.workEstimates = map[hemlocktally.ContractName]*estimate{}
		s.meanPace = defaultPace
	}
	var commands []any
	switch msg := msg.(type) {
	case TargetsMsg:
		s.configure(msg, now)
	case AcquireMsg:
		s.recordRequest(now)
		s.learnLimits(msg.Limits, msg.From, now)
		commands = append(s.enqueue(msg, now), s.probeLimits(now)...)
	case WithdrawMsg:
		s.removeWaiter(msg.Ticket)
	case ReleaseMsg:
		s.release(msg.Result, now)
	case LoadReportMsg:
		s.updateLoad(msg, now)
	case RankMsg:
		s.ownerRank = msg.Rank
		s.updateRollout(msg.Rollout, now)
	case RolloutMsg:
		s.updateRollout(msg.Msg, now)
	case TickMsg:
	}
	s.expire(now)
	s.updateSpillover(now)
	s.tickRollout(now)
	commands = append(commands, s.serveQueue(now)...)
	commands = append(append(append(commands, s.limitChanges...), s.spill.changes...), s.replyPending(now)...)
	commands = append(commands, s.takeRolloutCommands()...)
	s.limitChanges, s.spill.changes = nil, nil
	return commands
}

// Waiting returns the number of queued calls.
func (s *State) Waiting() int { return len(s.queue) }

func (s *State) configure(msg TargetsMsg, now time.Time) {
	s.service, s.revision, s.instances = msg.Service, msg.Revision, msg.Instances
	s.setCustomers(msg.Customers)
	present := make(map[hemlocktally.TargetName]bool, len(msg.Targets))
	for _, registration := range msg.Targets {
		present[registration.Target.Name] = true
		t := s.targets[registration.Target.Name]
		if t == nil || t.target.Started != registration.Target.Started || t.target.Address != registration.Target.Address {
			t = &targetState{grants: map[hemlocktally.GrantID]activeGrant{}, connections: map[hemlocktally.InstanceID]idleConnections{}, joined: len(s.sorted) > 0}
			s.targets[registration.Target.Name] = t
		}
		if registration.ColdFor > 0 && t.registration.ColdFor != registration.ColdFor {
			t.coldUntil = laterOf(t.coldUntil, now.Add(registration.ColdFor))
		}
		t.registration, t.target = registration, registration.Target
		if t.target.MaxConnections == 0 {
			t.target.MaxConnections = msg.Service.MaxConnections
		}
		t.zoneOut = msg.Out[registration.Target.Zone]
	}
	maps.DeleteFunc(s.targets, func(name hemlocktally.TargetName, _ *targetState) bool { return !present[name] })
	s.sorted = slices.SortedFunc(maps.Values(s.targets), func(a, b *targetState) int { return cmp.Compare(a.target.Name, b.target.Name) })
	s.byZone = map[hemlocktally.ZoneName][]*targetState{}
	for index, t := range s.sorted {
		t.index = index
		s.byZone[t.target.Zone] = append(s.byZone[t.target.Zone], t)
	}
	s.zoneNames = slices.Sorted(maps.Keys(s.byZone))
	s.countLimited()
	s.configureSpillover(msg, now)
	s.updateRollout(promoter.FleetMsg{Rollout: msg.Rollout, Targets: msg.Targets}, now)
	s.applyRoles(true)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// enqueue adds a request to the queue, or updates the waiter that already has its ticket. It
// refuses requests that exceed the retry budget or can't be served in time.
func (s *State) enqueue(msg AcquireMsg, now time.Time) []any {
	for _, w := range s.queue {
		if w.msg.Ticket == msg.Ticket {
			w.msg = msg
			if w.refused != nil {
				s.removeWaiter(msg.Ticket)
				return []any{RefuseCmd{Ticket: msg.Ticket, Error: w.refused}}
			}
			return s.reconsider(w, now)
		}
	}
	s.recordDemand(msg, now)
	switch {
	case msg.Request.Kind == hemlocktally.AttemptHedge && s.disabled(hemlocktally.MechanismSecondAttempts):
		return []any{RefuseCmd{Ticket: msg.Ticket, Error: notRunError(hemlocktally.ReasonShed, "second attempts are disabled", 0)}}
	case msg.Request.Kind == hemlocktally.AttemptFirst:
		s.retries.recordCall(now, s.Bounds.RetryWindow)
	case !s.retries.allows(now, s.effectiveBounds(), s.attemptShare(msg.Request.Kind, now)):
		return []any{RefuseCmd{Ticket: msg.Ticket, Error: notRunError(hemlocktally.ReasonRetryBudget, "the retry budget is used up", 0)}}
	}
	if refused := s.admit(msg, now); refused != nil {
		return []any{RefuseCmd{Ticket: msg.Ticket, Error: refused}}
	}
	w := &waiter{msg: msg, enqueuedAt: now, cost: s.typicalWork(msg.Request.Contract)}
	s.assign(w, now)
	compare := compareWaiters
	if s.disabled(hemlocktally.MechanismPriorityOrder) {
		compare = func(a, b *waiter) int { return a.enqueuedAt.Compare(b.enqueuedAt) }
	}
	i, _ := slices.BinarySearchFunc(s.queue, w, compare)
	s.queue = slices.Insert(s.queue, i, w)
	return s.displace(now)
}

// reconsider refuses a waiting call that can no longer be served in time because targets have
// named limits since it was admitted.
func (s *State) reconsider(w *waiter, now time.Time) []any {
	if len(s.limited) == 0 {
		return nil
	}
	available := s.availabilityFor(w.msg.From, now)
	if !available.onlyLimited() {
		return nil
	}
	refused := s.refuseOverLimits(w.msg.Request, available, slices.Index(s.queue, w), now)
	if refused == nil {
		return nil
	}
	s.removeWaiter(w.msg.Ticket)
	return []any{RefuseCmd{Ticket: w.msg.Ticket, Error: refused}}
}

// retryShare is the share of the retry budget that a kind of attempt may use. Hedges leave
// room for retries after failures.
func retryShare(kind hemlocktally.AttemptKind) float64 {
	if kind == hemlocktally.AttemptHedge {
		return hedgeShare
	}
	return 1
}

// attemptShare is retryShare, or the larger share for hedges where the zones are weighed.
func (s *State) attemptShare(kind hemlocktally.AttemptKind, now time.Time) float64 {
	if kind == hemlocktally.AttemptHedge && s.spills(now) {
		return spilloverHedgeShare
	}
	return retryShare(kind)
}

// effectiveBounds returns the bounds of this state. One that decides alone, or that is not the
// first owner, is one of several that count at the same time, so it gets only its share of the
// retry slack.
func (s *State) effectiveBounds() Bounds {
	bounds := s.Bounds
	switch {
	case s.Alone:
		bounds.RetrySlack /= float64(max(minAloneInstances, s.instances))
	case s.ownerRank.Further:
		bounds.RetrySlack *= furtherOwnersSlackShare / float64(max(1, s.ownerRank.Others))
	}
	return bounds
}

// compareWaiters orders waiters by descending priority, then by objective.
func compareWaiters(a, b *waiter) int {
	if c := cmp.Compare(b.msg.Request.Priority, a.msg.Request.Priority); c != 0 {
		return c
	}
	return a.msg.Request.Objective.Compare(b.msg.Request.Objective)
}

func (s *State) removeWaiter(ticket string) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool {
		if w.msg.Ticket != ticket {
			return false
		}
		s.unassign(w)
		return true
	})
}

// release ends a grant and updates the estimates with its result.
func (s *State) release(result hemlocktally.GrantResult, now time.Time) {
	t := s.targets[result.Grant.Target.Name]
	if t == nil {
		return
	}
	active, ok := t.grants[result.Grant.ID]
	delete(t.grants, result.Grant.ID)
	if active.counted && result.Outcome == hemlocktally.AttemptUnused {
		s.refundLimit(t)
	}
	if result.Limit != nil && (ok || t.target.Started == result.Grant.Target.Started) {
		s.learnLimit(t, *result.Limit, active.from, now)
	}
	t.leaving = t.leaving || result.ReportedDraining
	if ok && result.RetryAfter > 0 {
		t.avoid(active.from, result.RetryAfter, now)
	}
	if result.ColdFor > 0 {
		t.coldUntil = now.Add(result.ColdFor)
	}
	t.recordResult(result, now)
	s.recordBytes(active, result.ResponseBytes)
	if ok {
		s.learn(t, active, result, now)
	}
}

// learn updates the estimates with the result of a grant.
func (s *State) learn(t *targetState, active activeGrant, result hemlocktally.GrantResult, now time.Time) {
	if result.Outcome == hemlocktally.AttemptDone {
		t.addIdleConnection(active.from, now)
		if active.pace > 0 && !t.cold(now) && !active.trial {
			s.recordWork(active, result.Latency.Seconds()/active.pace, now)
		}
	}
	s.recordRollout(t, active, result, now)
}

// recordWork updates the estimates with a call's work time, which is its latency divided by
// the target's expected pace.
func (s *State) recordWork(active activeGrant, seconds float64, now time.Time) {
	e := s.estimate(active.contract)
	if e.reference > 0 {
		s.occupancy.add(active.level, seconds/e.reference, now)
	}
	e.add(seconds / s.occupancy.slowdown(active.level, now))
	if e.reference == 0 && e.samples >= referenceSamples {
		e.reference = e.seconds
	}
}

// disabled reports whether a mechanism is turned off.
func (s *State) disabled(mechanism hemlocktally.Mechanism) bool {
	return s.Bounds.Disabled.Has(mechanism)
}

// concurrencyLimit returns how many concurrent calls the target gets. It is below the slot
// count where fewer calls give nearly the same throughput.
func (s *State) concurrencyLimit(t *targetState, now time.Time) int {
	if s.disabled(hemlocktally.MechanismWidth) || t.candidate {
		return t.target.SlotCount()
	}
	if now.Sub(t.limitAt) >= limitTTL {
		t.limit, t.limitAt = s.occupancy.concurrencyLimit(t.index, t.target.SlotCount(), now), now
	}
	return t.limit
}

func (s *State) estimate(contract hemlocktally.ContractName) *estimate {
	e := s.workEstimates[contract]
	if e == nil {
		e = &estimate{}
		s.workEstimates[contract] = e
	}
	return e
}

// typicalWork returns how long a contract's work takes on a target of pace 1.
func (s *State) typicalWork(contract hemlocktally.ContractName) time.Duration {
	if e := s.workEstimates[contract]; e != nil && e.samples > 0 {
		return time.Duration(e.seconds * float64(time.Second))
	}
	return defaultWork
}

// updateLoad applies a target's answer to a load probe.
func (s *State) updateLoad(msg LoadReportMsg, now time.Time) {
	t := s.targets[msg.Target]
	if t == nil {
		return
	}
	t.probing, t.recent.sinceProbe = false, 0
	switch {
	case msg.Failed:
		t.backOff(now)
		return
	case msg.Answer.Misdirected:
		t.backoffUntil = now.Add(misdirectedBackoff)
		return
	case msg.Answer.Leaving:
		t.leaving = true
		return
	case msg.Answer.Draining:
		t.suspect = true
		t.backoffUntil = now.Add(minBackoff)
		return
	}
	t.recordReport(msg.Answer, now)
	if msg.Answer.Limit != nil {
		s.learnProbedLimit(t, *msg.Answer.Limit, now)
	}
	if load := msg.Answer.Load; load != nil {
		t.otherCalls, t.otherCallsAt = max(0, load.Running+load.Waiting-len(t.grants)), now
		if !t.candidate && !t.barred {
			// A slow version on trial must not make calls on the version in use look slow.
			s.meanPace += paceWeight * (load.Pace - s.meanPace)
		}
	}
}

// expire removes grants whose deadline has passed, and waiters whose client did not ask again.
func (s *State) expire(now time.Time) {
	if now.Sub(s.expiredAt) >= expireInterval {
		s.expiredAt = now
		for _, t := range s.sorted {
			maps.DeleteFunc(t.grants, func(_ hemlocktally.GrantID, active activeGrant) bool {
				return now.After(active.deadline.Add(grantGrace))
			})
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool {
		if !now.After(w.msg.ReplyBy.Add(waiterGrace)) {
			return false
		}
		s.unassign(w)
		return true
	})
}

// replyPending tells the clients of waiters whose reply time has come to ask again.
func (s *State) replyPending(now time.Time) []any {
	var commands []any
	for _, w := range s.queue {
		if w.polling() && !now.Before(w.msg.ReplyBy) {
			commands = append(commands, PendingCmd{Ticket: w.msg.Ticket})
			w.msg.From = ""
		}
	}
	return commands
}

// polling reports whether a client is currently waiting for a reply to the waiter.
func (w *waiter) polling() bool { return w.msg.From != "" }

func (s *State) nextID() hemlocktally.GrantID {
	s.granted++
	return hemlocktally.GrantID(fmt.Sprintf("%s/%s/%d", s.Owner, s.Epoch, s.granted))
}

func notRunError(reason hemlocktally.Reason, detail string, retryAfter time.Duration) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
