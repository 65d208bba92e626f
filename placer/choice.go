package placer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hemlocktally"
)

// Parameters of the choice of a target.
const (
	// maxReportAge is the age up to which a load report is used without a new probe.
	maxReportAge = 40 * time.Millisecond
	// probeWait is how long a choice waits for probe answers.
	probeWait = 8 * time.Millisecond
	// maxProbes is the maximum number of targets probed in one round.
	maxProbes = 3
	// minProbeInterval is the minimum time between two probes of a target.
	minProbeInterval = 20 * time.Millisecond
	// probeRoundInterval is the minimum time from the deadline of a waiter's probe round to
	// its next round.
	probeRoundInterval = 25 * time.Millisecond
	// localTimeShare is the share of the remaining time that a target in the caller's zone may
	// take to be preferred.
	localTimeShare = 0.6
	// crossZonePenalty is added to the cost of a target in another zone.
	crossZonePenalty = 10 * time.Millisecond
	// newConnectionCost is the least cost added when a call needs a new connection, which
	// takes time and part of a slot.
	newConnectionCost = 25 * time.Millisecond
	// newConnectionShare is the share of the remaining time that a new connection costs at
	// least. Time that the call doesn't need is better spent than a connection.
	newConnectionShare = 0.35
	// reachableFactor is the multiple of the typical work that must remain for the objective
	// to count as reachable.
	reachableFactor = 1.1
	// promptFactor is the multiple of the typical work that must remain for a prompt answer to
	// be likely.
	promptFactor    = 1.4
	maxFailureShare = 0.75
	// lightLoadPace is the pace below which a target counts as lightly loaded.
	lightLoadPace = 1.6
	// coldGrantTTL is how long after it was issued a grant on a cold target may be used.
	coldGrantTTL = 100 * time.Millisecond
	// minRetryAfter is the shortest Retry-After, before randomization.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// unavailableRetryAfter is the Retry-After when all targets are leaving or out of service.
	// The list of targets is refreshed twice a second.
	unavailableRetryAfter = 250 * time.Millisecond
)

// candidate is a target that has capacity for a waiter's call.
type candidate struct {
	t        *targetState
	expected time.Duration
	// adjusted is expected, increased for recent failures of the target.
	adjusted time.Duration
	// cost is the ranking key: adjusted plus the costs of another zone and of a new
	// connection.
	cost     time.Duration
	sameZone bool
	fresh    bool
	spared   bool        // spared is set for a limited target, which is used only if no other is prompt.
	left     LeaveReason // left is why the call leaves its caller's zone for the target.
}

// serveQueue grants targets to the waiters in queue order, as far as targets have capacity.
// Waiters that can no longer be answered within their objective come after all others.
//
// In a burst nearly all targets are full, so the ones with capacity are listed once for all
// waiters.
func (s *State) serveQueue(now time.Time) []any {
	if len(s.queue) == 0 {
		return nil
	}
	var commands []any
	free := &freeTargets{state: s, now: now}
	ordered := slices.Clone(s.queue)
	if len(ordered) > 1 && s.sharesFairly() && free.hasAny() {
		s.inFairOrder(ordered, now)
	}
	if len(ordered) > 1 && !s.disabled(hemlocktally.MechanismPromptFirst) && free.hasAny() {
		slices.SortStableFunc(ordered, func(a, b *waiter) int { return cmp.Compare(s.lateness(a, now), s.lateness(b, now)) })
	}
	for _, w := range ordered {
		if !w.polling() || w.refused != nil {
			continue
		}
		answered, replies := s.serveWaiter(w, free, now)
		commands = append(commands, replies...)
		if answered {
			s.removeWaiter(w.msg.Ticket)
		}
	}
	return commands
}

// lateness returns 1 for a waiter that can no longer meet its objective, else 0.
func (s *State) lateness(w *waiter, now time.Time) int {
	if now.Add(s.promptTime(w.msg.Request.Contract)).After(w.msg.Request.Objective) {
		return 1
	}
	return 0
}

// promptTime returns the time that must remain for a prompt answer to be likely.
func (s *State) promptTime(contract hemlocktally.ContractName) time.Duration {
	return time.Duration(promptFactor * float64(s.typicalWork(contract)))
}

// serveWaiter tries to answer one waiter. It reports whether the waiter was answered, and
// returns the commands to execute in either case.
func (s *State) serveWaiter(w *waiter, free *freeTargets, now time.Time) (bool, []any) {
	r := w.msg.Request
	typical := s.typicalWork(r.Contract)
	if !now.Add(typical / 2).Before(r.Deadline) {
		detail := "not enough time is left before the deadline"
		if w.heldBy != "" {
			detail += "; " + w.heldBy
		}
		return w.refuse(notRunError(hemlocktally.ReasonDeadline, detail, s.retryAfter(typical)))
	}
	if now.Before(w.probeDeadline) && w.awaitingProbes(now) {
		return false, nil
	}
	candidates, best, ok := s.chooseByVersion(w, free, now)
	switch {
	case !ok && r.Kind == hemlocktally.AttemptHedge:
		return w.refuse(notRunError(hemlocktally.ReasonShed, "no target is free for a second attempt", 0))
	case !ok:
		if w.heldBy == "" && s.limitsHoldBack(now) {
			w.heldBy = s.limitsDetail(now)
		}
		return false, nil
	}
	if wait, probes := s.awaitLoadReports(w, candidates, best, now); wait {
		return false, probes
	}
	if r.Kind == hemlocktally.AttemptHedge {
		if refused := s.refuseHedge(r, best, now); refused != nil {
			return w.refuse(refused)
		}
	}
	grant := s.issueGrant(w, best, now)
	return true, append([]any{grant}, s.probeBusy(best.t, now)...)
}

// refuse answers the waiter with a refusal.
func (w *waiter) refuse(refused *hemlocktally.RefusedError) (bool, []any) {
	return true, []any{RefuseCmd{Ticket: w.msg.Ticket, Error: refused}}
}

// awaitLoadReports reports whether the choice has to wait for load reports, and returns the
// probes to send. It waits for the first probe round if reports are stale, and for further
// rounds while the best target would miss the objective but another one could still meet it.
func (s *State) awaitLoadReports(w *waiter, candidates []candidate, best candidate, now time.Time) (wait bool, probes []any) {
	r := w.msg.Request
	if hedged := s.hedgedTarget(r); w.probeRounds == 0 && (!best.fresh || (hedged != nil && !hedged.fresh(now))) {
		asked := s.probeTargets(w, candidates, best, hedged, now)
		if len(w.probedTargets) > 0 {
			w.startProbeRound(now)
			return true, asked
		}
	}
	left := r.Objective.Sub(now)
	reachable := left > time.Duration(reachableFactor*float64(s.typicalWork(r.Contract)))
	if w.candidate || best.expected <= left || !reachable || r.Kind == hemlocktally.AttemptHedge {
		return false, nil
	}
	if now.Sub(w.probeDeadline) < probeRoundInterval {
		return true, nil
	}
	w.startProbeRound(now)
	return true, s.probeTargets(w, candidates, best, nil, now)
}

// startProbeRound counts a probe round and sets its deadline.
func (w *waiter) startProbeRound(now time.Time) {
	w.probeRounds++
	w.probeDeadline = now.Add(probeWait)
}

// refuseHedge refuses a hedge that would miss the objective. It also refuses one whose first
// attempt runs on a lightly loaded target, unless little of the retry budget is used.
func (s *State) refuseHedge(r hemlocktally.GrantRequest, best candidate, now time.Time) *hemlocktally.RefusedError {
	if best.expected > r.Objective.Sub(now) {
		return notRunError(hemlocktally.ReasonShed, "no target could answer a second attempt within the objective", 0)
	}
	hedged := s.hedgedTarget(r)
	lightlyLoaded := hedged != nil && hedged.fresh(now) && hedged.pace < lightLoadPace
	if s.spills(now) {
		lightlyLoaded = hedged != nil && hedged.fresh(now) && !s.misses(hedged, r, now)
	}
	if lightlyLoaded && !s.retries.allows(now, s.effectiveBounds(), lightLoadHedgeShare) {
		return notRunError(hemlocktally.ReasonRetryBudget, "the first attempt is still running on a lightly loaded target", 0)
	}
	return nil
}

// hedgedTarget returns the target of the attempt that a hedge duplicates, or nil.
func (s *State) hedgedTarget(r hemlocktally.GrantRequest) *targetState {
	if r.Kind != hemlocktally.AttemptHedge || len(r.Exclude) == 0 {
		return nil
	}
	return s.targets[r.Exclude[len(r.Exclude)-1]]
}

func (s *State) hasCapacity(t *targetState, now time.Time) bool {
	if !t.accepting(now) || t.busy(now) >= s.concurrencyLimit(t, now) || !s.withinLimit(t, now) {
		return false
	}
	return !t.cold(now) || s.allowsColdCall(t, now)
}

// expectedLatency returns how long the contract's work should take on the target.
func (s *State) expectedLatency(t *targetState, contract hemlocktally.ContractName, now time.Time) time.Duration {
	factor := t.expectedPace(s.meanPace, now)
	factor *= s.occupancy.slowdown(t.nextLevel(now), now)
	if t.cold(now) {
		factor *= coldSlowdown
	}
	return time.Duration(float64(s.typicalWork(contract)) * factor)
}

// probeTargets probes the target of the hedged attempt, the best candidate, and then the other
// candidates in order, those of the caller's zone first. Only targets with stale reports are
// probed. The waiter records whose answers it waits for, including targets with a probe
// already in flight.
func (s *State) probeTargets(w *waiter, candidates []candidate, best candidate, hedged *targetState, now time.Time) []any {
	w.probedTargets = nil
	if s.service.ProbePath == "" || s.disabled(hemlocktally.MechanismLoadQuestions) {
		return nil
	}
	var commands []any
	probe := func(t *targetState) {
		if len(w.probedTargets) >= maxProbes || slices.Contains(w.probedTargets, t) || t.avoidedFor(s.Owner, now) > 0 {
			return
		}
		if t.probing {
			w.probedTargets = append(w.probedTargets, t)
			return
		}
		if now.Sub(t.probedAt) < s.probeInterval(t) {
			return
		}
		w.probedTargets = append(w.probedTargets, t)
		commands = append(commands, s.probe(t, now))
	}
	if hedged != nil && !hedged.fresh(now) {
		probe(hedged)
	}
	if !best.fresh {
		probe(best.t)
	}
	for _, sameZone := range []bool{true, false} {
		for _, c := range candidates {
			if c.sameZone == sameZone && !c.fresh {
				probe(c.t)
			}
		}
	}
	return commands
}

// probe returns the command to probe the target.
func (s *State) probe(t *targetState, now time.Time) ProbeCmd {
	t.probing, t.probedAt = true, now
	s.probes++
	return ProbeCmd{Target: t.target, Path: s.service.ProbePath}
}

// probeInterval returns the minimum time between two probes of a target. One that names a
// limit is spared.
func (s *State) probeInterval(t *targetState) time.Duration {
	if t.rate.limit.Named {
		return t.rate.probeInterval()
	}
	if s.Bounds.ProbesPerSecond <= 0 {
		return minProbeInterval
	}
	return max(minProbeInterval, time.Duration(float64(time.Second)/s.Bounds.ProbesPerSecond))
}

func (s *State) issueGrant(w *waiter, c candidate, now time.Time) GrantCmd {
	r := w.msg.Request
	grant := hemlocktally.Grant{
		ID: s.nextID(), Service: r.Service, Target: c.t.target, Owner: s.Owner, Revision: s.revision,
		Deadline: r.Deadline, Waited: now.Sub(w.enqueuedAt), Cold: c.t.cold(now), Alone: s.Alone, Limit: c.t.rate.limit, HeldBy: w.heldBy,
	}
	s.spendLimit(c.t, now)
	if s.sharesFairly() {
		s.fairness.spend(r, w.cost)
	}
	if grant.Cold {
		grant.LeaseEnd = now.Add(coldGrantTTL)
	}
	c.t.recent.add(now)
	rationale := Rationale{
		Expected: c.expected, Pace: c.t.pace, Age: c.t.reportAge(now), Busy: c.t.busy(now), Waiting: len(s.queue) - 1,
		Left: c.left, From: w.msg.Zone,
	}
	s.recordLeave(w.msg.Zone, c.left)
	c.t.grants[grant.ID] = activeGrant{
		contract: r.Contract, from: w.msg.From, deadline: r.Deadline, pace: c.t.expectedPace(s.meanPace, now),
		level: c.t.nextLevel(now), counted: c.t.rate.limit.Named,
		zone: w.msg.Zone, left: c.left, at: now,
		trial: w.candidate, cold: grant.Cold,
	}
	w.candidate = false
	c.t.grantedAt = now
	c.t.takeConnection(w.msg.From)
	if r.Kind != hemlocktally.AttemptFirst {
		s.retries.recordRetry(now)
	}
	return GrantCmd{Ticket: w.msg.Ticket, Grant: grant, Rationale: rationale}
}

// admit refuses a call that can't be served in time given the calls ahead of it in the queue.
func (s *State) admit(msg AcquireMsg, now time.Time) *hemlocktally.RefusedError {
	if len(s.sorted) == 0 {
		return notRunError(hemlocktally.ReasonNoTarget, "no target of the service is known", minRetryAfter)
	}
	available := s.availabilityFor(msg.From, now)
	slots := available.slots
	if s.disabled(hemlocktally.MechanismAdmission) && slots > 0 {
		return nil
	}
	ahead := s.ahead(msg.Request, now)
	if available.onlyLimited() {
		return s.refuseOverLimits(msg.Request, available, ahead, now)
	}
	if slots == 0 {
		if refused := s.refuseUnavailable(msg.Request, available, now); refused != nil {
			return refused
		}
	}
	typical := s.typicalWork(msg.Request.Contract)
	work := typical.Seconds() * s.meanPace
	// A limit is worth as many slots as its calls keep busy on average.
	capacity := max(1, float64(slots)+available.limitedRate*work)
	wait := secondsOrForever(float64(ahead) * work / capacity)
	s.servedPerSecond = capacity / work
	inTime := msg.Request.Objective.Add(-s.promptTime(msg.Request.Contract))
	if now.Add(wait+typical).After(msg.Request.Deadline) || (wait > 0 && now.Add(wait).After(inTime)) {
		detail := fmt.Sprintf("%d calls ahead and %d slots: a wait of %s and work of %s would exceed the objective (%s left) or the deadline",
			ahead, slots, wait.Round(time.Millisecond), typical.Round(time.Millisecond), msg.Request.Objective.Sub(now).Round(time.Millisecond))
		if s.countsLimits() {
			detail += "; " + s.limitsDetail(now)
		}
		return notRunError(hemlocktally.ReasonShed, detail, s.spreadRetry(msg.Request, wait))
	}
	return nil
}

// refuseUnavailable refuses a call while no target accepts calls, unless a target will be
// available again early enough to meet the objective.
func (s *State) refuseUnavailable(request hemlocktally.GrantRequest, available availability, now time.Time) *hemlocktally.RefusedError {
	spread := 1 + avoidJitter*rand.Float64()
	switch {
	case available.cold:
		// Cold targets still take a few calls.
		return nil
	case available.retryIn == 0:
		return notRunError(hemlocktally.ReasonNoTarget, "all targets are leaving or out of service", s.retryAfter(unavailableRetryAfter))
	case available.avoided:
		detail := fmt.Sprintf("all targets told this instance to stay away for %s", available.retryIn.Round(time.Millisecond))
		return notRunError(hemlocktally.ReasonShed, detail, time.Duration(spread*float64(available.retryIn)))
	case now.Add(available.retryIn + s.typicalWork(request.Contract)).Before(request.Objective):
		return nil
	}
	detail := fmt.Sprintf("no target answers; the next one is retried in %s", available.retryIn.Round(time.Millisecond))
	return notRunError(hemlocktally.ReasonNoTarget, detail, time.Duration(spread*float64(available.retryIn)))
}

// availability is the capacity that the targets of the service have for one instance.
type availability struct {
	// slots is the sum of the concurrency limits of the warm targets that accept its calls
	// now.
	slots int
	// retryIn is the time until the first of the other targets may accept calls again; zero if
	// none will.
	retryIn time.Duration
	// avoided is set when that target is unavailable because it told the instance to stay
	// away.
	avoided bool
	// cold is set when a cold target accepts calls.
	cold bool
	// limited is the number of warm targets that accept its calls within a limit; limitedRate
	// is how many calls a second they get together, and limitedIn the time until the first of
	// their limits allows a call.
	limited     int
	limitedRate float64
	limitedIn   time.Duration
}

// onlyLimited reports whether limited targets are the only ones that accept calls now.
func (a availability) onlyLimited() bool { return a.limited > 0 && a.slots == 0 && !a.cold }

func (s *State) availabilityFor(from hemlocktally.InstanceID, now time.Time) availability {
	var available availability
	for _, t := range s.sorted {
		if !t.inService() || t.candidate {
			continue
		}
		backoff, avoided := max(0, t.backoffUntil.Sub(now)), t.avoidedFor(from, now)
		retryIn := max(backoff, avoided)
		switch {
		case retryIn == 0 && t.cold(now):
			available.cold = available.cold || !s.Alone
		case retryIn == 0 && t.rate.limit.Named:
			s.addLimited(&available, t, now)
		case retryIn == 0:
			available.slots += s.concurrencyLimit(t, now)
		case available.retryIn == 0 || retryIn < available.retryIn:
			available.retryIn, available.avoided = retryIn, avoided >= backoff
		}
	}
	return available
}

// addLimited adds a target that accepts calls within a limit.
func (s *State) addLimited(available *availability, t *targetState, now time.Time) {
	wait := s.limitWait(t, now)
	if available.limited == 0 || wait < available.limitedIn {
		available.limitedIn = wait
	}
	available.limited++
	available.limitedRate += s.limitRate(t)
}

// retryAfter returns the Retry-After for an expected wait. It is randomized so that callers
// don't all come back at once.
func (s *State) retryAfter(wait time.Duration) time.Duration {
	spread := 0.75 + 0.5*rand.Float64()
	if s.disabled(hemlocktally.MechanismSpreadReturn) {
		spread = 1
	}
	return time.Duration(float64(min(maxRetryAfter, max(minRetryAfter, wait))) * spread)
}
