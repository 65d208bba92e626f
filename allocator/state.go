package allocator

import (
	"fmt"
	"time"

	"hemlocktally"
)

// State is the tally of one service. Its zero value has no targets. It is
// changed by Update alone and holds no lock and no clock.
type State struct {
	Owner    hemlocktally.InstanceID
	Epoch    string // Epoch tells the grants of this owner from those of its earlier lives.
	Service  hemlocktally.ServiceName
	Revision hemlocktally.Revision

	config   hemlocktally.Service
	targets  []*tally
	byName   map[hemlocktally.TargetName]*tally
	queue    queue
	budgets  map[hemlocktally.ContractName]*contractBudget
	probes   probeBudget
	latency  window
	standing StandingMsg // standing is until when cold targets and probes are this owner's alone.
	granted  uint64
	idle     average // idle is the time in seconds that a turn takes beyond its call.
	states   map[hemlocktally.TargetName]hemlocktally.TargetState
	asOf     time.Time
}

// Update takes one message at the given time and returns what is to be done.
func (s *State) Update(msg any, now time.Time) []Command {
	s.asOf = now
	var commands []Command
	switch msg := msg.(type) {
	case ConfigurationMsg:
		s.configure(msg)
	case AcquireMsg:
		commands = s.enqueue(msg, now)
	case CancelMsg:
		s.queue.remove(msg.Ticket)
	case ResultMsg:
		s.finish(msg, now)
	case StandingMsg:
		s.standing = msg
	case MembersMsg:
		s.forget(msg)
	case RecallMsg:
		s.recall(msg)
	case ProbeMsg:
		s.measured(msg, now)
	}
	s.lapse(now)
	commands = append(commands, s.expire(now)...)
	commands = append(commands, s.grant(now)...)
	commands = append(commands, s.probe(now)...)
	commands = append(commands, s.changes()...)
	return append(commands, s.check(commands, now)...)
}

func (s *State) configure(msg ConfigurationMsg) {
	s.Service, s.Revision, s.config = msg.Service.Name, msg.Revision, msg.Service
	s.probes.perSec = msg.Service.ProbeBudget()
	present := s.byName
	s.byName = make(map[hemlocktally.TargetName]*tally, len(msg.Service.Targets))
	s.targets = s.targets[:0:0]
	for _, target := range msg.Service.Targets {
		t := present[target.Name]
		if t == nil || t.target.Address != target.Address {
			t = newTally()
		}
		if t.out && !msg.Out[target.Name] {
			t.fire(eventChill, "it came back")
		}
		t.target, t.out = target, msg.Out[target.Name]
		s.byName[target.Name] = t
		s.targets = append(s.targets, t)
	}
	s.configureBudgets(msg.Contracts)
}

func (s *State) configureBudgets(contracts []hemlocktally.Contract) {
	present := s.budgets
	s.budgets = make(map[hemlocktally.ContractName]*contractBudget, len(contracts))
	for _, contract := range contracts {
		b := present[contract.Name]
		if b == nil {
			b = newContractBudget(contract)
		}
		b.contract = contract
		s.budgets[contract.Name] = b
	}
}

// finish takes a turn back. A result that is told twice counts once.
func (s *State) finish(msg ResultMsg, now time.Time) {
	t := s.byName[msg.Target]
	if t == nil {
		return
	}
	held, ok := t.inFlight[msg.Grant]
	if !ok {
		return
	}
	delete(t.inFlight, msg.Grant)
	t.learn(msg, &s.latency, now)
	if !held.foreign && msg.Outcome == hemlocktally.AttemptDone {
		const weight, longest = 0.02, 0.02
		s.idle.add(min(longest, max(0, (now.Sub(held.started)-msg.Latency).Seconds())), weight)
	}
}

// recall makes the tally equal to what one entry says that it has in use.
func (s *State) recall(msg RecallMsg) {
	// A turn granted this shortly before may not have reached its entry yet.
	const onTheWay = time.Second
	listed := make(map[hemlocktally.GrantID]bool, len(msg.Turns))
	for _, used := range msg.Turns {
		listed[used.Grant] = true
		t := s.byName[used.Target]
		if t == nil {
			continue
		}
		if _, ok := t.inFlight[used.Grant]; !ok && used.Started.Before(msg.Asked) {
			t.inFlight[used.Grant] = turn{from: msg.From, started: used.Started, deadline: used.Deadline, foreign: true}
		}
	}
	for _, t := range s.targets {
		for id, held := range t.inFlight {
			gone := held.foreign || held.started.Before(msg.Asked.Add(-onTheWay))
			if held.from == msg.From && !listed[id] && gone {
				delete(t.inFlight, id)
			}
		}
	}
	for _, name := range msg.Warm {
		if t := s.byName[name]; t != nil && t.cold() && t.heardAt.IsZero() {
			t.fire(eventWarm, "an earlier owner knew it to be warm")
		}
	}
}

// forget frees the turns of entries that have left the fleet. Those on cold
// targets are kept until their deadlines, because the entry may only be paused.
func (s *State) forget(msg MembersMsg) {
	for _, t := range s.targets {
		for id, held := range t.inFlight {
			if !msg.Members[held.from] && t.warm() {
				delete(t.inFlight, id)
			}
		}
	}
}

// lapse frees the turns whose deadline is long over.
func (s *State) lapse(now time.Time) {
	const grace = time.Second
	for _, t := range s.targets {
		for id, held := range t.inFlight {
			if now.After(held.deadline.Add(grace)) {
				delete(t.inFlight, id)
			}
		}
	}
}

// changes tells which targets changed their state since the last step.
func (s *State) changes() []Command {
	var commands []Command
	if s.states == nil {
		s.states = map[hemlocktally.TargetName]hemlocktally.TargetState{}
	}
	for _, t := range s.targets {
		if state := t.state(); s.states[t.target.Name] != state {
			s.states[t.target.Name] = state
			commands = append(commands, StateCmd{Target: t.target.Name, State: state, Reason: t.reason})
		}
	}
	return commands
}

// InFlight returns the number of turns in use on a target.
func (s *State) InFlight(name hemlocktally.TargetName) int {
	if t := s.byName[name]; t != nil {
		return len(t.inFlight)
	}
	return 0
}

func (s *State) nextID() hemlocktally.GrantID {
	s.granted++
	return hemlocktally.GrantID(fmt.Sprintf("%s/%s/%s/%d", s.Owner, s.Epoch, s.Service, s.granted))
}

// needsStanding reports whether a target waits for this owner to be the only
// one.
func (s *State) needsStanding() bool {
	for _, t := range s.targets {
		if !t.out && !t.warm() {
			return true
		}
	}
	return false
}
