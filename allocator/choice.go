package allocator

import (
	"slices"
	"time"

	"hemlocktally"
)

// Limits for choosing targets.
const (
	// maxSkippedWaiters limits how many waiters without a target are skipped if they exclude targets.
	maxSkippedWaiters = 16
	// idleBeforeHighPriority is how long an unproven target is without work before it gets high-priority work.
	idleBeforeHighPriority = 250 * time.Millisecond
	// slowTargetDivisor limits the targets marked as slow to one in this many, at least one.
	slowTargetDivisor = 5
	// overcommitWait is the wait above which targets get grants up to twice their slots.
	overcommitWait = 50 * time.Millisecond
)

// issueGrants grants targets to the waiting requests, high priority first.
func (s *State) issueGrants(now time.Time) []Command {
	var granted []Command
	for priority := range s.queue.heaps {
		granted = append(granted, s.grantFromHeap(priority, now)...)
	}
	return granted
}

func (s *State) grantFromHeap(priority int, now time.Time) []Command {
	var granted []Command
	var skipped []*waiter
	for len(s.queue.heaps[priority]) > 0 && len(skipped) < maxSkippedWaiters {
		w := s.queue.heaps[priority][0]
		t := s.chooseTarget(w.msg.Request, now)
		if t == nil && len(w.msg.Request.Exclude) == 0 {
			break
		}
		s.queue.remove(w.msg.Ticket)
		if t == nil {
			skipped = append(skipped, w)
			continue
		}
		granted = append(granted, s.issueGrant(w, t, now))
	}
	for _, w := range skipped {
		s.queue.push(w)
	}
	return granted
}

func (s *State) issueGrant(w *waiter, t *targetTracker, now time.Time) GrantCmd {
	request := w.msg.Request
	grant := hemlocktally.Grant{
		ID: s.nextGrantID(), Service: s.Service, Target: t.target, Owner: s.Owner, Revision: s.Revision,
		Deadline: request.Deadline, Waited: now.Sub(w.arrived), Cold: t.cold(),
	}
	if grant.Cold {
		grant.LeaseEnd = s.exclusivity.Until
	}
	t.inFlight[grant.ID] = activeGrant{requester: w.msg.Requester, started: now, deadline: request.Deadline}
	t.lastGranted = now
	return GrantCmd{Ticket: w.msg.Ticket, Grant: grant}
}

func excluded(t *targetTracker, r hemlocktally.GrantRequest) bool {
	return slices.Contains(r.Exclude, t.target.Name)
}

// chooseTarget returns the target for the request, or nil if none is free. An
// unproven (cold or slow) target with a free slot gets normal-priority work
// first, so that it can become warm or recover. High-priority work goes there
// only if that target has been without work for idleBeforeHighPriority, or if no
// healthy target is left. Hedges are not sent to unproven targets in this step.
func (s *State) chooseTarget(r hemlocktally.GrantRequest, now time.Time) *targetTracker {
	high := heapIndex(r.Priority) == 0
	unproven := s.freeUnproven(r, now)
	if unproven != nil && (!high || now.Sub(unproven.lastGranted) > idleBeforeHighPriority || s.healthyCount() == 0) && r.Kind != hemlocktally.AttemptHedge {
		return unproven
	}
	if best := s.freeWarm(r, now); best != nil {
		return best
	}
	if !high || s.healthyCount() == 0 {
		if slow := s.freeSlow(r, now); slow != nil {
			return slow
		}
	}
	return s.overcommitTarget(r, now)
}

// freeUnproven returns a cold target below its limit, or a slow one without
// calls in flight. A target that is being probed does not count.
func (s *State) freeUnproven(r hemlocktally.GrantRequest, now time.Time) *targetTracker {
	for _, t := range s.targets {
		free := t.concurrencyLimit(now, s.exclusivity) - len(t.inFlight)
		if free <= 0 || t.probeInFlight || excluded(t, r) {
			continue
		}
		if t.cold() || (t.slow && len(t.inFlight) == 0) {
			return t
		}
	}
	return nil
}

// freeSlow returns a slow target below its limit.
func (s *State) freeSlow(r hemlocktally.GrantRequest, now time.Time) *targetTracker {
	for _, t := range s.targets {
		if t.slow && !excluded(t, r) && len(t.inFlight) < t.concurrencyLimit(now, s.exclusivity) {
			return t
		}
	}
	return nil
}

// freeWarm returns the warm target with the most free slots, or the fastest of
// those with equally many. Slow targets are skipped.
func (s *State) freeWarm(r hemlocktally.GrantRequest, now time.Time) *targetTracker {
	var best *targetTracker
	bestFree := 0
	for _, t := range s.targets {
		if !t.warm() {
			continue
		}
		free := t.concurrencyLimit(now, s.exclusivity) - len(t.inFlight)
		if free <= 0 || excluded(t, r) || s.markIfSlow(t, now) {
			continue
		}
		if free > bestFree || (free == bestFree && t.latency.value < best.latency.value) {
			best, bestFree = t, free
		}
	}
	return best
}

// markIfSlow marks the target as slow if its oldest call is overdue and the
// limit of slow targets is not reached. It reports whether the target is slow.
func (s *State) markIfSlow(t *targetTracker, now time.Time) bool {
	if t.slow {
		return true
	}
	if !s.latency.hasQuantiles() || t.oldestAge(now) <= s.latency.overdueThreshold() {
		return false
	}
	slow := 0
	for _, other := range s.targets {
		if other.slow {
			slow++
		}
	}
	if slow >= max(1, len(s.targets)/slowTargetDivisor) {
		return false
	}
	t.slow, t.fastResponses, t.reason = true, 0, "its oldest call is overdue"
	return true
}

func (s *State) healthyCount() int {
	n := 0
	for _, t := range s.targets {
		if t.warm() && !t.slow && !t.outOfService {
			n++
		}
	}
	return n
}

// overcommitTarget returns a target that may get more grants than it has slots,
// up to twice as many. The extra grants make up for those in transit between
// requesters and owner, so that no slot is idle for the round trip. If requests
// wait longer than overcommitWait, more grants are in transit than was measured,
// and the estimate is ignored.
func (s *State) overcommitTarget(r hemlocktally.GrantRequest, now time.Time) *targetTracker {
	var best *targetTracker
	for _, t := range s.targets {
		if !s.canOvercommit(t, r, now) {
			continue
		}
		if best == nil || len(t.inFlight) < len(best.inFlight) ||
			(len(t.inFlight) == len(best.inFlight) && t.oldestAge(now) > best.oldestAge(now)) {
			best = t
		}
	}
	if oldest := s.queue.oldestArrival(); !oldest.IsZero() && now.Sub(oldest) > overcommitWait {
		return best
	}
	if !s.hasOvercommitRoom() {
		return nil
	}
	return best
}

func (s *State) canOvercommit(t *targetTracker, r hemlocktally.GrantRequest, now time.Time) bool {
	if !t.warm() || t.outOfService || now.Before(t.backoffUntil) || excluded(t, r) {
		return false
	}
	excess := len(t.inFlight) - t.target.SlotCount()
	return excess >= 0 && excess < t.target.SlotCount() && !s.markIfSlow(t, now)
}

// hasOvercommitRoom reports whether fewer extra grants are issued than are
// estimated to be in transit. The estimate is the measured grant overhead times
// the rate at which all slots complete calls.
func (s *State) hasOvercommitRoom() bool {
	if s.latency.median <= 0 {
		return false
	}
	overcommitted, slots := 0, 0
	for _, t := range s.targets {
		if !t.warm() || t.outOfService {
			continue
		}
		slots += t.target.SlotCount()
		overcommitted += max(0, len(t.inFlight)-t.target.SlotCount())
	}
	inTransit := s.grantOverhead.value * float64(slots) / s.latency.median.Seconds()
	return float64(overcommitted)+0.5 <= inTransit
}

// nextWakeup returns when Update has to run again even without a message, or the
// zero time.
func (s *State) nextWakeup() time.Time {
	next := s.queue.nextExpiry()
	earlier := func(at time.Time) {
		if at.After(s.updatedAt) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if s.queue.len() > 0 {
		for _, t := range s.targets {
			earlier(t.backoffUntil)
			if t.cold() || t.slow {
				earlier(t.lastGranted.Add(idleBeforeHighPriority))
			}
		}
	}
	earlier(s.nextProbe())
	return next
}
