package allocator

import (
	"fmt"
	"time"

	"hemlocktally"
)

// maxWaiting limits the length of the queue of one service.
const maxWaiting = 4096

// enqueue adds a request to the queue, or refuses it at once if it can't be
// served in time. If the queue is too long, it refuses a request of the lowest
// priority.
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

// shed refuses a waiter of normal priority with a late expiry, or the new
// request if there is none.
func (s *State) shed(newTicket uint64) []Command {
	ticket := newTicket
	if w := s.queue.latestNormal(); w != nil {
		ticket = w.msg.Ticket
	}
	s.queue.remove(ticket)
	detail := fmt.Sprintf("the queue is full: %d calls wait for service %s", s.queue.len(), s.Service)
	return []Command{RefuseCmd{Ticket: ticket, Error: refusal(hemlocktally.ReasonQueueFull, detail, s.estimateWait(s.queue.len()))}}
}

func (s *State) admit(r hemlocktally.GrantRequest, now time.Time) *hemlocktally.RefusedError {
	if !s.servable(r) {
		const retryAfter = time.Second
		return refusal(hemlocktally.ReasonNoTarget, fmt.Sprintf("no target of service %s is available for this request", s.Service), retryAfter)
	}
	wait := s.estimateWait(s.queue.countAhead(r.Priority))
	if wait > r.QueueLimit || now.Add(wait+s.latency.median).After(r.Deadline) {
		detail := fmt.Sprintf("%d calls are ahead in the queue of service %s, an expected wait of %s", s.queue.countAhead(r.Priority), s.Service, wait.Round(time.Millisecond))
		return refusal(hemlocktally.ReasonShed, detail, wait)
	}
	if b := s.budgets[r.Contract]; b != nil && !b.allow(r.Kind) {
		return refusal(hemlocktally.ReasonRetryBudget, fmt.Sprintf("the retry or hedge budget of contract %s is spent", r.Contract), 0)
	}
	return nil
}

func refusal(reason hemlocktally.Reason, detail string, after time.Duration) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

// servable reports whether any target in service that the request does not
// exclude is warm or cold. Draining targets don't count.
func (s *State) servable(r hemlocktally.GrantRequest) bool {
	for _, t := range s.targets {
		if !t.outOfService && !excluded(t, r) && (t.warm() || t.cold()) {
			return true
		}
	}
	return false
}

// estimateWait returns how long it takes to serve a number of waiters, from the
// median latency and the slots of warm targets. It is zero while the latency
// quantiles are unknown.
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

// refuseExpired refuses the requests that have reached their queue limit or
// deadline.
func (s *State) refuseExpired(now time.Time) []Command {
	var commands []Command
	for _, w := range s.queue.popExpired(now) {
		detail := fmt.Sprintf("no target of service %s was free within %s", s.Service, now.Sub(w.arrived).Round(time.Millisecond))
		commands = append(commands, RefuseCmd{Ticket: w.msg.Ticket, Error: refusal(hemlocktally.ReasonShed, detail, s.estimateWait(s.queue.len()))})
	}
	return commands
}
