package allocator

import (
	"fmt"
	"time"

	"hemlocktally"
)

// State holds the grants in flight, the waiting requests and the target states
// of one service. The zero value has no targets. Only Update changes it; it has
// no lock and reads no clock.
type State struct {
	Owner hemlocktally.InstanceID
	// Epoch is part of each grant ID, so that IDs differ from those of earlier processes of this owner.
	Epoch    string
	Service  hemlocktally.ServiceName
	Revision hemlocktally.Revision

	config  hemlocktally.Service
	targets []*targetTracker
	byName  map[hemlocktally.TargetName]*targetTracker
	queue   queue
	budgets map[hemlocktally.ContractName]*contractBudget
	probes  probeBudget
	latency latencyWindow
	// exclusivity tells until when only this owner may use cold targets and send probes.
	exclusivity ExclusivityMsg
	grantCount  uint64
	// grantOverhead is the time in seconds that a grant is held beyond the latency of its call.
	grantOverhead  movingAverage
	reportedStates map[hemlocktally.TargetName]hemlocktally.TargetState
	updatedAt      time.Time
}

// Update applies one message at the given time and returns the commands that
// the caller has to execute.
func (s *State) Update(msg any, now time.Time) []Command {
	s.updatedAt = now
	var commands []Command
	switch msg := msg.(type) {
	case ConfigurationMsg:
		s.configure(msg)
	case AcquireMsg:
		commands = s.enqueue(msg, now)
	case CancelMsg:
		s.queue.remove(msg.Ticket)
	case ResultMsg:
		s.completeGrant(msg, now)
	case ExclusivityMsg:
		s.exclusivity = msg
	case MembersMsg:
		s.releaseDeparted(msg)
	case ReconcileMsg:
		s.reconcile(msg)
	case ProbeMsg:
		s.recordProbe(msg, now)
	}
	s.releaseExpired(now)
	commands = append(commands, s.refuseExpired(now)...)
	commands = append(commands, s.issueGrants(now)...)
	commands = append(commands, s.issueProbes(now)...)
	commands = append(commands, s.stateChanges()...)
	return append(commands, s.checkInvariants(commands, now)...)
}

func (s *State) configure(msg ConfigurationMsg) {
	s.Service, s.Revision, s.config = msg.Service.Name, msg.Revision, msg.Service
	s.probes.perSecond = msg.Service.ProbeBudget()
	previous := s.byName
	s.byName = make(map[hemlocktally.TargetName]*targetTracker, len(msg.Service.Targets))
	s.targets = s.targets[:0:0]
	for _, target := range msg.Service.Targets {
		t := previous[target.Name]
		if t == nil || t.target.Address != target.Address {
			t = newTargetTracker()
		}
		if t.outOfService && !msg.OutOfService[target.Name] {
			t.transition(eventTurnCold, "it was put back into service")
		}
		t.target, t.outOfService = target, msg.OutOfService[target.Name]
		s.byName[target.Name] = t
		s.targets = append(s.targets, t)
	}
	s.configureBudgets(msg.Contracts)
}

func (s *State) configureBudgets(contracts []hemlocktally.Contract) {
	previous := s.budgets
	s.budgets = make(map[hemlocktally.ContractName]*contractBudget, len(contracts))
	for _, contract := range contracts {
		b := previous[contract.Name]
		if b == nil {
			b = newContractBudget(contract)
		}
		b.contract = contract
		s.budgets[contract.Name] = b
	}
}

// completeGrant releases a grant and records its result. A result for a grant
// that is no longer in flight is ignored, so a duplicate counts once.
func (s *State) completeGrant(msg ResultMsg, now time.Time) {
	t := s.byName[msg.Target]
	if t == nil {
		return
	}
	active, ok := t.inFlight[msg.Grant]
	if !ok {
		return
	}
	delete(t.inFlight, msg.Grant)
	t.recordResult(msg, &s.latency, now)
	if !active.issuedElsewhere && msg.Outcome == hemlocktally.AttemptDone {
		const sampleWeight, maxOverhead = 0.02, 0.02
		s.grantOverhead.add(min(maxOverhead, max(0, (now.Sub(active.started)-msg.Latency).Seconds())), sampleWeight)
	}
}

// reconcile makes the grants of one requester equal to the list that it reports.
func (s *State) reconcile(msg ReconcileMsg) {
	// A grant issued within this time before the list was requested may not have
	// reached its requester yet, so its absence from the list proves nothing.
	const deliveryTime = time.Second
	listed := make(map[hemlocktally.GrantID]bool, len(msg.Grants))
	for _, reported := range msg.Grants {
		listed[reported.Grant] = true
		t := s.byName[reported.Target]
		if t == nil {
			continue
		}
		if _, ok := t.inFlight[reported.Grant]; !ok && reported.Started.Before(msg.RequestedAt) {
			t.inFlight[reported.Grant] = activeGrant{requester: msg.Requester, started: reported.Started, deadline: reported.Deadline, issuedElsewhere: true}
		}
	}
	for _, t := range s.targets {
		for id, active := range t.inFlight {
			expected := active.issuedElsewhere || active.started.Before(msg.RequestedAt.Add(-deliveryTime))
			if active.requester == msg.Requester && !listed[id] && expected {
				delete(t.inFlight, id)
			}
		}
	}
	for _, name := range msg.Warm {
		if t := s.byName[name]; t != nil && t.cold() && t.lastHeard.IsZero() {
			t.transition(eventTurnWarm, "a previous owner reported it as warm")
		}
	}
}

// releaseDeparted releases the grants of requesters that have left the fleet.
// Grants on targets that are not warm are kept until their deadlines, because
// the requester may only be paused.
func (s *State) releaseDeparted(msg MembersMsg) {
	for _, t := range s.targets {
		for id, active := range t.inFlight {
			if !msg.Members[active.requester] && t.warm() {
				delete(t.inFlight, id)
			}
		}
	}
}

// releaseExpired releases the grants whose deadline passed more than a second
// ago.
func (s *State) releaseExpired(now time.Time) {
	const grace = time.Second
	for _, t := range s.targets {
		for id, active := range t.inFlight {
			if now.After(active.deadline.Add(grace)) {
				delete(t.inFlight, id)
			}
		}
	}
}

// stateChanges returns a command for each target whose state changed since the
// last update.
func (s *State) stateChanges() []Command {
	var commands []Command
	if s.reportedStates == nil {
		s.reportedStates = map[hemlocktally.TargetName]hemlocktally.TargetState{}
	}
	for _, t := range s.targets {
		if state := t.state(); s.reportedStates[t.target.Name] != state {
			s.reportedStates[t.target.Name] = state
			commands = append(commands, StateChangeCmd{Target: t.target.Name, State: state, Reason: t.reason})
		}
	}
	return commands
}

// InFlight returns the number of grants in flight on a target, or zero for an
// unknown target.
func (s *State) InFlight(name hemlocktally.TargetName) int {
	if t := s.byName[name]; t != nil {
		return len(t.inFlight)
	}
	return 0
}

func (s *State) nextGrantID() hemlocktally.GrantID {
	s.grantCount++
	return hemlocktally.GrantID(fmt.Sprintf("%s/%s/%s/%d", s.Owner, s.Epoch, s.Service, s.grantCount))
}

// needsExclusivity reports whether any target in service is not warm, and so
// gets work only while this owner is the only one.
func (s *State) needsExclusivity() bool {
	for _, t := range s.targets {
		if !t.outOfService && !t.warm() {
			return true
		}
	}
	return false
}
