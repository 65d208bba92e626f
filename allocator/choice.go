package allocator

import (
	"slices"
	"time"

	"hemlocktally"
)

// Bounds of the choice of targets.
const (
	headsTried   = 16                     // headsTried bounds the search past waiters that exclude what is free.
	rampPatience = 250 * time.Millisecond // rampPatience is how long a cold target waits for normal work.
	suspectShare = 5                      // suspectShare is the inverse of the share of targets left out by suspicion.
)

// grant gives turns to the waiting requests in their order.
func (s *State) grant(now time.Time) []Command {
	var granted []Command
	for line := range s.queue.lines {
		granted = append(granted, s.grantLine(line, now)...)
	}
	return granted
}

func (s *State) grantLine(line int, now time.Time) []Command {
	var granted []Command
	var skipped []*waiter
	for len(s.queue.lines[line]) > 0 && len(skipped) < headsTried {
		w := s.queue.lines[line][0]
		t := s.choose(w.msg.Request, now)
		if t == nil && len(w.msg.Request.Exclude) == 0 {
			break
		}
		s.queue.remove(w.msg.Ticket)
		if t == nil {
			skipped = append(skipped, w)
			continue
		}
		granted = append(granted, s.give(w, t, now))
	}
	for _, w := range skipped {
		s.queue.push(w)
	}
	return granted
}

func (s *State) give(w *waiter, t *tally, now time.Time) GrantCmd {
	request := w.msg.Request
	grant := hemlocktally.Grant{
		ID: s.nextID(), Service: s.Service, Target: t.target, Owner: s.Owner, Revision: s.Revision,
		Deadline: request.Deadline, Waited: now.Sub(w.arrived), Cold: t.cold(),
	}
	if grant.Cold {
		grant.LeaseEnd = s.standing.Until
	}
	t.inFlight[grant.ID] = turn{from: w.msg.From, started: now, deadline: request.Deadline}
	t.grantedAt = now
	return GrantCmd{Ticket: w.msg.Ticket, Grant: grant}
}

func excluded(t *tally, r hemlocktally.GrantRequest) bool {
	return slices.Contains(r.Exclude, t.target.Name)
}

// choose returns the target for the request, or nil where none is free. Normal
// work goes to a cold or slow target that bears it, so that it comes back;
// precious work does so only where that target has had nothing for long, or no
// other is left.
func (s *State) choose(r hemlocktally.GrantRequest, now time.Time) *tally {
	high := lineOf(r.Priority) == 0
	weak := s.freeWeak(r, now)
	if weak != nil && (!high || now.Sub(weak.grantedAt) > rampPatience || s.soundCount() == 0) && r.Kind != hemlocktally.AttemptHedge {
		return weak
	}
	if best := s.freeWarm(r, now); best != nil {
		return best
	}
	if !high || s.soundCount() == 0 {
		if slow := s.freeSlow(r, now); slow != nil {
			return slow
		}
	}
	return s.ahead(r, now)
}

// freeWeak returns a cold target that bears a call, or a slow one that is idle.
func (s *State) freeWeak(r hemlocktally.GrantRequest, now time.Time) *tally {
	for _, t := range s.targets {
		free := t.limit(now, s.standing) - len(t.inFlight)
		if free <= 0 || t.probing || excluded(t, r) {
			continue
		}
		if t.cold() || (t.slow && len(t.inFlight) == 0) {
			return t
		}
	}
	return nil
}

// freeSlow returns a slow target with a free turn.
func (s *State) freeSlow(r hemlocktally.GrantRequest, now time.Time) *tally {
	for _, t := range s.targets {
		if t.slow && !excluded(t, r) && len(t.inFlight) < t.limit(now, s.standing) {
			return t
		}
	}
	return nil
}

// freeWarm returns the warm target with the most free slots, the fastest among
// equals.
func (s *State) freeWarm(r hemlocktally.GrantRequest, now time.Time) *tally {
	var best *tally
	bestFree := 0
	for _, t := range s.targets {
		if !t.warm() {
			continue
		}
		free := t.limit(now, s.standing) - len(t.inFlight)
		if free <= 0 || excluded(t, r) || s.suspect(t, now) {
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
func (s *State) suspect(t *tally, now time.Time) bool {
	if t.slow {
		return true
	}
	if !s.latency.known() || t.oldest(now) <= s.latency.overdue() {
		return false
	}
	slow := 0
	for _, other := range s.targets {
		if other.slow {
			slow++
		}
	}
	if slow >= max(1, len(s.targets)/suspectShare) {
		return false
	}
	t.slow, t.quick, t.reason = true, 0, "its oldest call is overdue"
	return true
}

func (s *State) soundCount() int {
	n := 0
	for _, t := range s.targets {
		if t.warm() && !t.slow && !t.out {
			n++
		}
	}
	return n
}

// ahead returns a target that may have one turn more than it has slots: as many
// turns as are on their way between entries and owner at any time are granted
// before a slot is free, so that no slot idles for the way.
func (s *State) ahead(r hemlocktally.GrantRequest, now time.Time) *tally {
	extra, slots := 0, 0
	var best *tally
	for _, t := range s.targets {
		if !t.warm() || t.out || now.Before(t.holdOff) {
			continue
		}
		slots += t.target.SlotCount()
		over := len(t.inFlight) - t.target.SlotCount()
		extra += max(0, over)
		if over != 0 || excluded(t, r) || s.suspect(t, now) {
			continue
		}
		if best == nil || t.oldest(now) > best.oldest(now) {
			best = t
		}
	}
	if s.latency.median <= 0 {
		return nil
	}
	onTheWay := s.idle.value * float64(slots) / s.latency.median.Seconds()
	if float64(extra)+0.5 > onTheWay {
		return nil
	}
	return best
}

// wake returns when Update has to run again without a message, or the zero time.
func (s *State) wake() time.Time {
	next := s.queue.nextLimit()
	earlier := func(at time.Time) {
		if at.After(s.asOf) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if s.queue.len() > 0 {
		for _, t := range s.targets {
			earlier(t.holdOff)
			if t.cold() || t.slow {
				earlier(t.grantedAt.Add(rampPatience))
			}
		}
	}
	earlier(s.nextProbe())
	return next
}
