package dispatcher

import (
	"context"
	"time"
)

// configurationWait is how long a call waits for the first configuration of an
// instance that has just started. A retry would take the caller longer.
const configurationWait = 150 * time.Millisecond

// awaitConfiguration waits for the first configuration if the instance is
// starting, and reports whether there is one.
func (c *call) awaitConfiguration() bool {
	if c.config.Revision > 0 {
		return true
	}
	d := c.dispatcher
	if d.FirstConfiguration == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), configurationWait)
	defer cancel()
	d.FirstConfiguration.Await(ctx)
	c.config = d.Configuration.Current()
	c.record.Revision = c.config.Revision
	return c.config.Revision > 0
}
