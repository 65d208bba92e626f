package dispatcher

import (
	"context"
	"time"
)

// startWait is how long a call waits for an instance that has just started to
// get its first configuration. Coming back later would cost the caller more.
const startWait = 150 * time.Millisecond

// awaitConfiguration waits for the first configuration where one is expected
// soon, and reports whether there is one.
func (c *call) awaitConfiguration() bool {
	if c.config.Revision > 0 {
		return true
	}
	d := c.dispatcher
	if d.Starting == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), startWait)
	defer cancel()
	d.Starting.Await(ctx)
	c.config = d.Configuration.Current()
	c.record.Revision = c.config.Revision
	return c.config.Revision > 0
}
