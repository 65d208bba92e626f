package allocator

import (
	"container/heap"
	"time"

	"hemlocktally"
)

// waiter is a request that waits for a turn.
type waiter struct {
	msg     AcquireMsg
	arrived time.Time
	limit   time.Time // limit is when it is refused.
	index   int       // index is its place in the heap.
}

func newWaiter(msg AcquireMsg, now time.Time) *waiter {
	limit := now.Add(msg.Request.QueueLimit)
	if msg.Request.Deadline.Before(limit) {
		limit = msg.Request.Deadline
	}
	return &waiter{msg: msg, arrived: now, limit: limit}
}

// line holds the waiters of one priority, the earliest limit first.
type line []*waiter

// Len returns the number of waiters.
func (l line) Len() int { return len(l) }

// Less orders by limit, then by arrival.
func (l line) Less(i, j int) bool {
	if l[i].limit.Equal(l[j].limit) {
		return l[i].msg.Ticket < l[j].msg.Ticket
	}
	return l[i].limit.Before(l[j].limit)
}

// Swap exchanges two waiters.
func (l line) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push adds a waiter at the end.
func (l *line) Push(x any) {
	w := x.(*waiter)
	w.index = len(*l)
	*l = append(*l, w)
}

// Pop removes the last waiter.
func (l *line) Pop() any {
	old := *l
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	return w
}

// queue holds the waiters of a service by priority, then by limit.
type queue struct {
	lines   [2]line // lines holds high priority first.
	tickets map[uint64]*waiter
}

func lineOf(p hemlocktally.Priority) int {
	if p >= hemlocktally.PriorityHigh {
		return 0
	}
	return 1
}

func (q *queue) len() int { return len(q.tickets) }

func (q *queue) push(w *waiter) {
	if q.tickets == nil {
		q.tickets = map[uint64]*waiter{}
	}
	q.tickets[w.msg.Ticket] = w
	heap.Push(&q.lines[lineOf(w.msg.Request.Priority)], w)
}

// remove takes a waiter out; one that does not wait is no error.
func (q *queue) remove(ticket uint64) {
	w, ok := q.tickets[ticket]
	if !ok {
		return
	}
	delete(q.tickets, ticket)
	heap.Remove(&q.lines[lineOf(w.msg.Request.Priority)], w.index)
}

// ahead returns how many waiters go before a new one of the priority.
func (q *queue) ahead(p hemlocktally.Priority) int {
	if lineOf(p) == 0 {
		return len(q.lines[0])
	}
	return q.len()
}

// expired takes out and returns the waiters whose limit has passed.
func (q *queue) expired(now time.Time) []*waiter {
	var out []*waiter
	for i := range q.lines {
		for len(q.lines[i]) > 0 && !now.Before(q.lines[i][0].limit) {
			w := q.lines[i][0]
			q.remove(w.msg.Ticket)
			out = append(out, w)
		}
	}
	return out
}

// last returns the waiter of normal priority with the latest limit among the
// last ones of the heap, or nil.
func (q *queue) last() *waiter {
	normal := q.lines[1]
	if len(normal) == 0 {
		return nil
	}
	return normal[len(normal)-1]
}

// nextLimit returns the earliest limit, or the zero time.
func (q *queue) nextLimit() time.Time {
	var next time.Time
	for _, l := range q.lines {
		if len(l) > 0 && (next.IsZero() || l[0].limit.Before(next)) {
			next = l[0].limit
		}
	}
	return next
}

// oldest returns when the first in line of either priority arrived, or the zero
// time.
func (q *queue) oldest() time.Time {
	var oldest time.Time
	for _, l := range q.lines {
		if len(l) > 0 && (oldest.IsZero() || l[0].arrived.Before(oldest)) {
			oldest = l[0].arrived
		}
	}
	return oldest
}
