package allocator

import (
	"container/heap"
	"time"

	"hemlocktally"
)

// waiter is a request that waits for a grant.
type waiter struct {
	msg       AcquireMsg
	arrived   time.Time
	expiresAt time.Time // expiresAt is when the request is refused.
	index     int       // index is its position in the heap.
}

func newWaiter(msg AcquireMsg, now time.Time) *waiter {
	expiresAt := now.Add(msg.Request.QueueLimit)
	if msg.Request.Deadline.Before(expiresAt) {
		expiresAt = msg.Request.Deadline
	}
	return &waiter{msg: msg, arrived: now, expiresAt: expiresAt}
}

// waiterHeap holds the waiters of one priority, the earliest expiry first. It
// implements heap.Interface.
type waiterHeap []*waiter

// Len returns the number of waiters.
func (h waiterHeap) Len() int { return len(h) }

// Less orders by expiry, then by ticket, which is the order of arrival.
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

// queue holds the waiters of a service by priority, then by expiry.
type queue struct {
	heaps   [2]waiterHeap // heaps holds high priority first.
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

// remove removes a waiter; an unknown ticket is ignored.
func (q *queue) remove(ticket uint64) {
	w, ok := q.tickets[ticket]
	if !ok {
		return
	}
	delete(q.tickets, ticket)
	heap.Remove(&q.heaps[heapIndex(w.msg.Request.Priority)], w.index)
}

// countAhead returns how many waiters would be served before a new one of the
// given priority.
func (q *queue) countAhead(p hemlocktally.Priority) int {
	if heapIndex(p) == 0 {
		return len(q.heaps[0])
	}
	return q.len()
}

// popExpired removes and returns the waiters that have expired.
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

// latestNormal returns the last element of the normal-priority heap, or nil. As
// a heap is only partly ordered, its expiry is late but not always the latest.
func (q *queue) latestNormal() *waiter {
	normal := q.heaps[1]
	if len(normal) == 0 {
		return nil
	}
	return normal[len(normal)-1]
}

// nextExpiry returns the earliest expiry, or the zero time if nobody waits.
func (q *queue) nextExpiry() time.Time {
	var next time.Time
	for _, l := range q.heaps {
		if len(l) > 0 && (next.IsZero() || l[0].expiresAt.Before(next)) {
			next = l[0].expiresAt
		}
	}
	return next
}

// oldestArrival returns the earlier arrival of the two waiters that are first in
// their heaps, or the zero time if nobody waits.
func (q *queue) oldestArrival() time.Time {
	var earliest time.Time
	for _, l := range q.heaps {
		if len(l) > 0 && (earliest.IsZero() || l[0].arrived.Before(earliest)) {
			earliest = l[0].arrived
		}
	}
	return earliest
}
