package allocator

import (
	"container/heap"
	"time"

	"hemlocktally"
)

// waiter is a request that waits for a turn.
type waiter struct {
	msg       AcquireMsg
	arrived   time.Time
	expiresAt time.Time // limit is when it is refused.
	index     int       // index is its place in the heap.
}

func newWaiter(msg AcquireMsg, now time.Time) *waiter {
	expiresAt := now.Add(msg.Request.QueueLimit)
	if msg.Request.Deadline.Before(expiresAt) {
		expiresAt = msg.Request.Deadline
	}
	return &waiter{msg: msg, arrived: now, expiresAt: expiresAt}
}

// line holds the waiters of one priority, the earliest limit first.
type waiterHeap []*waiter

// Len returns the number of waiters.
func (h waiterHeap) Len() int { return len(h) }

// Less orders by limit, then by arrival.
func (h waiterHeap) Less(i, j int) bool {
	if h[i].expiresAt.Equal(h[j].expiresAt) {
		return h[i].msg.Ticket < h[j].msg.Ticket
	}
	return h[i].expiresAt.Before(h[j].expiresAt)
}

// Swap exchanges two waiters.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a waiter at the end.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// queue holds the waiters of a service by priority, then by limit.
type queue struct {
	heaps   [2]waiterHeap // lines holds high priority first.
	tickets map[uint64]*waiter
}

func heapIndex(p hemlocktally.Priority) int {
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
	heap.Push(&q.heaps[heapIndex(w.msg.Request.Priority)], w)
}

// remove takes a waiter out; one that does not wait is no error.
func (q *queue) remove(ticket uint64) {
	w, ok := q.tickets[ticket]
	if !ok {
		return
	}
	delete(q.tickets, ticket)
	heap.Remove(&q.heaps[heapIndex(w.msg.Request.Priority)], w.index)
}

// ahead returns how many waiters go before a new one of the priority.
func (q *queue) countAhead(p hemlocktally.Priority) int {
	if heapIndex(p) == 0 {
		return len(q.heaps[0])
	}
	return q.len()
}

// expired takes out and returns the waiters whose limit has passed.
func (q *queue) popExpired(now time.Time) []*waiter {
	var out []*waiter
	for i := range q.heaps {
		for len(q.heaps[i]) > 0 && !now.Before(q.heaps[i][0].expiresAt) {
			w := q.heaps[i][0]
			q.remove(w.msg.Ticket)
			out = append(out, w)
		}
	}
	return out
}

// last returns the waiter of normal priority with the latest limit among the
// last ones of the heap, or nil.
func (q *queue) latestNormal() *waiter {
	normal := q.heaps[1]
	if len(normal) == 0 {
		return nil
	}
	return normal[len(normal)-1]
}

// nextLimit returns the earliest limit, or the zero time.
func (q *queue) nextExpiry() time.Time {
	var next time.Time
	for _, l := range q.heaps {
		if len(l) > 0 && (next.IsZero() || l[0].expiresAt.Before(next)) {
			next = l[0].expiresAt
		}
	}
	return next
}

// oldest returns when the first in line of either priority arrived, or the zero
// time.
func (q *queue) earliest() time.Time {
	var earliest time.Time
	for _, l := range q.heaps {
		if len(l) > 0 && (earliest.IsZero() || l[0].arrived.Before(earliest)) {
			earliest = l[0].arrived
		}
	}
	return earliest
}
