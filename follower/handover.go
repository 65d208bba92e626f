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

// A zone may have a few strong instances among many weak ones. While the strong ones are
// stopped, a weak one becomes the hub. Once they are back, it hands the role over, because
// its link and processor slow down all followers and the services that it owns.
const (
	handoverWeightRatio   = 2.0             // handoverWeightRatio is the multiple of the hub's weight from which on a follower replaces it.
	handoverMinTime       = 3 * time.Second // handoverMinTime is how long the hub must have been the hub and the follower must have followed it; it prevents handovers during a rolling stop.
	handoverOfferInterval = 2 * time.Second // handoverOfferInterval is the time between two offers.
)

// handoverOffers limits the rate of handover offers. Its zero value works.
type handoverOffers struct {
	mu        sync.Mutex
	hubSince  time.Time // hubSince is when the instance became the hub.
	offeredAt time.Time
}

// begin records that the instance has become the hub.
func (h *handoverOffers) begin(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hubSince = now
}

// due reports whether the role may be offered now, and if so records the offer.
func (h *handoverOffers) due(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hubSince.IsZero() || now.Sub(h.hubSince) < handoverMinTime || now.Sub(h.offeredAt) < handoverOfferInterval {
		return false
	}
	h.offeredAt = now
	return true
}

// shouldHandOver reports whether the requesting follower is to replace this hub.
func (f *Follower) shouldHandOver(in *messenger.SyncRequest) bool {
	if f.Disabled.Has(hemlocktally.MechanismHandover) || hemlocktally.ZoneName(in.GetZone()) != f.Self.Zone || in.GetWeight() < handoverWeightRatio*f.Self.Weight || f.disconnected() {
		return false
	}
	now := time.Now()
	return f.followers.followedFor(in.GetInstance(), now) >= handoverMinTime && f.handover.due(now)
}

// takeOver writes this instance's registration over that of the hub that offers its role.
// If the key has changed meanwhile, nothing happens.
func (r *role) takeOver(ctx context.Context, from Hub) {
	present, ok := r.FleetState().relayedEntry(r.hubKey())
	if !ok || !namesInstance(present, from.ID) || r.leaving.Load() || present.Generation != r.Generation() {
		return
	}
	r.becomeHub(ctx, present.Version)
}

// becomeHub claims the role of the zone's hub if its key still has the given version.
func (r *role) becomeHub(ctx context.Context, expectedVersion hemlocktally.StoreVersion) {
	lease, claimPoint, err := r.claim(ctx, expectedVersion, false)
	var conflict *hemlocktally.ConflictError
	switch {
	case err == nil:
		r.lease, r.claimPoint, r.renewedAt, r.failing = lease, claimPoint, time.Now(), false
		r.handover.begin(r.renewedAt)
		r.transition(ctx, eventChosen, logger.Fields{"Lease": lease})
	case errors.As(err, &conflict):
		send(ctx, r.inbox, ChangesMsg{Kind: hemlocktally.EntryHub, Entries: []hemlocktally.DirectoryEntry{{Entry: conflict.Current}}})
	default:
		r.noteFailure(err)
	}
}

// displaced reports whether another instance has overwritten this hub's registration.
func (r *role) displaced() bool {
	present, ok := r.FleetState().relayedEntry(r.hubKey())
	return ok && present.GenerationVersion().After(r.claimPoint) && !namesInstance(present, r.Self.ID)
}

// hubKey is the store key of the zone's hub.
func (f *Follower) hubKey() string { return f.Interpreter.HubPrefix() + string(f.Self.Zone) }

// namesInstance reports whether a hub's entry names the instance.
func namesInstance(entry hemlocktally.Entry, id hemlocktally.InstanceID) bool {
	hub, err := decodeHub(entry.Value)
	return err == nil && hub.ID == id
}

// relayedEntry returns the relayed entry of a key.
func (p *FleetState) relayedEntry(key string) (hemlocktally.Entry, bool) {
	for _, e := range p.Relayed {
		if e.Key == key {
			return e, true
		}
	}
	return hemlocktally.Entry{}, false
}
