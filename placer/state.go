package placer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// State decides for one service. Its zero value has no targets. It is changed
// by Update alone and holds no lock and no clock.
type State struct {
	Owner  hemlocktally.InstanceID
	Epoch  string // Epoch tells the turns of this life of the owner from earlier ones.
	Alone  bool   // Alone is set where the state decides for one instance without the owner.
	Bounds Bounds

	service   hemlocktally.Service
	revision  hemlocktally.Revision
	targets   map[hemlocktally.TargetName]*tally
	order     []*tally
	zones     map[hemlocktally.ZoneName][]*tally // zones holds the targets of each zone, in the same order.
	queue     []*waiter
	spent     retryWindow
	work      map[hemlocktally.ContractName]*estimate
	mean      float64 // mean is the moving mean of the reported paces.
	granted   uint64
	probes    uint64
	lapsedAt  time.Time
	examined  uint64 // examined counts the targets that choices looked at.
	occupancy occupancy
	// instances is how many instances there seem to be.
	instances int
}

// waiter is a question in the queue.
type waiter struct {
	msg     AskMsg
	arrived time.Time
	probeBy time.Time // probeBy is until when answers about load are awaited.
	probed  int       // probed counts the rounds of questions made for it.
	asked   []*tally  // asked holds the targets of the last round.
}

const (
	usualWork     = 100 * time.Millisecond // usualWork is expected of a contract before its first answer.
	workWeight    = 0.05
	meanWeight    = 0.02
	keepPlace     = 80 * time.Millisecond // keepPlace is how long a waiter keeps its place after its last answer.
	turnGrace     = 100 * time.Millisecond
	lapseInterval = 5 * time.Millisecond // lapseInterval is the time between two searches for turns that are over: a busy owner has thousands of messages a second.
	outlierFactor = 4
	widthLasts    = 20 * time.Millisecond // widthLasts is how long a target's width is kept before it is worked out again.
	enoughSamples = 30                    // enoughSamples is how many samples a reference is taken of.
	hedgeShare    = 0.5
	calmShare     = 0.25 // calmShare is the part for second attempts whose first one runs on a calm target.
	fewestAlone   = 16   // fewestAlone is how many instances are taken to decide alone at the least.
)

// estimate is a moving mean. Single samples count no more than a few times it.
type estimate struct {
	seconds float64
	samples int
	// reference is the mean of the first samples, by which work of several contracts
	// is compared; it stays, so that what is compared with it does not drift.
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

// Update takes one message at the given time and returns what is to be done.
func (s *State) Update(msg any, now time.Time) []any {
	if s.targets == nil {
		s.targets = map[hemlocktally.TargetName]*tally{}
		s.work = map[hemlocktally.ContractName]*estimate{}
		s.mean = unknownPace
	}
	var commands []any
	switch msg := msg.(type) {
	case TargetsMsg:
		s.configure(msg, now)
	case AskMsg:
		commands = s.ask(msg, now)
	case LeaveMsg:
		s.drop(msg.Ticket)
	case EndMsg:
		s.end(msg.Result, now)
	case LoadMsg:
		s.load(msg, now)
	case TickMsg:
	}
	s.lapse(now)
	commands = append(commands, s.place(now)...)
	return append(commands, s.hold(now)...)
}

// Waiting returns how many calls wait.
func (s *State) Waiting() int { return len(s.queue) }

func (s *State) configure(msg TargetsMsg, now time.Time) {
	s.service, s.revision, s.instances = msg.Service, msg.Revision, msg.Instances
	present := make(map[hemlocktally.TargetName]bool, len(msg.Targets))
	for _, r := range msg.Targets {
		present[r.Target.Name] = true
		t := s.targets[r.Target.Name]
		if t == nil || t.target.Started != r.Target.Started || t.target.Address != r.Target.Address {
			t = &tally{turns: map[hemlocktally.GrantID]turn{}, links: map[hemlocktally.InstanceID]idleLinks{}, joined: len(s.order) > 0}
			s.targets[r.Target.Name] = t
		}
		if r.ColdFor > 0 && t.registration.ColdFor != r.ColdFor {
			t.coldUntil = later(t.coldUntil, now.Add(r.ColdFor))
		}
		t.registration, t.target = r, r.Target
		if t.target.MaxConnections == 0 {
			t.target.MaxConnections = msg.Service.MaxConnections
		}
		t.out = msg.Out[r.Target.Zone]
	}
	maps.DeleteFunc(s.targets, func(name hemlocktally.TargetName, _ *tally) bool { return !present[name] })
	s.order = slices.SortedFunc(maps.Values(s.targets), func(a, b *tally) int { return cmp.Compare(a.target.Name, b.target.Name) })
	s.zones = map[hemlocktally.ZoneName][]*tally{}
	for n, t := range s.order {
		t.number = n
		s.zones[t.target.Zone] = append(s.zones[t.target.Zone], t)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ask puts a question into the queue, or takes up one that waits there.
func (s *State) ask(msg AskMsg, now time.Time) []any {
	for _, w := range s.queue {
		if w.msg.Ticket == msg.Ticket {
			w.msg = msg
			return nil
		}
	}
	switch {
	case msg.Request.Kind == hemlocktally.AttemptHedge && s.off(hemlocktally.MechanismSecondAttempts):
		return []any{RefuseCmd{Ticket: msg.Ticket, Error: notRun(hemlocktally.ReasonShed, "second attempts are off", 0)}}
	case msg.Request.Kind == hemlocktally.AttemptFirst:
		s.spent.call(now, s.Bounds.RetryWindow)
	case !s.spent.room(now, s.ownBounds(), budgetShare(msg.Request.Kind)):
		return []any{RefuseCmd{Ticket: msg.Ticket, Error: notRun(hemlocktally.ReasonRetryBudget, "the budget for sending once more is spent", 0)}}
	}
	if refused := s.admit(msg, now); refused != nil {
		return []any{RefuseCmd{Ticket: msg.Ticket, Error: refused}}
	}
	w := &waiter{msg: msg, arrived: now}
	order := goesBefore
	if s.off(hemlocktally.MechanismPriorityOrder) {
		order = func(a, b *waiter) int { return a.arrived.Compare(b.arrived) }
	}
	i, _ := slices.BinarySearchFunc(s.queue, w, order)
	s.queue = slices.Insert(s.queue, i, w)
	return nil
}

// budgetShare is the part of the retry budget that a kind of attempt may use:
// second attempts beside a slow one leave room for those after a failure.
func budgetShare(kind hemlocktally.AttemptKind) float64 {
	if kind == hemlocktally.AttemptHedge {
		return hedgeShare
	}
	return 1
}

// ownBounds are the bounds of this decider: one that decides alone is one of
// many.
func (s *State) ownBounds() Bounds {
	bounds := s.Bounds
	if s.Alone {
		bounds.RetrySlack /= float64(max(fewestAlone, s.instances))
	}
	return bounds
}

// goesBefore orders waiters by priority, then by their objective.
func goesBefore(a, b *waiter) int {
	if c := cmp.Compare(b.msg.Request.Priority, a.msg.Request.Priority); c != 0 {
		return c
	}
	return a.msg.Request.Objective.Compare(b.msg.Request.Objective)
}

func (s *State) drop(ticket string) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool { return w.msg.Ticket == ticket })
}

// end takes a turn back and learns from its answer.
func (s *State) end(result hemlocktally.GrantResult, now time.Time) {
	t := s.targets[result.Grant.Target.Name]
	if t == nil {
		return
	}
	held, ok := t.turns[result.Grant.ID]
	delete(t.turns, result.Grant.ID)
	t.left = t.left || result.SaidDraining
	if ok && result.StayAway > 0 {
		t.stayAway(held.from, result.StayAway, now)
	}
	t.ended(result, now)
	if ok && result.Outcome == hemlocktally.AttemptDone {
		t.linkIsIdle(held.from, now)
		if held.pace > 0 && !t.cold(now) {
			s.learn(held, result.Latency.Seconds()/held.pace, now)
		}
	}
}

// learn takes over how long work took, as a multiple of the pace.
func (s *State) learn(held turn, seconds float64, now time.Time) {
	e := s.estimate(held.contract)
	if e.reference > 0 {
		s.occupancy.add(held.at, seconds/e.reference, now)
	}
	e.add(seconds / s.occupancy.slowdown(held.at, now))
	if e.reference == 0 && e.samples >= enoughSamples {
		e.reference = e.seconds
	}
}

// off reports whether a mechanism is left off.
func (s *State) off(mechanism hemlocktally.Mechanism) bool { return s.Bounds.Off.Has(mechanism) }

// width is how many calls at once the target gets: fewer than it has slots where
// nearly as much is done with fewer.
func (s *State) width(t *tally, now time.Time) int {
	if s.off(hemlocktally.MechanismWidth) {
		return t.target.SlotCount()
	}
	if now.Sub(t.widthAt) >= widthLasts {
		t.width, t.widthAt = s.occupancy.width(t.number, t.target.SlotCount(), now), now
	}
	return t.width
}

func (s *State) estimate(contract hemlocktally.ContractName) *estimate {
	e := s.work[contract]
	if e == nil {
		e = &estimate{}
		s.work[contract] = e
	}
	return e
}

// usual is how long a contract's work takes at the usual pace.
func (s *State) usual(contract hemlocktally.ContractName) time.Duration {
	if e := s.work[contract]; e != nil && e.samples > 0 {
		return time.Duration(e.seconds * float64(time.Second))
	}
	return usualWork
}

// load takes over a target's answer to a question about its load.
func (s *State) load(msg LoadMsg, now time.Time) {
	t := s.targets[msg.Target]
	if t == nil {
		return
	}
	t.probing = false
	switch {
	case msg.Failed:
		t.unreachable(now)
		return
	case msg.Answer.Elsewhere:
		t.holdUntil = now.Add(elsewhereHold)
		return
	case msg.Answer.Leaving:
		t.left = true
		return
	case msg.Answer.Draining:
		t.suspect = true
		t.holdUntil = now.Add(firstHold)
		return
	}
	t.heard(msg.Answer, now)
	if load := msg.Answer.Load; load != nil {
		t.others, t.othersAt = max(0, load.Running+load.Waiting-len(t.turns)), now
		s.mean += meanWeight * (load.Pace - s.mean)
	}
}

// lapse frees turns whose deadline is over, and the places of waiters that did
// not ask again.
func (s *State) lapse(now time.Time) {
	if now.Sub(s.lapsedAt) >= lapseInterval {
		s.lapsedAt = now
		for _, t := range s.order {
			maps.DeleteFunc(t.turns, func(_ hemlocktally.GrantID, held turn) bool { return now.After(held.deadline.Add(turnGrace)) })
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(w *waiter) bool { return now.After(w.msg.Hold.Add(keepPlace)) })
}

// hold answers the waiters whose answer is due that they have to ask again.
func (s *State) hold(now time.Time) []any {
	var commands []any
	for _, w := range s.queue {
		if w.attached() && !now.Before(w.msg.Hold) {
			commands = append(commands, HoldCmd{Ticket: w.msg.Ticket})
			w.msg.From = ""
		}
	}
	return commands
}

// attached reports whether somebody waits for an answer to the waiter now.
func (w *waiter) attached() bool { return w.msg.From != "" }

func (s *State) nextID() hemlocktally.GrantID {
	s.granted++
	return hemlocktally.GrantID(fmt.Sprintf("%s/%s/%d", s.Owner, s.Epoch, s.granted))
}

func notRun(reason hemlocktally.Reason, detail string, retryAfter time.Duration) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}
