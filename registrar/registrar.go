// Package registrar keeps the view of the fleet. Each instance holds a record
// with a lease in the store and sends heartbeats to a few peers, which pass news
// on; the store is read by a few watchers a zone. A State takes every decision
// in one pure step; the Registrar is the task around it.
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

// Registrar registers one instance and follows the others. It implements
// hemlocktally.Viewer and messenger.Membership.
type Registrar struct {
	Store hemlocktally.Store
	Self  hemlocktally.Instance
	// Configuration tells who was taken out.
	Configuration hemlocktally.Configurer
	// Acting returns the revision that the instance acts on and reports; nil
	// means the one in force.
	Acting func() hemlocktally.Revision
	// HTTP sends to peers; it adds the peers' key.
	HTTP *http.Client
	// InstanceList is the base URL of the platform's list; empty means none.
	InstanceList string
	// LeaseTTL is how long the store keeps the record unrenewed; zero means
	// DefaultLeaseTTL.
	LeaseTTL time.Duration
	// Seed picks random peers. Instances should have different ones.
	Seed uint64
	// Sized is told how many members there are, whenever that changes.
	Sized func(members int)
	Log   logger.Logger

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
	// showInterval bounds how old the times of signs of life in a view are.
	showInterval = time.Second
	inboxSize    = 256
)

// beatCall is a BeatMsg that waits for its answer.
type beatCall struct {
	msg    BeatMsg
	answer chan *messenger.BeatMessage
}

func (r *Registrar) init() {
	r.once.Do(func() {
		r.inbox = make(chan Msg, inboxSize)
		r.done = make(chan struct{})
	})
}

// View returns the present view, which always holds the instance itself.
func (r *Registrar) View() hemlocktally.View {
	if view := r.view.Load(); view != nil {
		return *view
	}
	return hemlocktally.View{Members: []hemlocktally.Instance{r.Self}}
}

// Lease returns the instance's lease of the store and its end on the local
// monotonic clock. It returns false once the lease has lapsed or where there
// was none. A lease after a lapse has another ID, so that the ID serves as an
// epoch: the end of one ID is never extended after it has passed.
func (r *Registrar) Lease() (id string, end time.Time, ok bool) {
	lease := r.lease.Load()
	if lease == nil || !lease.live(time.Now()) {
		return "", time.Time{}, false
	}
	return lease.id, lease.end, true
}

// Leave begins a planned stop: peers are told at once that the instance is
// Leaving. The record stays until Run ends.
func (r *Registrar) Leave() {
	r.init()
	r.send(LeaveMsg{})
}

// Traffic returns how many messages were exchanged with peers, and their bytes
// without headers.
func (r *Registrar) Traffic() (messages, bytes uint64) {
	return r.messages.Load(), r.bytes.Load()
}

// send hands the task a message unless it has ended.
func (r *Registrar) send(msg Msg) {
	select {
	case r.inbox <- msg:
	case <-r.done:
	}
}

// Run keeps the instance registered and the view fresh until the context ends;
// then peers are told that the instance is gone, and its lease is revoked.
func (r *Registrar) Run(ctx context.Context) error {
	r.init()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t := &task{registrar: r, state: &State{Self: r.Self, LeaseTTL: r.LeaseTTL, Seed: r.Seed}, ctx: work}
	defer t.running.Wait()
	defer close(r.done)
	defer cancel()
	t.running.Go(func() { r.watch(work) })
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
	if r.Acting != nil {
		revision = r.Acting()
	}
	return TickMsg{Starting: config.Revision == 0, Revision: revision, Out: config.InstanceOut(r.Self.ID) || config.ZoneOut(r.Self.Zone)}
}

// watch brings the records of the store while the instance is a watcher.
func (r *Registrar) watch(ctx context.Context) {
	const (
		pause = 500 * time.Millisecond
		wait  = 20 * time.Second
	)
	after := uint64(0)
	for ctx.Err() == nil {
		if !Watching(r.View(), r.Self.ID, recordPrefix) {
			sleep(ctx, pause)
			continue
		}
		entries, sequence, err := r.Store.Watch(ctx, recordPrefix, after, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.send(StoreLostMsg{})
			sleep(ctx, pause)
			continue
		}
		if sequence < after {
			after = 0
			continue
		}
		after = sequence
		r.send(RecordsMsg{Records: recordsOf(entries)})
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
