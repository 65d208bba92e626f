package allocator

import (
	"fmt"
	"time"

	"hemlocktally"
)

// maxWaiting bounds the queue of one service.
const maxWaiting = 4096

// enqueue puts a request into the queue, or refuses it at once where it can't
// be served in time.
func (s *State) enqueue(msg AcquireMsg, now time.Time) []Command {
	if refused := s.admit(msg.Request, now); refused != nil {
		return []Command{RefuseCmd{Ticket: msg.Ticket, Error: refused}}
	}
	s.queue.push(newWaiter(msg, now))
	if s.queue.len() <= maxWaiting {
		return nil
	}
	return s.shed(msg.Ticket)
}

// shed refuses one of the lowest priority, or the newcomer.
func (s *State) shed(newTicket uint64) []Command {
	ticket := newTicket
	if w := s.queue.latestNormal(); w != nil {
		ticket = w.msg.Ticket
	}
	s.queue.remove(ticket)
	detail := fmt.Sprintf("%d calls wait for %s", s.queue.len(), s.Service)
	return []Command{RefuseCmd{Ticket: ticket, Error: refusal(hemlocktally.ReasonQueueFull, detail, s.estimateWait(s.queue.len()))}}
}

func (s *State) admit(r hemlocktally.GrantRequest, now time.Time) *hemlocktally.RefusedError {
	if !s.servable(r) {
		const retryAfter = time.Second
		return refusal(hemlocktally.ReasonNoTarget, fmt.Sprintf("no target of %s takes this work", s.Service), retryAfter)
	}
	wait := s.estimateWait(s.queue.countAhead(r.Priority))
	if wait > r.QueueLimit || now.Add(wait+s.latency.median).After(r.Deadline) {
		detail := fmt.Sprintf("%d calls go before it at %s, for about %s", s.queue.countAhead(r.Priority), s.Service, wait.Round(time.Millisecond))
		return refusal(hemlocktally.ReasonShed, detail, wait)
	}
	if b := s.budgets[r.Contract]; b != nil && !b.allow(r.Kind) {
		return refusal(hemlocktally.ReasonRetryBudget, fmt.Sprintf("contract %s has no further attempts left", r.Contract), 0)
	}
	return nil
}

func refusal(reason hemlocktally.Reason, detail string, after time.Duration) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// servable reports whether any target may take the request, now or soon.
func (s *State) servable(r hemlocktally.GrantRequest) bool {
	for _, t := range s.targets {
		if !t.outOfService && !excluded(t, r) && (t.warm() || t.cold()) {
			return true
		}
	}
	return false
}

// wait returns how long a number of waiters takes to be served. It is zero
// while nothing is known of the service's times.
func (s *State) estimateWait(waiters int) time.Duration {
	if waiters == 0 || !s.latency.hasQuantiles() {
		return 0
	}
	slots := 0
	for _, t := range s.targets {
		if t.warm() && !t.outOfService {
			slots += t.target.SlotCount()
		}
	}
	return time.Duration(waiters) * s.latency.median / time.Duration(max(1, slots))
}

// expire refuses the requests that have waited for too long.
func (s *State) refuseExpired(now time.Time) []Command {
	var commands []Command
	for _, w := range s.queue.popExpired(now) {
		detail := fmt.Sprintf("no target of %s was free within %s", s.Service, now.Sub(w.arrived).Round(time.Millisecond))
		commands = append(commands, RefuseCmd{Ticket: w.msg.Ticket, Error: refusal(hemlocktally.ReasonShed, detail, s.estimateWait(s.queue.len()))})
	}
	return commands
}
