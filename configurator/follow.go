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
	var restore staleTimer
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
		h, err := headOf(entries)
		older := err == nil && h.Revision < c.accepted().Revision
		if restore.due(older, time.Now()) {
			c.restore(ctx, h)
		}
		if err != nil || !c.takeHead(ctx, h.head) {
			after, next = 0, time.Now()
			pause(ctx, followPause)
		}
	}
}

func (c *Configurator) watching() bool {
	return c.Members == nil || registrar.Watching(c.Members.View(), c.Self, headKey)
}

// headOf returns the head among the entries below its key. It is zero where
// there is none.
func headOf(entries []hemlocktally.Entry) (versionedHead, error) {
	for _, entry := range entries {
		if entry.Key == headKey {
			h, err := decodeHead(entry.Value)
			return versionedHead{head: h, version: entry.Version}, err
		}
	}
	return versionedHead{}, nil
}

// takeHead puts a head in force. It returns false where that is to be tried
// again, for instance because a snapshot was replaced meanwhile.
func (c *Configurator) takeHead(ctx context.Context, h head) bool {
	if present := c.accepted().Revision; h.Revision < present {
		if c.loggedStale.Swap(uint64(h.Revision)+1) != uint64(h.Revision)+1 {
			c.Log.Log(logger.EventConfigurationStale, logger.Fields{"Revision": present, "StoreRevision": h.Revision})
		}
		return false
	}
	if h.Revision == 0 {
		return true
	}
	_, err := c.applyHead(ctx, h)
	return err == nil
}
