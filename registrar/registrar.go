// Package registrar keeps the view of the fleet: each instance holds a record
// with a lease in the store and reads the records of the others.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// Registrar registers one instance and follows the others. It implements
// hemlocktally.Viewer.
type Registrar struct {
	Store hemlocktally.Store
	Self  hemlocktally.Instance
	// LeaseTTL is how long the store keeps the record unrenewed; zero means
	// DefaultLeaseTTL.
	LeaseTTL time.Duration

	view  atomic.Pointer[hemlocktally.View]
	lease atomic.Pointer[heldLease]
}

const (
	recordPrefix = "Instances/"
	beatInterval = 500 * time.Millisecond
)

// DefaultLeaseTTL is the lease of an instance's record.
const DefaultLeaseTTL = 6 * time.Second

func (r *Registrar) leaseTTL() time.Duration {
	if r.LeaseTTL <= 0 {
		return DefaultLeaseTTL
	}
	return r.LeaseTTL
}

// View returns the present view, which always holds the instance itself.
func (r *Registrar) View() hemlocktally.View {
	if view := r.view.Load(); view != nil {
		return *view
	}
	return hemlocktally.View{Members: []hemlocktally.Instance{r.Self}}
}

// Run registers the instance and refreshes the view until the context ends.
func (r *Registrar) Run(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	lease := ""
	for {
		lease = r.beat(ctx, lease)
		select {
		case <-ctx.Done():
			return r.leave(ctx, lease)
		case <-ticker.C:
		}
	}
}

func (r *Registrar) beat(ctx context.Context, lease string) string {
	lease = r.renew(ctx, lease)
	entries, err := r.Store.List(ctx, recordPrefix)
	if err != nil {
		r.freeze()
		return lease
	}
	view := hemlocktally.View{Revision: r.View().Revision + 1}
	for _, e := range entries {
		var member hemlocktally.Instance
		if json.Unmarshal(e.Value, &member) == nil {
			view.Members = append(view.Members, member)
		}
	}
	r.view.Store(&view)
	return lease
}

// renew keeps the lease, or registers anew once it has lapsed.
func (r *Registrar) renew(ctx context.Context, lease string) string {
	sent := time.Now()
	held := r.lease.Load()
	if lease == "" || held == nil || !held.live(sent) {
		return r.register(ctx)
	}
	err := r.Store.Renew(ctx, lease)
	var absent *hemlocktally.AbsentError
	if errors.As(err, &absent) {
		r.lease.Store(nil)
		return r.register(ctx)
	}
	if err == nil && held.live(time.Now()) {
		renewed := leaseFrom(lease, sent, r.leaseTTL())
		r.lease.Store(&renewed)
	}
	return lease
}

func (r *Registrar) freeze() {
	view := r.View()
	view.Frozen = true
	r.view.Store(&view)
}

func (r *Registrar) register(ctx context.Context) string {
	sent := time.Now()
	lease, err := r.Store.Grant(ctx, r.leaseTTL())
	if err != nil {
		return ""
	}
	value, err := json.Marshal(r.Self)
	if err != nil {
		return ""
	}
	key := recordPrefix + string(r.Self.ID)
	present, err := r.Store.Get(ctx, key)
	if err != nil {
		present = hemlocktally.Entry{}
	}
	if _, err := r.Store.Swap(ctx, hemlocktally.Entry{Key: key, Value: value, Version: present.Version, Lease: lease.ID}); err != nil {
		return ""
	}
	held := leaseFrom(lease.ID, sent, r.leaseTTL())
	r.lease.Store(&held)
	return lease.ID
}

func (r *Registrar) leave(ctx context.Context, lease string) error {
	if lease == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	return r.Store.Revoke(ctx, lease)
}
