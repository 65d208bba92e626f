package placer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hemlocktally"
)

// Bounds of the choice.
const (
	freshFor     = 40 * time.Millisecond // freshFor is how old a report may be to give a turn without asking anew.
	probeWait    = 8 * time.Millisecond  // probeWait is how long a choice waits for answers about load.
	probesAtOnce = 3                     // probesAtOnce is how many targets one choice asks.
	probePause   = 20 * time.Millisecond // probePause is the least time between two questions to a target.
	retryLook    = 25 * time.Millisecond // retryLook is the time between two rounds of questions for one waiter.
	comfort      = 0.6                   // comfort is the part of the time left that a target in the caller's zone may take.
	farPenalty   = 10 * time.Millisecond // farPenalty is added for a target in another zone.
	newLink      = 25 * time.Millisecond // newLink is added where a new connection is needed: it takes time and a part of a slot.
	newLinkPart  = 0.35                  // newLinkPart is the part of the time left that is added at least: time that is not needed is better spent than a connection.
	late         = 1.1                   // late is the multiple of the usual work below which no prompt answer is hoped for.
	promptMargin = 1.4                   // promptMargin is the multiple of the usual work that has to be left for a prompt answer to be likely.
	worstFaulty  = 0.75
	calmPace     = 1.6                    // calmPace is the pace below which a target counts as calm.
	coldValidity = 100 * time.Millisecond // coldValidity is how long a turn on a cold target may be begun.
	leastAdvice  = 50 * time.Millisecond  // leastAdvice is the shortest advice when to come back.
	mostAdvice   = 2 * time.Second
	closedAdvice = 250 * time.Millisecond // closedAdvice is when to come back where no target takes calls at all: the list of targets is renewed twice a second.
)

// candidate is a target that could take a waiter's call now.
type candidate struct {
	t        *tally
	expected time.Duration
	doubted  time.Duration // doubted is what is expected, with what speaks against the target.
	cost     time.Duration // cost ranks it: also by the way and the connection to it.
	near     bool
	fresh    bool
}

// place answers the waiters in their order as far as targets are free. Those
// that can no longer be answered promptly go after all that can.
//
// In a burst nearly all targets are taken, so those with room are listed once
// for all waiters.
func (s *State) place(now time.Time) []any {
	if len(s.queue) == 0 {
		return nil
	}
	var commands []any
	room := &room{state: s, now: now}
	ordered := slices.Clone(s.queue)
	if len(ordered) > 1 && !s.off(hemlocktally.MechanismPromptFirst) && room.exists() {
		slices.SortStableFunc(ordered, func(a, b *waiter) int { return cmp.Compare(s.lateness(a, now), s.lateness(b, now)) })
	}
	for _, w := range ordered {
		if !w.attached() {
			continue
		}
		answered, more := s.placeOne(w, room, now)
		commands = append(commands, more...)
		if answered {
			s.drop(w.msg.Ticket)
		}
	}
	return commands
}

// lateness is 1 for a waiter whose answer can't be prompt any more, else 0.
func (s *State) lateness(w *waiter, now time.Time) int {
	if now.Add(s.likely(w.msg.Request.Contract)).After(w.msg.Request.Objective) {
		return 1
	}
	return 0
}

// likely is the time that has to be left for a prompt answer to be likely.
func (s *State) likely(contract hemlocktally.ContractName) time.Duration {
	return time.Duration(promptMargin * float64(s.usual(contract)))
}

// placeOne tries to answer one waiter.
func (s *State) placeOne(w *waiter, room *room, now time.Time) (bool, []any) {
	r := w.msg.Request
	usual := s.usual(r.Contract)
	if !now.Add(usual / 2).Before(r.Deadline) {
		return w.refuse(notRun(hemlocktally.ReasonDeadline, "too little time is left for the work", s.advice(usual)))
	}
	if now.Before(w.probeBy) && w.awaits(now) {
		return false, nil
	}
	candidates, best, ok := s.choose(w, room, now)
	switch {
	case !ok && r.Kind == hemlocktally.AttemptHedge:
		return w.refuse(notRun(hemlocktally.ReasonShed, "no target is free for a second attempt", 0))
	case !ok:
		return false, nil
	}
	if waits, asked := s.learnFirst(w, candidates, best, now); waits {
		return false, asked
	}
	if r.Kind == hemlocktally.AttemptHedge {
		if refused := s.refuseHedge(r, best, now); refused != nil {
			return w.refuse(refused)
		}
	}
	return true, []any{s.give(w, best, now)}
}

// refuse answers the waiter with a refusal.
func (w *waiter) refuse(refused *hemlocktally.RefusedError) (bool, []any) {
	return true, []any{RefuseCmd{Ticket: w.msg.Ticket, Error: refused}}
}

// learnFirst reports whether the choice waits for answers about load: those that
// it asks for now because its reports are old, and those that may show a better
// target while a prompt answer is still possible.
func (s *State) learnFirst(w *waiter, candidates []candidate, best candidate, now time.Time) (waits bool, asked []any) {
	r := w.msg.Request
	if first := s.first(r); w.probed == 0 && (!best.fresh || (first != nil && !first.fresh(now))) {
		asked := s.probe(w, candidates, best, first, now)
		if len(w.asked) > 0 {
			w.awaitProbes(now)
			return true, asked
		}
	}
	left := r.Objective.Sub(now)
	hopeful := left > time.Duration(late*float64(s.usual(r.Contract)))
	if best.expected <= left || !hopeful || r.Kind == hemlocktally.AttemptHedge {
		return false, nil
	}
	if now.Sub(w.probeBy) < retryLook {
		return true, nil
	}
	w.awaitProbes(now)
	return true, s.probe(w, candidates, best, nil, now)
}

// awaitProbes lets the waiter wait for answers about load.
func (w *waiter) awaitProbes(now time.Time) {
	w.probed++
	w.probeBy = now.Add(probeWait)
}

// refuseHedge refuses a second attempt that would be too late, and one whose
// first runs on a calm target unless the budget is hardly used.
func (s *State) refuseHedge(r hemlocktally.GrantRequest, best candidate, now time.Time) *hemlocktally.RefusedError {
	if best.expected > r.Objective.Sub(now) {
		return notRun(hemlocktally.ReasonShed, "no target would be in time for a second attempt", 0)
	}
	first := s.first(r)
	calm := first != nil && first.fresh(now) && first.pace < calmPace
	if calm && !s.spent.room(now, s.ownBounds(), calmShare) {
		return notRun(hemlocktally.ReasonRetryBudget, "the first attempt goes on at a calm target", 0)
	}
	return nil
}

// first is the target of the attempt that a second one stands beside.
func (s *State) first(r hemlocktally.GrantRequest) *tally {
	if r.Kind != hemlocktally.AttemptHedge || len(r.Exclude) == 0 {
		return nil
	}
	return s.targets[r.Exclude[len(r.Exclude)-1]]
}

func (s *State) hasRoom(t *tally, now time.Time) bool {
	if !t.open(now) || t.busy(now) >= s.width(t, now) {
		return false
	}
	return !t.cold(now) || (!s.Alone && t.coldRoom(s.coldRate(), s.Bounds.ColdShare, now))
}

func (s *State) coldRate() float64 {
	if s.service.ColdPerSecond > 0 {
		return s.service.ColdPerSecond
	}
	return 1
}

// expect is how long the contract's work should take on the target.
func (s *State) expect(t *tally, contract hemlocktally.ContractName, now time.Time) time.Duration {
	factor := t.expectedPace(s.mean, now)
	factor *= s.occupancy.slowdown(t.next(now), now)
	if t.cold(now) {
		factor *= coldSlowdown
	}
	return time.Duration(float64(s.usual(contract)) * factor)
}

// probe asks the best candidate and the next ones whose reports are old, and
// before them the target of a first attempt that is slow. The waiter notes whose
// answers it waits for: also of those that are being asked already.
func (s *State) probe(w *waiter, candidates []candidate, best candidate, first *tally, now time.Time) []any {
	w.asked = nil
	if s.service.ProbePath == "" || s.off(hemlocktally.MechanismLoadQuestions) {
		return nil
	}
	var commands []any
	pause := s.probePause()
	ask := func(t *tally) {
		if len(w.asked) >= probesAtOnce || slices.Contains(w.asked, t) || t.awayFor(s.Owner, now) > 0 {
			return
		}
		if t.probing {
			w.asked = append(w.asked, t)
			return
		}
		if now.Sub(t.askedAt) < pause {
			return
		}
		t.probing, t.askedAt = true, now
		w.asked = append(w.asked, t)
		s.probes++
		commands = append(commands, ProbeCmd{Target: t.target, Path: s.service.ProbePath})
	}
	if first != nil && !first.fresh(now) {
		ask(first)
	}
	if !best.fresh {
		ask(best.t)
	}
	for _, near := range []bool{true, false} {
		for _, c := range candidates {
			if c.near == near && !c.fresh {
				ask(c.t)
			}
		}
	}
	return commands
}

// probePause is the least time between two questions to a target.
func (s *State) probePause() time.Duration {
	if s.Bounds.ProbesPerSecond <= 0 {
		return probePause
	}
	return max(probePause, time.Duration(float64(time.Second)/s.Bounds.ProbesPerSecond))
}

func (s *State) give(w *waiter, c candidate, now time.Time) GrantCmd {
	r := w.msg.Request
	grant := hemlocktally.Grant{
		ID: s.nextID(), Service: r.Service, Target: c.t.target, Owner: s.Owner, Revision: s.revision,
		Deadline: r.Deadline, Waited: now.Sub(w.arrived), Cold: c.t.cold(now), Alone: s.Alone,
	}
	if grant.Cold {
		grant.LeaseEnd = now.Add(coldValidity)
		c.t.coldSent = append(c.t.coldSent, now)
	}
	why := Why{
		Expected: c.expected, Pace: c.t.pace, Age: c.t.age(now), Busy: c.t.busy(now), Waiting: len(s.queue) - 1,
	}
	c.t.turns[grant.ID] = turn{
		contract: r.Contract, from: w.msg.From, deadline: r.Deadline, pace: c.t.expectedPace(s.mean, now),
		at: c.t.next(now),
	}
	c.t.usedAt = now
	c.t.linkIsTaken(w.msg.From)
	if r.Kind != hemlocktally.AttemptFirst {
		s.spent.repeat(now)
	}
	return GrantCmd{Ticket: w.msg.Ticket, Grant: grant, Why: why}
}

// admit refuses a call at once that could not be served within its time, given
// those that go before it.
func (s *State) admit(msg AskMsg, now time.Time) *hemlocktally.RefusedError {
	if len(s.order) == 0 {
		return notRun(hemlocktally.ReasonNoTarget, "no target of the service is known", leastAdvice)
	}
	open := s.openTo(msg.From, now)
	slots := open.slots
	if s.off(hemlocktally.MechanismAdmission) && slots > 0 {
		return nil
	}
	if slots == 0 {
		if refused := s.refuseClosed(msg.Request, open, now); refused != nil {
			return refused
		}
	}
	ahead := 0
	for _, w := range s.queue {
		if w.msg.Request.Priority >= msg.Request.Priority {
			ahead++
		}
	}
	usual := s.usual(msg.Request.Contract)
	wait := time.Duration(float64(ahead) * float64(usual) * s.mean / float64(max(1, slots)))
	inTime := msg.Request.Objective.Add(-s.likely(msg.Request.Contract))
	if now.Add(wait+usual).After(msg.Request.Deadline) || (wait > 0 && now.Add(wait).After(inTime)) {
		detail := fmt.Sprintf("%d calls before it and %d slots: a wait of %s and work of %s would end after the objective (%s left) or the deadline",
			ahead, slots, wait.Round(time.Millisecond), usual.Round(time.Millisecond), msg.Request.Objective.Sub(now).Round(time.Millisecond))
		return notRun(hemlocktally.ReasonShed, detail, s.advice(wait))
	}
	return nil
}

// refuseClosed refuses a call at once that no target takes now, unless one is back in
// time for a prompt answer.
func (s *State) refuseClosed(request hemlocktally.GrantRequest, open openings, now time.Time) *hemlocktally.RefusedError {
	spread := 1 + awaySpread*rand.Float64()
	switch {
	case open.cold:
		return nil // They take a few.
	case open.back == 0:
		return notRun(hemlocktally.ReasonNoTarget, "all targets leave or are out of service", s.advice(closedAdvice))
	case open.away:
		detail := fmt.Sprintf("all targets want nothing of this instance for %s", open.back.Round(time.Millisecond))
		return notRun(hemlocktally.ReasonShed, detail, time.Duration(spread*float64(open.back)))
	case now.Add(open.back + s.usual(request.Contract)).Before(request.Objective):
		return nil
	}
	detail := fmt.Sprintf("no target answers; the first one is tried again in %s", open.back.Round(time.Millisecond))
	return notRun(hemlocktally.ReasonNoTarget, detail, time.Duration(spread*float64(open.back)))
}

// openings are what the targets have to offer an instance.
type openings struct {
	slots int           // slots are those of targets that may take its calls now.
	back  time.Duration // back is the time until the first of the others may; zero where none will.
	away  bool          // away is set where that one itself wants nothing of the instance.
	cold  bool          // cold is set where a target that is cold takes calls.
}

func (s *State) openTo(from hemlocktally.InstanceID, now time.Time) openings {
	var o openings
	for _, t := range s.order {
		if !t.mayReturn() {
			continue
		}
		held, away := max(0, t.holdUntil.Sub(now)), t.awayFor(from, now)
		back := max(held, away)
		switch {
		case back == 0 && t.cold(now):
			o.cold = o.cold || !s.Alone
		case back == 0:
			o.slots += s.width(t, now)
		case o.back == 0 || back < o.back:
			o.back, o.away = back, away >= held
		}
	}
	return o
}

// advice is when to come back, spread so that not all come at once.
func (s *State) advice(wait time.Duration) time.Duration {
	spread := 0.75 + 0.5*rand.Float64()
	if s.off(hemlocktally.MechanismSpreadReturn) {
		spread = 1
	}
	return time.Duration(float64(min(mostAdvice, max(leastAdvice, wait))) * spread)
}
