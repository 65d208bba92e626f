// Package reserver keeps what callers make an instance hold within one memory budget, and the
// callers' connections within a number. Memory is reserved before it is used. Beyond the budget
// new work is refused, and the connections that move the fewest bytes are closed.
package reserver

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Costs of what callers make an instance hold, in bytes. TestCosts measures them.
const (
	ConnectionCost = 16 << 10 // ConnectionCost is the cost of an open connection: its goroutine and net/http's buffers.
	// RequestCost is the cost of a request that is being received or served, with
	// PlainHeadCost for its head: goroutines, records, and its part of a connection to a target.
	RequestCost   = 24 << 10
	PlainHeadCost = 8 << 10 // PlainHeadCost is the part of RequestCost for the head.
	// LineCost is the cost of a header line beyond its bytes: its entry in net/http's map, which
	// grows by doubling, and in the copy that is sent to the target.
	LineCost = 240
	// ByteCost is the cost of a byte of a head: it is buffered and then copied.
	ByteCost = 3
)

const (
	// softShare is the part of the limits beyond which slow connections are closed, and which
	// only addresses that hold little may exceed.
	softNumerator, softDenominator = 7, 8
	// lightShare is the part of the budget up to which an address holds little.
	lightShare = 16
	// freedShare is the part of the budget that slow connections are closed for at once.
	freedShare = 8
	// shedInterval is the least time between two searches for slow connections. A search looks
	// at all connections.
	shedInterval = 20 * time.Millisecond
	// replaceSample is how many connections are compared to find one to replace.
	replaceSample = 128
	// slowAfter is how long a connection has to receive or send before it counts as slow.
	slowAfter = 250 * time.Millisecond
)

// Reserver is the budget of one instance. Its zero value has no limits. It may be used
// concurrently. Its exported fields must be set before it is used.
type Reserver struct {
	Bytes       int64 // Bytes is the memory that callers may make the instance hold; zero means no limit.
	Connections int   // Connections is how many connections callers may have open; zero means no limit.
	// Report is called for the first refusal of each kind, and then at most once a second with
	// the number of refusals since; it may be nil.
	Report func(kind Kind, count uint64, address netip.Addr)

	mu        sync.Mutex
	used      int64
	holders   map[*Holder]struct{}
	addresses map[netip.Addr]*address
	nextShed  time.Time
	refusals  [kinds]refusals
}

// address sums what the connections of one client address hold.
type address struct {
	held        int64
	connections int
}

// Activity is what a connection waits for.
type Activity int32

// The activities of a connection.
const (
	Serving   Activity = iota // Serving waits for the instance or a target.
	Idle                      // Idle waits for the client's next request.
	Receiving                 // Receiving waits for the client to send more of its request.
	Sending                   // Sending waits for the client to read more of a response.
)

// Holder is what one connection holds. A nil Holder has no limits.
type Holder struct {
	reserver *Reserver
	key      netip.Addr
	address  *address
	evict    func(Activity)
	held     int64 // held is guarded by the mutex of reserver, like closed.
	closed   bool

	activity atomic.Int32
	since    atomic.Int64 // since is when the connection began to receive, to send or to be idle, in Unix nanoseconds.
	phase    atomic.Int32 // phase is the activity that since belongs to.
	moved    atomic.Int64 // moved is the number of bytes moved since then.
	evicted  atomic.Bool
}

// Open registers a connection and reserves its cost. If there are too many, one that waits for
// its client is evicted: of a random sample, the slowest one of the address with the most
// connections. Without one, nil is returned. The function that evicts a connection must not block.
func (r *Reserver) Open(client netip.Addr, evict func(Activity)) *Holder {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Connections > 0 && len(r.holders) >= r.Connections && !r.replace() {
		r.note(KindConnections, client)
		return nil
	}
	if r.holders == nil {
		r.holders, r.addresses = map[*Holder]struct{}{}, map[netip.Addr]*address{}
	}
	a := r.addresses[client]
	if a == nil {
		a = &address{}
		r.addresses[client] = a
	}
	h := &Holder{reserver: r, key: client, address: a, evict: evict}
	h.since.Store(time.Now().UnixNano())
	if !r.reserve(h, ConnectionCost) && (!r.replace() || !r.reserve(h, ConnectionCost)) {
		r.note(KindMemory, client)
		h.forget()
		return nil
	}
	a.connections++
	r.holders[h] = struct{}{}
	return h
}

// Shared returns a Holder for work that belongs to no connection of a caller, such as calls that
// other instances hand over. It is never evicted.
func (r *Reserver) Shared() *Holder { return &Holder{reserver: r, address: &address{}} }

// replace evicts one connection and no longer counts it. It reports whether there was one to
// evict.
func (r *Reserver) replace() bool {
	now := time.Now().UnixNano()
	var best *Holder
	seen := 0
	for h := range r.holders { // The order of a map is random.
		if !h.evictable() {
			continue
		}
		if best == nil || h.before(best, now) {
			best = h
		}
		if seen++; seen == replaceSample {
			break
		}
	}
	if best == nil {
		return false
	}
	best.evictNow(Idle)
	best.close()
	return true
}

// evictable reports whether the connection waits for its client.
func (h *Holder) evictable() bool {
	return !h.evicted.Load() && Activity(h.activity.Load()) != Serving
}

// before reports whether h is to be replaced rather than other: it belongs to an address with
// more connections, or has moved fewer bytes in its time.
func (h *Holder) before(other *Holder, now int64) bool {
	if h.address.connections != other.address.connections {
		return h.address.connections > other.address.connections
	}
	if a, b := h.rate(now), other.rate(now); a != b {
		return a < b
	}
	return h.since.Load() < other.since.Load()
}

// rate returns the bytes per second that the connection has moved in its current phase.
func (h *Holder) rate(now int64) float64 {
	return float64(h.moved.Load()) / time.Duration(max(1, now-h.since.Load())).Seconds()
}

// Reserve reserves memory for the connection. It returns false if the budget does not allow it;
// the work must then be refused.
func (h *Holder) Reserve(n int64) bool {
	if h == nil {
		return true
	}
	r := h.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserve(h, n) {
		return true
	}
	r.note(KindMemory, h.key)
	return false
}

// TryReserve is Reserve for work that is done later, or in another way, instead of being
// refused.
func (h *Holder) TryReserve(n int64) bool {
	if h == nil {
		return true
	}
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	return h.reserver.reserve(h, n)
}

func (r *Reserver) reserve(h *Holder, n int64) bool {
	if h.closed {
		return false
	}
	if r.Bytes > 0 {
		limit := r.Bytes / softDenominator * softNumerator
		if r.used+n > limit {
			r.shed()
		}
		if h.address.held <= r.Bytes/lightShare {
			limit = r.Bytes
		}
		if r.used+n > limit {
			return false
		}
	}
	r.used += n
	h.held += n
	h.address.held += n
	return true
}

// Release returns reserved memory to the budget.
func (h *Holder) Release(n int64) {
	if h == nil || n == 0 {
		return
	}
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	h.release(n)
}

func (h *Holder) release(n int64) {
	h.held -= n
	h.address.held -= n
	h.reserver.used -= n
	h.forget()
}

// forget drops the address once nothing is held for it.
func (h *Holder) forget() {
	if h.address.held == 0 && h.address.connections == 0 {
		delete(h.reserver.addresses, h.key)
	}
}

// Close ends the connection and releases its cost. What else was reserved has to be released by
// those who reserved it. Nothing more can be reserved.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	h.close()
}

func (h *Holder) close() {
	if h.closed {
		return
	}
	h.closed = true
	delete(h.reserver.holders, h)
	h.address.connections--
	h.release(ConnectionCost)
}

// shed evicts the slowest connections that hold more than an idle one, those of the addresses
// that hold most first. If there is none, it evicts an idle one.
func (r *Reserver) shed() {
	now := time.Now()
	if now.Before(r.nextShed) {
		return
	}
	r.nextShed = now.Add(shedInterval)
	var slow []*Holder
	for h := range r.holders {
		if h.evictable() && h.held > ConnectionCost && now.UnixNano()-h.since.Load() >= int64(slowAfter) {
			slow = append(slow, h)
		}
	}
	if len(slow) == 0 {
		r.replace()
		return
	}
	slices.SortFunc(slow, func(a, b *Holder) int {
		if a.address != b.address && a.address.held != b.address.held {
			return cmp.Compare(b.address.held, a.address.held)
		}
		return cmp.Compare(a.rate(now.UnixNano()), b.rate(now.UnixNano()))
	})
	freed := int64(0)
	for _, h := range slow {
		if freed >= r.Bytes/freedShare {
			return
		}
		freed += h.held
		h.evictNow(Activity(h.activity.Load()))
	}
}

// evictNow evicts the connection as if it had the activity: an idle one is closed at once.
func (h *Holder) evictNow(activity Activity) {
	h.evicted.Store(true)
	kind := KindSlow
	if Activity(h.activity.Load()) == Idle {
		kind = KindIdle
	}
	h.reserver.note(kind, h.key)
	go h.evict(activity)
}

// Evicted reports whether the connection is to be closed.
func (h *Holder) Evicted() bool { return h != nil && h.evicted.Load() }

// Wait notes that the connection waits for its client. Moved ends it.
func (h *Holder) Wait(activity Activity) {
	if h == nil {
		return
	}
	if h.phase.Swap(int32(activity)) != int32(activity) {
		h.since.Store(time.Now().UnixNano())
		h.moved.Store(0)
	}
	h.activity.Store(int32(activity))
}

// Moved notes that the client sent or took n bytes.
func (h *Holder) Moved(n int) {
	if h == nil {
		return
	}
	h.activity.Store(int32(Serving))
	h.moved.Add(int64(n))
}

// Note counts a refusal of another kind for the connection.
func (h *Holder) Note(kind Kind) {
	if h == nil {
		return
	}
	h.reserver.mu.Lock()
	defer h.reserver.mu.Unlock()
	h.reserver.note(kind, h.key)
}

type holderKey struct{}

// WithHolder returns a context for the requests of the connection.
func WithHolder(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// FromContext returns the Holder of the request's connection, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}
