package placer

import (
	"cmp"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/promoter"
)

// Parameters of the targets that the canary phase of a rollout uses.
const (
	// canaryTargets is how many targets of the new version get calls at the same time, if possible
	// in different zones. They are few, so that each runs under full load.
	canaryTargets = 3
	// canaryRotation is how long a target is used before another one takes its place.
	canaryRotation = time.Second
	// busyPreference is the factor on the cost of a target that serves a call already.
	busyPreference = 0.5
	// rolloutTick is the least time between two messages of the time to a rollout that is running.
	rolloutTick     = 20 * time.Millisecond
	idleRolloutTick = 500 * time.Millisecond
)

// RolloutMsg is a message to the service's rollout.
type RolloutMsg struct{ Msg any }

// RolloutCmd is a command of the service's rollout.
type RolloutCmd struct{ Command any }

// VersionsCmd reports that calls go to targets of other versions than before.
type VersionsCmd struct {
	InUse, Candidate hemlocktally.SoftwareVersion
	Targets, Barred  int
}

// versionRoles tells which versions get calls.
type versionRoles struct {
	inUse     hemlocktally.SoftwareVersion
	candidate hemlocktally.SoftwareVersion
	trial     bool // trial is set if the candidate gets the calls that are assigned to it.
}

// rolloutState is the part of State that concerns versions. The zero value lets all versions serve.
type rolloutState struct {
	decision *promoter.State // decision is nil if rollouts are off.
	commands []any
	roles    versionRoles
	barred   int
	tickedAt time.Time
	focus    []*targetState // focus holds the targets of the canary phase, in order of their use.
	rotateAt time.Time
	next     int // next is where the search for the next of them begins.
}

// updateRollout passes a message to the rollout and applies its decision.
func (s *State) updateRollout(msg any, now time.Time) {
	if !s.Bounds.Rollouts.Enabled() {
		return
	}
	if s.rollout.decision == nil {
		s.rollout.decision = &promoter.State{Instance: s.Owner, Run: s.Epoch, Bounds: s.Bounds.Rollouts}
	}
	for _, command := range s.rollout.decision.Update(msg, now) {
		s.rollout.commands = append(s.rollout.commands, RolloutCmd{Command: command})
	}
	s.applyRoles(false)
}

// applyRoles marks each target by its version.
func (s *State) applyRoles(force bool) {
	d := s.rollout.decision
	if d == nil {
		return
	}
	roles := versionRoles{inUse: d.InUse()}
	if candidate, ok := d.Candidate(); ok {
		roles.candidate, roles.trial = candidate, true
	}
	changed := roles != s.rollout.roles
	if !changed && !force {
		return
	}
	s.rollout.roles = roles
	barred := 0
	for _, t := range s.sorted {
		t.candidate = roles.trial && t.target.Version == roles.candidate && t.target.Version != roles.inUse
		t.barred = !t.candidate && t.target.Version != roles.inUse
		if t.barred {
			barred++
		}
	}
	if changed || barred != s.rollout.barred {
		s.rollout.commands = append(s.rollout.commands, VersionsCmd{InUse: roles.inUse, Candidate: roles.candidate, Targets: len(s.sorted), Barred: barred})
	}
	s.rollout.barred = barred
	if !roles.trial {
		s.rollout.focus = nil
		for _, w := range s.queue {
			w.candidate = false // The rollout has ended; its counts do not matter any more.
		}
	}
}

// tickRollout tells the rollout the time and the capacity of the targets.
func (s *State) tickRollout(now time.Time) {
	d := s.rollout.decision
	if d == nil {
		return
	}
	interval := idleRolloutTick
	if d.Active() {
		interval = rolloutTick
	}
	if now.Sub(s.rollout.tickedAt) >= interval {
		s.rollout.tickedAt = now
		s.reportOverdue(now)
		s.updateRollout(promoter.TickMsg{Capacity: s.rolloutCapacity(now)}, now)
	}
}

// overdueGrace is the time that a call takes besides the target's work.
const overdueGrace = 50 * time.Millisecond

// reportOverdue tells the rollout of calls on the new version that are slow already, so that it does
// not learn of them only when they end.
func (s *State) reportOverdue(now time.Time) {
	d := s.rollout.decision
	for _, t := range s.sorted {
		if len(t.grants) == 0 || !d.IsNew(t.target.Version) || t.cold(now) {
			continue
		}
		for id, active := range t.grants {
			limit := time.Duration(float64(d.SlowAfter(active.contract)) * max(1, active.pace, t.pace))
			if age := now.Sub(active.at); limit > 0 && !active.overdue && !active.cold && age > limit+overdueGrace {
				active.overdue = true
				t.grants[id] = active
				s.updateRollout(promoter.ResultMsg{
					New: true, Target: t.target.Name, Zone: t.target.Zone, Contract: active.contract, Outcome: hemlocktally.AttemptCancelled,
					Latency: age, Pace: max(active.pace, t.pace),
				}, now)
			}
		}
	}
}

func (s *State) rolloutCapacity(now time.Time) promoter.Capacity {
	var c promoter.Capacity
	for _, t := range s.sorted {
		c.Busy += len(t.grants)
		switch {
		case t.barred:
			c.OldBusy += len(t.grants)
		case !t.inService():
		case !t.candidate:
			c.OldSlots += t.target.SlotCount()
		default:
			c.NewTargets++
			if t.accepting(now) && !t.cold(now) {
				c.NewSlots += t.target.SlotCount()
			}
		}
	}
	return c
}

// takeRolloutCommands returns the commands of the rollout that were not returned yet.
func (s *State) takeRolloutCommands() []any {
	commands := s.rollout.commands
	s.rollout.commands = nil
	return commands
}

// assign decides whether a new call goes to the version that a rollout tests.
func (s *State) assign(w *waiter, now time.Time) {
	if s.rollout.decision == nil {
		return
	}
	r := w.msg.Request
	w.candidate = s.rollout.decision.Assign(r.Contract, r.Kind, now) && s.rollout.roles.trial
}

// unassign takes the call from the version that a rollout tests.
func (s *State) unassign(w *waiter) {
	if w.candidate {
		w.candidate = false
		s.rollout.decision.Unassign(w.msg.Request.Contract)
	}
}

// chooseByVersion chooses a target of the version that the call is assigned to, or of the version in
// use if the other one has no capacity.
func (s *State) chooseByVersion(w *waiter, free *freeTargets, now time.Time) (list []candidate, best candidate, ok bool) {
	if w.candidate {
		s.refreshFocus(now)
		// In the canary phase, also a target that seems too slow is used: otherwise a version that is
		// slow, and says so, would never show it.
		if list, best, ok = s.choose(w, free, now); ok && (s.rollout.decision.Canary() || best.expected <= w.msg.Request.Objective.Sub(now)) {
			return list, best, true
		}
		s.unassign(w)
	}
	return s.choose(w, free, now)
}

// eligible reports whether the target's version may get the waiter's call.
func (s *State) eligible(t *targetState, w *waiter) bool {
	if t.candidate != w.candidate {
		return false
	}
	return !t.candidate || !s.rollout.decision.Canary() || slices.Contains(s.rollout.focus, t)
}

// refreshFocus replaces targets of the canary phase that can't be used any more, and in turn the one
// that has been used longest.
func (s *State) refreshFocus(now time.Time) {
	r := &s.rollout
	if !r.decision.Canary() {
		return
	}
	usable := func(t *targetState) bool { return t.candidate && t.accepting(now) && s.targets[t.target.Name] == t }
	r.focus = slices.DeleteFunc(r.focus, func(t *targetState) bool { return !usable(t) })
	if len(r.focus) == canaryTargets && now.Before(r.rotateAt) {
		return
	}
	if len(r.focus) == canaryTargets {
		r.focus = r.focus[1:]
	}
	for len(r.focus) < canaryTargets {
		t := s.nextFocus(usable, now)
		if t == nil {
			return
		}
		r.focus = append(r.focus, t)
		r.rotateAt = now.Add(canaryRotation / canaryTargets)
	}
}

// nextFocus returns the next target to be used, preferably a warm one in a zone that has none.
func (s *State) nextFocus(usable func(*targetState) bool, now time.Time) *targetState {
	r := &s.rollout
	var best *targetState
	bestCost, bestIndex := 0, 0
	for i := range s.sorted {
		index := (r.next + i) % len(s.sorted)
		t := s.sorted[index]
		if !usable(t) || slices.Contains(r.focus, t) {
			continue
		}
		cost := 0
		if t.cold(now) {
			cost = 2 * canaryTargets
		}
		for _, other := range r.focus {
			if other.target.Zone == t.target.Zone {
				cost++
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestIndex = t, cost, index
		}
	}
	r.next = bestIndex + 1
	return best
}

// recordRollout tells the rollout how a call ended.
func (s *State) recordRollout(t *targetState, active activeGrant, result hemlocktally.GrantResult, now time.Time) {
	d := s.rollout.decision
	if d == nil {
		return
	}
	isNew := d.IsNew(t.target.Version)
	if active.overdue && result.Outcome != hemlocktally.AttemptUnused {
		return // The call has been counted as a slow one.
	}
	if (!isNew && !d.IsOld(t.target.Version)) || (result.Outcome == hemlocktally.AttemptUnused && !active.trial) {
		return
	}
	pace := active.pace
	if result.Load != nil {
		pace = max(pace, result.Load.Pace)
	}
	s.updateRollout(promoter.ResultMsg{
		New: isNew, Target: t.target.Name, Zone: t.target.Zone, Contract: cmp.Or(active.contract, result.Contract), Outcome: result.Outcome,
		Latency: result.Latency, Pace: pace, Cold: active.cold || result.ReportedCold || t.cold(now),
		Excused: result.Misdirected || result.ReportedDraining || result.RetryAfter > 0,
	}, now)
}

// rolloutActive reports whether this state decides on a rollout that is running.
func (s *State) rolloutActive() bool { return s.rollout.decision != nil && s.rollout.decision.Active() }

// executeRollout makes the calls of the store that a rollout asks for, and logs its decisions.
func (t *serviceTask) executeRollout(run func(func() any), command RolloutCmd) {
	change, ok := command.Command.(promoter.ChangeCmd)
	if !ok {
		if t.server.Rollouts != nil {
			run(func() any { return RolloutMsg{Msg: t.server.Rollouts(t.name, command.Command)} })
		}
		return
	}
	t.server.Log.Log(logger.EventRolloutChanged, logger.Fields{
		"Service": t.name, "Version": change.Version, "Phase": change.Phase, "Step": change.Step, "Reason": change.Reason,
		"Share": change.Report.Share, "Calls": change.Report.Calls, "Exposed": change.Report.Exposed, "Bad": change.Report.Bad, "Remaining": change.Report.Remaining,
	})
}

// logVersions logs which versions get calls. A service without barred targets is not worth a line.
func (t *serviceTask) logVersions(command VersionsCmd) {
	if command.Barred == 0 && command.Candidate == "" {
		return
	}
	t.server.Log.Log(logger.EventVersionsBarred, logger.Fields{
		"Service": t.name, "InUse": command.InUse, "Candidate": command.Candidate, "Targets": command.Targets, "Barred": command.Barred, "Alone": t.server.Alone,
	})
}

// rolloutRank returns the message that tells a rollout whether this server decides.
func (s *Server) rolloutRank(service hemlocktally.ServiceName, owners []hemlocktally.Instance) promoter.RankMsg {
	msg := promoter.RankMsg{First: len(owners) > 0 && owners[0].ID == s.Self && !s.Alone && !s.isolated(service)}
	for _, owner := range owners {
		msg.Member = msg.Member || (owner.ID == s.Self && !s.Alone)
		msg.Members = append(msg.Members, owner.ID)
	}
	return msg
}

// startRollouts starts the tasks of services with an order, which may have no calls, if this
// instance is one of the owners.
func (s *Server) startRollouts(services map[hemlocktally.ServiceName]TargetsMsg) {
	if !s.Bounds.Rollouts.Enabled() || s.Alone || s.View == nil {
		return
	}
	if _, member := s.View.View().Find(s.Self); !member {
		return
	}
	for name, msg := range services {
		if promoter.Deciding(msg.Rollout) {
			s.task(name)
		}
	}
}
