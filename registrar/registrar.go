// Package registrar keeps the membership view of the fleet. Each instance holds a
// record with a lease in the store and sends heartbeats to a few peers, which
// carry updates about other members. Only a few instances per zone watch the
// store. State makes every decision without I/O; Registrar runs it and does the I/O.
package registrar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// Registrar registers one instance and tracks the other members. It implements
// hemlocktally.ViewSource and messenger.Membership.
type Registrar struct {
	Store hemlocktally.Store
	Self  hemlocktally.Instance
	// Configuration tells whether the instance or its zone is out of service; nil
	// means that it is in service.
	Configuration hemlocktally.ConfigurationSource
	// ActiveRevision returns the revision that the instance acts on and reports; nil
	// means the revision of Configuration.
	ActiveRevision func() hemlocktally.Revision
	// HTTP sends requests to peers and adds the peer key; nil means
	// http.DefaultClient.
	HTTP *http.Client
	// InstanceList is the base URL of the platform's list of instances; empty
	// means none.
	InstanceList string
	// LeaseTTL is how long the store keeps a record whose lease is not renewed;
	// zero means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// Seed seeds the random choice of peers. It should differ between instances.
	Seed uint64
	// OnSizeChange is called with the number of members whenever that changes; it may be
	// nil.
	OnSizeChange func(members int)
	Log          logger.Logger

	once     sync.Once
	inbox    chan Msg
	done     chan struct{}
	view     atomic.Pointer[hemlocktally.View]
	lease    atomic.Pointer[heldLease]
	messages atomic.Uint64
	bytes    atomic.Uint64
}

const (
	tickInterval = 50 * time.Millisecond
	// publishInterval is the longest time between published views. It bounds the
	// age of their HeardAt times.
	publishInterval = time.Second
	inboxSize       = 256
)

// heartbeatCall is a HeartbeatMsg with the channel for its reply.
type heartbeatCall struct {
	msg   HeartbeatMsg
	reply chan *messenger.BeatMessage
}

func (r *Registrar) init() {
	r.once.Do(func() {
		r.inbox = make(chan Msg, inboxSize)
		r.done = make(chan struct{})
	})
}

// View returns the current view, which always contains the instance itself.
func (r *Registrar) View() hemlocktally.View {
	if view := r.view.Load(); view != nil {
		return *view
	}
	return hemlocktally.View{Members: []hemlocktally.Instance{r.Self}}
}

// Lease returns the ID of the instance's store lease and its end on the local
// monotonic clock. It returns false if the lease has expired or there is none.
// After an expiry the instance gets a lease with another ID and the end of an
// expired one is never extended, so that the ID serves as an epoch.
func (r *Registrar) Lease() (id string, end time.Time, ok bool) {
	lease := r.lease.Load()
	if lease == nil || !lease.live(time.Now()) {
		return "", time.Time{}, false
	}
	return lease.id, lease.end, true
}

// Leave starts a planned stop: the instance reports itself Leaving to its peers
// at once. Its record stays until Run returns.
func (r *Registrar) Leave() {
	r.init()
	r.send(LeaveMsg{})
}

// Traffic returns how many heartbeats and replies were exchanged with peers, and
// their size in bytes without headers.
func (r *Registrar) Traffic() (messages, bytes uint64) {
	return r.messages.Load(), r.bytes.Load()
}

// send passes a message to the task, or drops it once Run has ended.
func (r *Registrar) send(msg Msg) {
	select {
	case r.inbox <- msg:
	case <-r.done:
	}
}

// Run keeps the instance registered and the view current until the context ends.
// It then tells peers that the instance is gone and revokes its lease.
func (r *Registrar) Run(ctx context.Context) error {
	r.init()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t := &task{registrar: r, state: &State{Self: r.Self, LeaseTTL: r.LeaseTTL, Seed: r.Seed}, ctx: workCtx}
	defer t.running.Wait()
	defer close(r.done)
	defer cancel()
	t.running.Go(func() { r.watchRecords(workCtx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	t.step(r.tick())
	for {
		select {
		case <-ctx.Done():
			return t.leave()
		case <-ticker.C:
			t.step(r.tick())
		case msg := <-r.inbox:
			t.step(msg)
		}
	}
}

func (r *Registrar) tick() TickMsg {
	if r.Configuration == nil {
		return TickMsg{}
	}
	config := r.Configuration.Current()
	revision := config.Revision
	if r.ActiveRevision != nil {
		revision = r.ActiveRevision()
	}
	return TickMsg{Starting: config.Revision == 0, Revision: revision, Out: config.InstanceOut(r.Self.ID) || config.ZoneOut(r.Self.Zone)}
}

// watchRecords sends the store's records to the task while the instance is a watcher.
func (r *Registrar) watchRecords(ctx context.Context) {
	const (
		pause = 500 * time.Millisecond
		wait  = 20 * time.Second
	)
	after := uint64(0)
	for ctx.Err() == nil {
		if !IsWatcher(r.View(), r.Self.ID, recordPrefix) {
			sleep(ctx, pause)
			continue
		}
		entries, sequence, err := r.Store.Watch(ctx, recordPrefix, after, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.send(StoreFailedMsg{})
			sleep(ctx, pause)
			continue
		}
		if sequence < after {
			after = 0
			continue
		}
		after = sequence
		r.send(RecordsMsg{Records: decodeRecords(entries)})
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
