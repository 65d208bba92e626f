package dialer

import (
	"context"
	"time"

	"hemlocktally"
)

// Run opens a link to targets that have none yet and closes links that are unused
// for IdleLimit. When the context ends, it closes all idle links and returns nil.
func (d *Dialer) Run(ctx context.Context) error {
	d.init()
	lastSweep := time.Now()
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.CloseIdle()
			return nil
		case now := <-ticker.C:
			d.warm(ctx)
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				d.sweep(now.Add(-d.IdleLimit))
			}
		}
	}
}

// warm opens a link to up to maxWarmPerRound targets without a pool, so that their
// first calls need not wait for a connection.
func (d *Dialer) warm(ctx context.Context) {
	if d.Configuration == nil {
		return
	}
	remaining := maxWarmPerRound
	config := d.Configuration.Current()
	for _, service := range config.Services {
		for _, target := range service.Targets {
			if remaining == 0 {
				return
			}
			if !config.TargetOut(target) && d.reserveFirstLink(target.Address) {
				remaining--
				d.openIdle(ctx, target)
			}
		}
	}
}

// reserveFirstLink counts one link to be opened where the address has no pool yet.
// It returns false otherwise, and where there are maxWarmTargets pools.
func (d *Dialer) reserveFirstLink(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools[address] != nil || len(d.pools) >= maxWarmTargets {
		return false
	}
	d.pools[address] = &pool{total: 1}
	return true
}

func (d *Dialer) openIdle(ctx context.Context, target hemlocktally.Target) {
	l, err := d.dial(ctx, target)
	if err != nil {
		d.update(target.Address, func(p *pool) { p.releaseSlot() })
		return
	}
	d.put(l, false)
}

// CloseIdle closes all idle links. Links in use, and all that are opened later, are
// closed when they are released.
func (d *Dialer) CloseIdle() {
	d.init()
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.sweep(time.Now())
}

// sweep closes the idle links that have received nothing since the given time, and
// removes the pools without links and waiters.
func (d *Dialer) sweep(since time.Time) {
	var toClose []*link
	d.mu.Lock()
	for address, p := range d.pools {
		toClose = append(toClose, p.removeStale(since)...)
		if p.total == 0 && len(p.waiters) == 0 {
			delete(d.pools, address)
		}
	}
	d.mu.Unlock()
	closeAll(toClose)
}

func closeAll(links []*link) {
	for _, l := range links {
		_ = l.client.Close()
	}
}
