package promoter

import (
	"time"

	"hemlocktally"
)

// remaining returns the time until the rollout must be completed.
func (s *State) remaining(now time.Time) time.Duration {
	return s.record.Duration - now.Sub(s.startedAt)
}

// rampFrom returns the remaining time at which the ramp begins.
func (s *State) rampFrom() time.Duration {
	return min(rampTime, time.Duration(maxRampShare*float64(s.record.Duration)))
}

// budget returns how many calls a version may have got that is not known to be good.
func (s *State) budget() float64 {
	return max(0, s.Bounds.Share*s.calls+s.Bounds.Slack-reserve)
}

// spendable returns how many calls the new version may have got by now. A decider may use only what
// its last confirmed record allows, so that a successor, or a second decider, never uses the same
// part of the budget again.
func (s *State) spendable(now time.Time) float64 {
	limit := s.budget()
	ceiling := s.ceiling
	if s.storeAway(now) {
		ceiling += outageShare * max(0, limit-ceiling)
	}
	return min(limit, ceiling)
}

// storeAway reports whether writes have failed for so long that the decider goes on without them.
func (s *State) storeAway(now time.Time) bool {
	return !s.failingSince.IsZero() && now.Sub(s.failingSince) > outageTime && s.heard.Record != nil
}

// canaryLimit returns how many calls the canary phase may have sent by now. Its part of the slack
// becomes available over the phase.
func (s *State) canaryLimit(now time.Time) float64 {
	phase := s.record.Duration - s.rampFrom()
	passed := 1.0
	if phase > 0 {
		passed = min(1, float64(now.Sub(s.startedAt))/float64(phase))
	}
	share := canaryShare
	if s.remaining(now) < s.rampFrom() {
		share = 1 // More results have to show whether the share may be raised.
	}
	return share * (s.Bounds.Share*s.calls + s.Bounds.Slack*passed)
}

// maySend reports whether the new version may get calls from this instance now.
func (s *State) maySend(now time.Time) bool {
	if !s.rank.First || !s.mine() || s.record.Phase != hemlocktally.RolloutRunning {
		return false
	}
	return s.acked >= s.takenSequence || s.storeAway(now)
}

// share returns the share of calls that are to go to the new version.
func (s *State) share(now time.Time) float64 {
	switch {
	case s.record.Phase == hemlocktally.RolloutSwitching || s.record.Phase == hemlocktally.RolloutCompleted:
		return 1
	case s.record.Phase != hemlocktally.RolloutRunning:
		return 0
	case s.record.Step > 0 && s.record.Step < len(rampShares):
		return rampShares[s.record.Step]
	}
	if s.calls == 0 {
		return 0
	}
	return min(1, s.canaryLimit(now)/s.calls)
}

// Assign counts a call and reports whether it is to go to the new version. If it then goes to the
// old one after all, Unassign must be called.
func (s *State) Assign(contract hemlocktally.ContractName, kind hemlocktally.AttemptKind, now time.Time) bool {
	if !s.Bounds.Enabled() || kind != hemlocktally.AttemptFirst {
		return false // A version on trial is not asked to make up for a failure, and gets no second attempts.
	}
	s.rate.count++
	if !isActive(s.record.Phase) {
		return false
	}
	s.calls++
	t := s.evidence.contract(contract)
	t.calls++
	t.calledAt = now
	if !s.maySend(now) || s.capacity.NewTargets == 0 {
		return false
	}
	if s.record.Step == 0 {
		if !s.takesCanary(t, now) {
			return false
		}
	} else if !s.takesRamp(now) {
		return false
	}
	t.assigned++
	s.used++
	return true
}

// takesCanary reports whether the call is one of the canary phase. Calls are sent in bursts.
func (s *State) takesCanary(t *tally, now time.Time) bool {
	limit := s.canaryLimit(now)
	if s.capacity.NewSlots == 0 {
		limit *= coldShare
	}
	credit := min(s.spendable(now), limit) - s.used
	switch {
	case credit < 1:
		s.bursting = false
		return false
	case credit >= burst:
		s.bursting = true
	}
	return t.mayTakeCanary() && (s.bursting || s.evidence.behind(t, now))
}

// takesRamp reports whether the call belongs to the share of the current step.
func (s *State) takesRamp(now time.Time) bool {
	if !s.proven() && s.used+1 > s.spendable(now) {
		return false
	}
	s.rampPart += rampShares[min(s.record.Step, len(rampShares)-1)]
	if s.rampPart < 1 {
		return false
	}
	s.rampPart--
	return true
}

// Unassign takes back an assignment: the call went to the old version, or nowhere.
func (s *State) Unassign(contract hemlocktally.ContractName) {
	if s.used > 0 {
		s.used--
	}
	if t := s.evidence.contract(contract); t.assigned > 0 {
		t.assigned--
	}
}

// proven reports whether the results say that the new version is good.
func (s *State) proven() bool {
	before, after := s.evidence.totals()
	expected := 0.0
	if before.Results > 0 {
		expected = expectedFactor * after.Results * (before.Failed + before.Slow) / before.Results
	}
	unexplained := max(0, after.Failed+after.Slow-expected)
	return after.Results >= provenResults*(1+unexplained) && s.evidence.worst().probability >= suspectProbability
}

// coversRest reports whether the budget covers all calls until the deadline, as with little traffic.
func (s *State) coversRest(now time.Time) bool {
	rest := max(0, s.remaining(now)).Seconds() * s.rate.perSec
	_, after := s.evidence.totals()
	return s.budget()-s.used >= rest && (after.Results >= fewResults || s.calls < fewCalls)
}

// suspect reports whether the results give reason not to raise the share. While there is time for
// more results, little reason is enough.
func (s *State) suspect(now time.Time) bool {
	probability := suspectProbability
	if s.remaining(now) > earlyTime {
		probability = earlyProbability
	}
	return s.evidence.worst().probability < probability
}

// mayRaise reports whether the evidence allows to send more calls to the new version.
func (s *State) mayRaise(now time.Time) bool {
	if s.suspect(now) {
		return s.remaining(now) <= switchBy-minStepTime // By then the version would have been rolled back if it were bad.
	}
	_, after := s.evidence.totals()
	few := s.remaining(now) <= lateTime && after.Results >= fewResults && s.evidence.bad() == 0
	return after.Results >= provenResults || few || s.coversRest(now)
}

// sufficient reports whether the targets of the new version can take all calls.
func (s *State) sufficient() bool {
	c := s.capacity
	const safety = 2
	return c.NewTargets > 0 && c.NewSlots > 0 && (2*c.NewSlots >= c.OldSlots || c.NewSlots >= safety*c.Busy+safety)
}

// SlowAfter returns how long a call of the contract takes at most on a target of usual speed before
// it counts as slow; zero if that is not known or no rollout is running.
func (s *State) SlowAfter(contract hemlocktally.ContractName) time.Duration {
	if !isActive(s.record.Phase) {
		return 0
	}
	t := s.evidence.contracts[contract]
	if t == nil {
		return 0
	}
	return time.Duration(t.slowFrom() * float64(time.Second))
}

// addResult counts a result and rolls back if it shows that the version is bad.
func (s *State) addResult(msg ResultMsg, now time.Time) {
	compare := isActive(s.record.Phase)
	if msg.New && msg.Outcome == hemlocktally.AttemptUnused {
		if compare {
			s.Unassign(msg.Contract)
		}
		return
	}
	if msg.Outcome == hemlocktally.AttemptUnused {
		return
	}
	if msg.New {
		s.stepResults++
	}
	if s.evidence.add(msg, compare) && s.rank.First && s.mine() {
		if s.limitAt.IsZero() && s.evidence.bad() >= limitBad {
			s.limitAt = now
		}
		s.judge(now, rollbackProbability)
	}
}

// probability returns the probability below which results lead to a rollback. A version with so many
// bad results that it must soon get no calls needs less evidence.
func (s *State) probability(now time.Time) float64 {
	if !s.limitAt.IsZero() && now.Sub(s.limitAt) >= s.Bounds.RollbackDelay/2 {
		return suspectProbability
	}
	return rollbackProbability
}

// judge rolls back if the version is bad. It reports whether it did.
func (s *State) judge(now time.Time, probability float64) bool {
	if !isActive(s.record.Phase) {
		return false
	}
	reason, bad := s.evidence.verdict(probability)
	if bad {
		s.rollBack(now, reason)
	}
	return bad
}

// run advances a running rollout.
func (s *State) run(now time.Time) {
	if !s.mine() || now.Sub(s.evaluatedAt) < evaluationInterval {
		return
	}
	s.evaluatedAt = now
	if s.judge(now, s.probability(now)) {
		return
	}
	remaining := s.remaining(now)
	if remaining <= switchBy && s.judge(now, lateProbability) {
		return
	}
	if !s.sufficient() || !s.mayRaise(now) {
		s.giveUp(now, remaining)
		return
	}
	last := s.record.Step >= len(rampShares)-1
	switch {
	case remaining > s.rampFrom():
	case remaining <= switchBy, last && s.stepDone(now, remaining):
		s.switchOver(now)
	case !last && (s.record.Step == 0 || s.stepDone(now, remaining)):
		s.record.Step++
		s.stepAt, s.stepResults, s.dirty = now, 0, true
		s.report(now, "")
	}
}

// giveUp rolls back once no time is left for a version that may not get more calls.
func (s *State) giveUp(now time.Time, remaining time.Duration) {
	switch {
	case remaining > giveUpTime:
	case !s.sufficient():
		s.rollBack(now, "the targets of the version can't take the calls")
	default:
		s.rollBack(now, "too few results to compare")
	}
}

// stepDone reports whether the current step of the ramp has lasted long enough.
func (s *State) stepDone(now time.Time, remaining time.Duration) bool {
	age := now.Sub(s.stepAt)
	const enoughResults = 15
	switch {
	case remaining <= lateTime:
		return age >= lateStepTime
	case s.stepResults >= enoughResults:
		return age >= minStepTime
	}
	return age >= maxStepTime
}

// switchOver makes all instances send all calls to the new version.
func (s *State) switchOver(now time.Time) {
	s.record.Phase, s.record.InUse, s.record.Step, s.dirty = hemlocktally.RolloutSwitching, s.record.Target, len(rampShares)-1, true
	s.switchedAt = time.Time{}
	s.report(now, "")
}

// finish completes the rollout once no instance sends to the old version any more.
func (s *State) finish(now time.Time) {
	if now.Sub(s.evaluatedAt) < evaluationInterval {
		return
	}
	s.evaluatedAt = now
	if s.judge(now, s.probability(now)) || s.switchedAt.IsZero() {
		return
	}
	age := now.Sub(s.switchedAt)
	if age < switchTime || (s.capacity.OldBusy > 0 && age < maxSwitchTime && s.remaining(now) > giveUpTime/2) {
		return
	}
	if s.remaining(now) > unclearTime && s.evidence.worst().probability < unclearProbability {
		return // There is time for more results, and still a way back.
	}
	s.record.Phase, s.dirty = hemlocktally.RolloutCompleted, true
	s.report(now, "")
}
