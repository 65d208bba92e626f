package configurator

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/registrar"
)

const (
	followWait  = 20 * time.Second
	followPause = 250 * time.Millisecond
	// checkInterval lies between readings of the head by an instance that does
	// not watch it.
	checkInterval = time.Minute
)

// follow reads the head at the start, then watches it while the instance is one
// of the few watchers of its zone, and else reads it now and then.
func (c *Configurator) follow(ctx context.Context) {
	after := uint64(0)
	next := time.Now()
	for ctx.Err() == nil {
		watching := c.watching()
		if !watching && time.Now().Before(next) {
			pause(ctx, followPause)
			continue
		}
		wait := followWait
		if !watching || time.Now().After(next) {
			wait = 0
		}
		next = time.Now().Add(checkInterval + rand.N(checkInterval))
		entries, sequence, err := c.Store.Watch(ctx, headKey, after, wait)
		if err != nil || sequence < after {
			after, next = 0, time.Now()
			pause(ctx, followPause)
			continue
		}
		after = sequence
		c.observeEntries(ctx, entries)
	}
}

func (c *Configurator) watching() bool {
	return c.Members == nil || registrar.Watching(c.Members.View(), c.Self, headKey)
}

func (c *Configurator) observeEntries(ctx context.Context, entries []hemlocktally.Entry) {
	for _, entry := range entries {
		if entry.Key != headKey {
			continue
		}
		h, err := decodeHead(entry.Value)
		if err != nil {
			continue
		}
		if present := c.accepted().Revision; h.Revision < present {
			c.Log.Log(logger.EventConfigurationStale, logger.Fields{"Revision": present, "StoreRevision": h.Revision})
		}
		// What can't be read now is read with the next head or from a peer.
		_, _ = c.observe(ctx, h)
	}
}
