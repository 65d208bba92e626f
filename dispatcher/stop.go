package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errInterrupted ends the calls that are still open when the instance closes its connections.
var errInterrupted = errors.New("the instance stopped before the response was complete")

// interrupt ends all calls. Its zero value ends none.
type interrupt struct {
	once   sync.Once
	ctx    context.Context //nolint:containedctx // It ends once, for all calls.
	cancel context.CancelFunc
}

func (i *interrupt) init() {
	i.once.Do(func() { i.ctx, i.cancel = context.WithCancel(context.Background()) })
}

// Interrupt ends all open calls with a refusal that says that they may have run. An instance
// that has to close its connections calls it first.
func (d *Dispatcher) Interrupt() {
	d.interrupt.init()
	d.interrupt.cancel()
}

// callContext returns the context of the call's attempts. A call may have to finish after its
// caller has disconnected, so attempts end only by commands of the plan, by the deadline and by
// Interrupt.
func (c *call) callContext() (context.Context, func()) {
	d := c.dispatcher
	d.interrupt.init()
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(c.request.Context()))
	ctx, cancelDeadline := context.WithDeadline(ctx, c.deadline)
	stop := context.AfterFunc(d.interrupt.ctx, func() { cancel(errInterrupted) })
	return ctx, func() {
		stop()
		cancelDeadline()
		cancel(nil)
	}
}

// stopping reports whether the instance stops.
func (d *Dispatcher) stopping() bool { return d.StopsAt != nil && !d.StopsAt().IsZero() }

// mayOutliveStop reports whether the call may last longer than the instance, which stops. Its
// caller's connection ends with the instance, so that it is better served elsewhere.
func (c *call) mayOutliveStop() bool {
	d := c.dispatcher
	return d.stopping() && c.deadline.After(d.StopsAt().Add(-stopMargin))
}

// stopMargin is the time that remains, after the last response is due, to write it.
const stopMargin = 50 * time.Millisecond
