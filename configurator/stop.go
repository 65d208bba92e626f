package configurator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlocktally"
)

// staleStop is how many accepted changes may come between the making of a
// provisional stop and its settling. Past them it can't be told any more whether
// it was accepted and taken back since, so it is dropped.
const staleStop = maxChangeNames

// Stop offers a change that only takes out. Where the store does not decide it,
// the stop is put in force among the instances provisionally, and the answer
// says so; the store settles it later. Other commands are refused with a
// *hemlocktally.ChangeError.
func (c *Configurator) Stop(ctx context.Context, change hemlocktally.Change) (hemlocktally.Stopped, error) {
	change, err := normalize(change)
	if err != nil {
		return hemlocktally.Stopped{}, err
	}
	for i, command := range change.Commands {
		if !command.IsStop() {
			return hemlocktally.Stopped{}, &hemlocktally.ChangeError{
				ChangeID: change.ID, Index: i, Kind: command.Kind, Detail: "only what takes out can be done while the store is down",
			}
		}
	}
	accepted, err := c.Change(ctx, change)
	if err == nil {
		return hemlocktally.Stopped{Accepted: &accepted}, nil
	}
	var failed *hemlocktally.StoreError
	var unknown *hemlocktally.UnknownChangeError
	if !errors.As(err, &failed) && !errors.As(err, &unknown) {
		return hemlocktally.Stopped{}, err
	}
	present := c.accepted()
	if _, err := present.Apply(hemlocktally.Accepted{Revision: present.Revision, Change: change}); err != nil {
		return hemlocktally.Stopped{}, err
	}
	stop := hemlocktally.ProvisionalStop{
		ID: change.ID, Author: change.Author, MadeAt: time.Now().UTC().Round(0), Base: present.Revision,
		Commands: change.Commands, State: hemlocktally.StopActive,
	}
	c.update(StopsMsg{Stops: []hemlocktally.ProvisionalStop{stop}})
	if !c.holds(stop.ID) {
		return hemlocktally.Stopped{}, Error.New("%d provisional stops are kept already; none more until the store settles them", maxStops)
	}
	return hemlocktally.Stopped{Provisional: &stop}, nil
}

func (c *Configurator) holds(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.state.stops[id]
	return ok
}

// settleStops brings the active provisional stops to the store.
func (c *Configurator) settleStops(ctx context.Context) {
	c.mu.Lock()
	active := c.state.Stops(hemlocktally.StopActive)
	c.mu.Unlock()
	for _, stop := range active {
		if settled, ok := c.settleStop(ctx, stop); ok {
			c.update(StopsMsg{Stops: []hemlocktally.ProvisionalStop{settled}})
		}
	}
}

// settleStop returns the stop in its final state, or false where the store did
// not decide.
func (c *Configurator) settleStop(ctx context.Context, stop hemlocktally.ProvisionalStop) (hemlocktally.ProvisionalStop, bool) {
	h, err := c.archive().read(ctx)
	if err != nil {
		return stop, false
	}
	if _, found := h.findChange(stop.ID); !found && h.Revision > stop.Base+staleStop {
		stop.State = hemlocktally.StopDropped
		stop.Detail = fmt.Sprintf("%d changes were accepted since it was made", h.Revision-stop.Base)
		return stop, true
	}
	change := hemlocktally.Change{ID: stop.ID, Author: stop.Author, Commands: stop.Commands}
	_, err = c.commit(ctx, change, true)
	var bad *hemlocktally.ChangeError
	switch {
	case err == nil:
		stop.State = hemlocktally.StopAccepted
	case errors.As(err, &bad):
		stop.State, stop.Detail = hemlocktally.StopDropped, bad.Error()
	default:
		return stop, false
	}
	return stop, true
}
