package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// A zone may have a few strong instances among many weak ones. While the strong
// ones are stopped, a weak one becomes the hub; once they are back it hands its place
// over, since its link and processor hold all followers and the services that it owns
// up.
const (
	muchStronger  = 2.0             // muchStronger is the multiple of the hub's weight from which on a follower takes its place.
	handoverAfter = 3 * time.Second // handoverAfter is how long both have to have been what they are: nothing moves during a rolling stop.
	handoverPause = 2 * time.Second // handoverPause is the time between two offers.
)

// handover keeps offers of a hub's place apart. Its zero value works.
type handover struct {
	mu      sync.Mutex
	since   time.Time // since is when the instance became the hub.
	offered time.Time
}

// begin notes that the instance has become the hub.
func (h *handover) begin(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = now
}

// due reports whether the place may be offered now, and notes that it is.
func (h *handover) due(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() || now.Sub(h.since) < handoverAfter || now.Sub(h.offered) < handoverPause {
		return false
	}
	h.offered = now
	return true
}

// handsOverTo reports whether the follower that asks is to take the hub's place.
func (f *Follower) handsOverTo(in *messenger.SyncRequest) bool {
	if f.Off.Has(hemlocktally.MechanismHandover) || hemlocktally.ZoneName(in.GetZone()) != f.Self.Zone || in.GetWeight() < muchStronger*f.Self.Weight || f.outOfTouch() {
		return false
	}
	now := time.Now()
	return f.followers.followsFor(in.GetInstance(), now) >= handoverAfter && f.handover.due(now)
}

// takeOver writes this instance's registration over that of the hub that offers its
// place. Where something has changed the key meanwhile, nothing happens.
func (r *role) takeOver(ctx context.Context, from Hub) {
	present, ok := r.Picture().relayedEntry(r.placeKey())
	if !ok || !registers(present, from.ID) || r.leaving.Load() || present.Generation != r.Generation() {
		return
	}
	r.become(ctx, present.Version)
}

// become claims the place of the zone's hub, where its key still has the version.
func (r *role) become(ctx context.Context, over hemlocktally.StoreVersion) {
	lease, claimed, err := r.claim(ctx, over, false)
	var conflict *hemlocktally.ConflictError
	switch {
	case err == nil:
		r.lease, r.claimed, r.renewed, r.failing = lease, claimed, time.Now(), false
		r.handover.begin(r.renewed)
		r.fire(ctx, eventChosen, logger.Fields{"Lease": lease})
	case errors.As(err, &conflict):
		send(ctx, r.inbox, ChangesMsg{Kind: hemlocktally.EntryHub, Entries: []hemlocktally.DirectoryEntry{{Entry: conflict.Present}}})
	default:
		r.noteFailure(err)
	}
}

// displaced reports whether another instance has written its registration over this
// hub's.
func (r *role) displaced() bool {
	present, ok := r.Picture().relayedEntry(r.placeKey())
	return ok && present.Point().After(r.claimed) && !registers(present, r.Self.ID)
}

// placeKey is the key of the zone's hub.
func (f *Follower) placeKey() string { return f.Interpreter.HubPrefix() + string(f.Self.Zone) }

// registers reports whether the entry of a hub names the instance.
func registers(entry hemlocktally.Entry, id hemlocktally.InstanceID) bool {
	hub, err := decodeHub(entry.Value)
	return err == nil && hub.ID == id
}

// relayedEntry returns the relayed entry of a key.
func (p *Picture) relayedEntry(key string) (hemlocktally.Entry, bool) {
	for _, e := range p.Relayed {
		if e.Key == key {
			return e, true
		}
	}
	return hemlocktally.Entry{}, false
}
