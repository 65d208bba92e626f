package configurator

import (
	"context"
	"sync"
	"time"

	"hemlocktally"
)

// InForce returns the revision that each member acts on, as the member last
// reported it. Without Members it lists only this instance.
func (c *Configurator) InForce() hemlocktally.RolloutStatus {
	inForce := hemlocktally.RolloutStatus{Revision: c.accepted().Revision}
	if c.Members == nil {
		inForce.Instances = []hemlocktally.InstanceRevision{{ID: c.Self, Revision: c.ActingRevision(), State: hemlocktally.InstanceServing}}
		return inForce
	}
	for _, m := range c.Members.View().Members {
		revision := m.Revision
		if m.ID == c.Self {
			revision = c.ActingRevision()
		}
		inForce.Instances = append(inForce.Instances, hemlocktally.InstanceRevision{ID: m.ID, Zone: m.Zone, State: m.State, Revision: revision})
	}
	return inForce
}

// WaitInForce waits until every member acts on the revision. It repeatedly offers
// the configuration to those that have not confirmed the revision. After each
// round it calls progress, if that is not nil, with the number of members that
// have confirmed and of all members. When the context ends it returns a
// *hemlocktally.LaggingError that names the others. A member that does not respond
// counts as lagging until it is no longer in the view.
func (c *Configurator) WaitInForce(ctx context.Context, revision hemlocktally.Revision, progress func(done, all int)) error {
	const retryDelay = 20 * time.Millisecond
	confirmed := map[hemlocktally.InstanceID]string{}
	for {
		missing, all := c.offerToUnconfirmed(ctx, revision, confirmed)
		if progress != nil {
			progress(all-len(missing), all)
		}
		if len(missing) == 0 {
			return nil
		}
		if !pause(ctx, retryDelay) {
			return &hemlocktally.LaggingError{Revision: revision, Missing: missing, Cause: ctx.Err()}
		}
	}
}

// offerToUnconfirmed offers the configuration to all members that have not
// confirmed the revision, at most maxConcurrent at a time, and records in confirmed
// the incarnations of those that now do. It returns the members that still have
// not, and the number of all members.
func (c *Configurator) offerToUnconfirmed(ctx context.Context, revision hemlocktally.Revision, confirmed map[hemlocktally.InstanceID]string) ([]hemlocktally.InstanceID, int) {
	members := []hemlocktally.Instance{{ID: c.Self}}
	if c.Members != nil {
		members = c.Members.View().Members
	}
	var missing []hemlocktally.InstanceID
	if c.ActingRevision() < revision {
		missing = append(missing, c.Self)
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for _, m := range c.unconfirmed(members, revision, confirmed) {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			peerRevision, err := c.offer(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && peerRevision >= revision {
				confirmed[m.ID] = m.Incarnation
				return
			}
			missing = append(missing, m.ID)
		})
	}
	calls.Wait()
	return missing, len(members)
}

// unconfirmed returns the other members that have neither reported the revision nor
// confirmed it in their present incarnation.
func (c *Configurator) unconfirmed(members []hemlocktally.Instance, revision hemlocktally.Revision, confirmed map[hemlocktally.InstanceID]string) []hemlocktally.Instance {
	var others []hemlocktally.Instance
	for _, m := range members {
		incarnation, known := confirmed[m.ID]
		if m.ID != c.Self && m.Revision < revision && (!known || incarnation != m.Incarnation) {
			others = append(others, m)
		}
	}
	return others
}
