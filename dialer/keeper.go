package dialer

import (
	"context"
	"time"

	"hemlocktally"
)

// Run keeps a link to each target ready and closes those that nobody uses until
// the context ends, and then all that are idle.
func (d *Dialer) Run(ctx context.Context) error {
	d.init()
	swept := time.Now()
	ticker := time.NewTicker(warmEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.CloseIdle()
			return nil
		case now := <-ticker.C:
			d.warm(ctx)
			if now.Sub(swept) >= sweepEvery {
				swept = now
				d.sweep(now.Add(-d.IdleLimit))
			}
		}
	}
}

// warm opens a link to some of the targets that have none, so that the first
// calls need not wait for one.
func (d *Dialer) warm(ctx context.Context) {
	if d.Configuration == nil {
		return
	}
	left := warmAtOnce
	config := d.Configuration.Current()
	for _, service := range config.Services {
		for _, target := range service.Targets {
			if left == 0 {
				return
			}
			if !config.TargetOut(target) && d.reserveFirst(target.Address) {
				left--
				d.openIdle(ctx, target)
			}
		}
	}
}

// reserveFirst counts a link to be opened where there is none.
func (d *Dialer) reserveFirst(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools[address] != nil || len(d.pools) >= maxWarm {
		return false
	}
	d.pools[address] = &pool{open: 1}
	return true
}

func (d *Dialer) openIdle(ctx context.Context, target hemlocktally.Target) {
	l, err := d.dial(ctx, target)
	if err != nil {
		d.update(target.Address, func(p *pool) { p.lost() })
		return
	}
	d.put(l, false)
}

// CloseIdle closes the idle links; those in use are closed when they are
// released.
func (d *Dialer) CloseIdle() {
	d.init()
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.sweep(time.Now())
}

// sweep closes the idle links that brought nothing since the given time.
func (d *Dialer) sweep(since time.Time) {
	var dropped []*link
	d.mu.Lock()
	for address, p := range d.pools {
		dropped = append(dropped, p.dropHeardBefore(since)...)
		if p.open == 0 && len(p.waiting) == 0 {
			delete(d.pools, address)
		}
	}
	d.mu.Unlock()
	closeAll(dropped)
}

func closeAll(links []*link) {
	for _, l := range links {
		_ = l.client.Close()
	}
}
