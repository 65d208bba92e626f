package allocator

import (
	"slices"
	"time"

	"hemlocktally"
)

// Bounds of the choice of targets.
const (
	maxSkippedWaiters      = 16                     // headsTried bounds the search past waiters that exclude what is free.
	idleBeforeHighPriority = 250 * time.Millisecond // rampPatience is how long a cold target waits for normal work.
	slowTargetDivisor      = 5                      // suspectShare is the inverse of the share of targets left out by suspicion.
	overcommitWait         = 50 * time.Millisecond  // longWait is the wait from which on turns are given up to twice the slots.
)

// grant gives turns to the waiting requests in their order.
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
	t.inFlight[grant.ID] = activeGrant{requester: w.msg.From, started: now, deadline: request.Deadline}
	t.lastGranted = now
	return GrantCmd{Ticket: w.msg.Ticket, Grant: grant}
}

func excluded(t *targetTracker, r hemlocktally.GrantRequest) bool {
	return slices.Contains(r.Exclude, t.target.Name)
}

// choose returns the target for the request, or nil where none is free. Normal
// work goes to a cold or slow target that bears it, so that it comes back;
// precious work does so only where that target has had nothing for long, or no
// other is left.
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

// freeWeak returns a cold target that bears a call, or a slow one that is idle.
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

// freeSlow returns a slow target with a free turn.
func (s *State) freeSlow(r hemlocktally.GrantRequest, now time.Time) *targetTracker {
	for _, t := range s.targets {
		if t.slow && !excluded(t, r) && len(t.inFlight) < t.concurrencyLimit(now, s.exclusivity) {
			return t
		}
	}
	return nil
}

// freeWarm returns the warm target with the most free slots, the fastest among
// equals.
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

// suspect marks a target as slow whose oldest call is overdue, while only a
// bounded share of the targets is.
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

// ahead returns a target that may have more turns than it has slots, up to twice
// as many: as many turns as are on their way between entries and owner at any
// time are granted before a slot is free, so that no slot idles for the way. A
// long wait says that more are on their way than was measured.
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
	if oldest := s.queue.earliest(); !oldest.IsZero() && now.Sub(oldest) > overcommitWait {
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

// moreOnTheWay reports whether fewer turns are given ahead than are on their way
// by the measured time of a turn's way and the rate of all slots.
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

// wake returns when Update has to run again without a message, or the zero time.
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
