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
		if !c.observeEntries(ctx, entries) {
			after, next = 0, time.Now()
			pause(ctx, followPause)
		}
	}
}

func (c *Configurator) watching() bool {
	return c.Members == nil || registrar.Watching(c.Members.View(), c.Self, headKey)
}

// observeEntries takes over the head. It returns false where that is to be
// tried again, for instance because a snapshot was replaced meanwhile.
func (c *Configurator) observeEntries(ctx context.Context, entries []hemlocktally.Entry) bool {
	for _, entry := range entries {
		if entry.Key != headKey {
			continue
		}
		h, err := decodeHead(entry.Value)
		if err != nil {
			return false
		}
		if present := c.accepted().Revision; h.Revision < present {
			if c.staleAt.Swap(uint64(h.Revision)+1) != uint64(h.Revision)+1 {
				c.Log.Log(logger.EventConfigurationStale, logger.Fields{"Revision": present, "StoreRevision": h.Revision})
			}
			return false
		}
		if _, err = c.observe(ctx, h); err != nil {
			return false
		}
	}
	return true
}
