package configurator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlocktally"
)

// maxStopLag is how many changes may be accepted between the creation of a
// provisional stop and its settling. After more, the head may no longer hold the
// stop's ID, so that a stop that was accepted and then undone can't be told from
// one that was never accepted; it is dropped.
const maxStopLag = maxChangeNames

// Stop commits a change that only takes things out of service. If the store fails
// or the outcome is unknown, the instances put the stop in force provisionally,
// and it is committed to the store later; Provisional is then set in the result.
// Other commands are refused with a *hemlocktally.ChangeError. Further errors are
// those of Change, and one if too many provisional stops are retained already.
func (c *Configurator) Stop(ctx context.Context, change hemlocktally.Change) (hemlocktally.StopResult, error) {
	change, err := normalize(change)
	if err != nil {
		return hemlocktally.StopResult{}, err
	}
	for i, command := range change.Commands {
		if !command.IsStop() {
			return hemlocktally.StopResult{}, &hemlocktally.ChangeError{
				ChangeID: change.ID, Index: i, Kind: command.Kind, Detail: "only commands that take something out of service are possible while the store is down",
			}
		}
	}
	accepted, err := c.Change(ctx, change)
	if err == nil {
		return hemlocktally.StopResult{Accepted: &accepted}, nil
	}
	var storeErr *hemlocktally.StoreError
	var unknownErr *hemlocktally.UnknownChangeError
	if !errors.As(err, &storeErr) && !errors.As(err, &unknownErr) {
		return hemlocktally.StopResult{}, err
	}
	current := c.accepted()
	if _, err := current.Apply(hemlocktally.AcceptedChange{Revision: current.Revision, Change: change}); err != nil {
		return hemlocktally.StopResult{}, err
	}
	stop := hemlocktally.ProvisionalStop{
		ID: change.ID, Author: change.Author, MadeAt: time.Now().UTC().Round(0), Base: current.Revision,
		Commands: change.Commands, State: hemlocktally.StopActive,
	}
	c.update(StopsMsg{Stops: []hemlocktally.ProvisionalStop{stop}})
	if !c.hasStop(stop.ID) {
		return hemlocktally.StopResult{}, Error.New("%d provisional stops are retained already; no more can be added until the store settles them", maxStops)
	}
	return hemlocktally.StopResult{Provisional: &stop}, nil
}

func (c *Configurator) hasStop(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.state.stops[id]
	return ok
}

// settleStops commits the active provisional stops to the store.
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

// settleStop commits a stop to the store and returns it in its final state. It
// returns false if the outcome is still open.
func (c *Configurator) settleStop(ctx context.Context, stop hemlocktally.ProvisionalStop) (hemlocktally.ProvisionalStop, bool) {
	h, err := c.archive().readHead(ctx)
	if err != nil {
		return stop, false
	}
	if _, found := h.findChange(stop.ID); !found && h.Revision > stop.Base+maxStopLag {
		stop.State = hemlocktally.StopDropped
		stop.Detail = fmt.Sprintf("%d changes were accepted since it was made", h.Revision-stop.Base)
		return stop, true
	}
	change := hemlocktally.Change{ID: stop.ID, Author: stop.Author, Commands: stop.Commands}
	_, err = c.commit(ctx, change, true)
	var changeErr *hemlocktally.ChangeError
	switch {
	case err == nil:
		stop.State = hemlocktally.StopAccepted
	case errors.As(err, &changeErr):
		stop.State, stop.Detail = hemlocktally.StopDropped, changeErr.Error()
	default:
		return stop, false
	}
	return stop, true
}
