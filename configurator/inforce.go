package configurator

import (
	"context"
	"sync"
	"time"

	"hemlocktally"
)

// InForce says which revision each member acts on, by its own last report.
func (c *Configurator) InForce() hemlocktally.InForce {
	force := hemlocktally.InForce{Revision: c.accepted().Revision}
	if c.Members == nil {
		force.Instances = []hemlocktally.InstanceInForce{{ID: c.Self, Revision: c.Acting(), State: hemlocktally.InstanceServing}}
		return force
	}
	for _, m := range c.Members.View().Members {
		revision := m.Revision
		if m.ID == c.Self {
			revision = c.Acting()
		}
		force.Instances = append(force.Instances, hemlocktally.InstanceInForce{ID: m.ID, Zone: m.Zone, State: m.State, Revision: revision})
	}
	return force
}

// WaitInForce waits until every member acts on the revision. It asks each one,
// and hands it what it lacks. Progress, where given, is told how many have it.
// Once the context ends it returns a *hemlocktally.LaggingError that names the
// rest; a silent member counts as lagging until it is gone from the view.
func (c *Configurator) WaitInForce(ctx context.Context, revision hemlocktally.Revision, progress func(done, all int)) error {
	const again = 20 * time.Millisecond
	confirmed := map[hemlocktally.InstanceID]string{}
	for {
		missing, all := c.ask(ctx, revision, confirmed)
		if progress != nil {
			progress(all-len(missing), all)
		}
		if len(missing) == 0 {
			return nil
		}
		if !pause(ctx, again) {
			return &hemlocktally.LaggingError{Revision: revision, Missing: missing, Cause: ctx.Err()}
		}
	}
}

// ask offers the revision to all that have not confirmed it, a few at a time.
// It returns those that still have not, and the number of members.
func (c *Configurator) ask(ctx context.Context, revision hemlocktally.Revision, confirmed map[hemlocktally.InstanceID]string) ([]hemlocktally.InstanceID, int) {
	members := []hemlocktally.Instance{{ID: c.Self}}
	if c.Members != nil {
		members = c.Members.View().Members
	}
	var missing []hemlocktally.InstanceID
	if c.Acting() < revision {
		missing = append(missing, c.Self)
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for _, m := range c.unconfirmed(members, revision, confirmed) {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			has, err := c.offer(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && has >= revision {
				confirmed[m.ID] = m.Incarnation
				return
			}
			missing = append(missing, m.ID)
		})
	}
	calls.Wait()
	return missing, len(members)
}

// unconfirmed returns the other members that have not shown the revision.
func (c *Configurator) unconfirmed(members []hemlocktally.Instance, revision hemlocktally.Revision, confirmed map[hemlocktally.InstanceID]string) []hemlocktally.Instance {
	var rest []hemlocktally.Instance
	for _, m := range members {
		incarnation, known := confirmed[m.ID]
		if m.ID != c.Self && m.Revision < revision && (!known || incarnation != m.Incarnation) {
			rest = append(rest, m)
		}
	}
	return rest
}
