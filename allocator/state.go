package allocator

import (
	"fmt"
	"slices"
	"time"

	"hemlocktally"
)

// State is the tally of one service. Its zero value has no targets.
type State struct {
	Owner    hemlocktally.InstanceID
	Service  hemlocktally.ServiceName
	Revision hemlocktally.Revision

	targets []*targetTally
	waiting []waiter // waiting is ordered by priority, then by arrival.
	granted uint64
}

type targetTally struct {
	target   hemlocktally.Target
	out      bool
	draining bool
	inFlight map[hemlocktally.GrantID]time.Time
}

type waiter struct {
	msg     AcquireMsg
	arrived time.Time
}

// maxWaiting bounds the queue of one service.
const maxWaiting = 4096

// Update takes one message at the given time and returns what is to be done.
func (s *State) Update(msg any, now time.Time) []Command {
	switch msg := msg.(type) {
	case ConfigurationMsg:
		s.configure(msg)
	case AcquireMsg:
		if refused := s.enqueue(msg, now); refused != nil {
			return []Command{RefuseCmd{Ticket: msg.Ticket, Error: refused}}
		}
	case CancelMsg:
		s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.msg.Ticket == msg.Ticket })
	case ResultMsg:
		s.finish(msg)
	}
	return append(s.expire(now), s.grant(now)...)
}

// InFlight returns the number of turns in use on a target.
func (s *State) InFlight(name hemlocktally.TargetName) int {
	for _, t := range s.targets {
		if t.target.Name == name {
			return len(t.inFlight)
		}
	}
	return 0
}

func (s *State) configure(msg ConfigurationMsg) {
	s.Service = msg.Service.Name
	s.Revision = msg.Revision
	next := make([]*targetTally, 0, len(msg.Service.Targets))
	for _, target := range msg.Service.Targets {
		t := s.find(target.Name)
		if t == nil {
			t = &targetTally{inFlight: map[hemlocktally.GrantID]time.Time{}}
		}
		t.target = target
		t.out = msg.Out[target.Name]
		next = append(next, t)
	}
	s.targets = next
}

func (s *State) find(name hemlocktally.TargetName) *targetTally {
	for _, t := range s.targets {
		if t.target.Name == name {
			return t
		}
	}
	return nil
}

func (s *State) enqueue(msg AcquireMsg, now time.Time) *hemlocktally.RefusedError {
	if len(s.waiting) >= maxWaiting {
		return &hemlocktally.RefusedError{
			Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonQueueFull,
			Detail: fmt.Sprintf("%d calls wait for %s", len(s.waiting), s.Service),
		}
	}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].msg.Request.Priority < msg.Request.Priority {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, waiter{msg: msg, arrived: now})
	return nil
}

func (s *State) finish(msg ResultMsg) {
	t := s.find(msg.Target)
	if t == nil {
		return
	}
	delete(t.inFlight, msg.Grant)
	t.draining = msg.SaidDraining
}

// expire refuses the requests that have waited for too long.
func (s *State) expire(now time.Time) []Command {
	var refused []Command
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		request := w.msg.Request
		if now.Before(request.Deadline) && now.Sub(w.arrived) <= request.QueueLimit {
			return false
		}
		refused = append(refused, RefuseCmd{Ticket: w.msg.Ticket, Error: &hemlocktally.RefusedError{
			Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonShed,
			Detail: fmt.Sprintf("no target of %s was free within %s", s.Service, request.QueueLimit),
		}})
		return true
	})
	return refused
}

// grant gives free turns to the waiting requests in their order.
func (s *State) grant(now time.Time) []Command {
	var granted []Command
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool {
		t := s.choose(w.msg.Request.Exclude)
		if t == nil {
			return false
		}
		s.granted++
		id := hemlocktally.GrantID(fmt.Sprintf("%s/%s/%d", s.Owner, s.Service, s.granted))
		t.inFlight[id] = now
		granted = append(granted, GrantCmd{Ticket: w.msg.Ticket, Grant: hemlocktally.Grant{
			ID: id, Service: s.Service, Target: t.target, Owner: s.Owner, Revision: s.Revision,
			Deadline: w.msg.Request.Deadline, Waited: now.Sub(w.arrived),
		}})
		return true
	})
	return granted
}

// choose returns the target with the most free slots, or nil.
func (s *State) choose(exclude []hemlocktally.TargetName) *targetTally {
	var best *targetTally
	bestFree := 0
	for _, t := range s.targets {
		free := t.target.SlotCount() - len(t.inFlight)
		if t.out || t.draining || free <= bestFree || slices.Contains(exclude, t.target.Name) {
			continue
		}
		best, bestFree = t, free
	}
	return best
}
