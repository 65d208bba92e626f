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
	watchTimeout = 20 * time.Second
	followPause  = 250 * time.Millisecond
	// headReadInterval is the least time between reads of the head by an instance
	// that does not watch it; a random time of up to the same length is added.
	headReadInterval = time.Minute
)

// follow keeps the configuration up to date with the head until the context ends.
// It reads the head at the start, then watches it while the instance is one of the
// few watchers of its zone, and otherwise reads it at intervals. It also restores
// a head that stays older than the configuration in force.
func (c *Configurator) follow(ctx context.Context) {
	after := uint64(0)
	nextRead := time.Now()
	var restore staleTimer
	for ctx.Err() == nil {
		watching := c.watching()
		if !watching && time.Now().Before(nextRead) {
			pause(ctx, followPause)
			continue
		}
		wait := watchTimeout
		if !watching || time.Now().After(nextRead) {
			wait = 0
		}
		nextRead = time.Now().Add(headReadInterval + rand.N(headReadInterval))
		entries, sequence, err := c.Store.Watch(ctx, headKey, after, wait)
		if err != nil || sequence < after {
			after, nextRead = 0, time.Now()
			pause(ctx, followPause)
			continue
		}
		after = sequence
		h, err := findHead(entries)
		older := err == nil && h.Revision < c.accepted().Revision
		if restore.due(older, time.Now()) {
			c.restore(ctx, h)
		}
		if err != nil || !c.applyStoredHead(ctx, h.head) {
			after, nextRead = 0, time.Now()
			pause(ctx, followPause)
		}
	}
}

func (c *Configurator) watching() bool {
	return c.Members == nil || registrar.IsWatcher(c.Members.View(), c.Self, headKey)
}

// findHead returns the head among the entries. It is zero if there is none.
func findHead(entries []hemlocktally.Entry) (versionedHead, error) {
	for _, entry := range entries {
		if entry.Key == headKey {
			h, err := decodeHead(entry.Value)
			return versionedHead{head: h, version: entry.Version}, err
		}
	}
	return versionedHead{}, nil
}

// applyStoredHead puts a head in force, and logs each stale revision once in
// succession. It returns false if the head must be read again, for instance because
// its snapshot was replaced in the meantime.
func (c *Configurator) applyStoredHead(ctx context.Context, h head) bool {
	if current := c.accepted().Revision; h.Revision < current {
		if c.loggedStale.Swap(uint64(h.Revision)+1) != uint64(h.Revision)+1 {
			c.Log.Log(logger.EventConfigurationStale, logger.Fields{"Revision": current, "StoreRevision": h.Revision})
		}
		return false
	}
	if h.Revision == 0 {
		return true
	}
	_, err := c.applyHead(ctx, h)
	return err == nil
}
