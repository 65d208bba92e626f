package configurator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/registrar"
)

const (
	reconcileTick = 100 * time.Millisecond
	// reconcileInterval lies between questions to a random peer.
	reconcileInterval = 2 * time.Second
	settleInterval    = 500 * time.Millisecond
	// firstFanout is how many peers hear of a change from where it was accepted,
	// fanout how many from each instance to which it was news.
	firstFanout = 32
	fanout      = 3
	concurrency = 8
)

// task runs the commands that need I/O.
type task struct {
	configurator *Configurator
	ctx          context.Context //nolint:containedctx // The commands end with the task's run.
	slots        chan struct{}
	running      sync.WaitGroup
	reconcileAt  time.Time
	settleAt     time.Time
	pulling      sync.Map // pulling holds the sources that are being asked.
}

func (t *task) run(cmd Cmd) {
	switch cmd := cmd.(type) {
	case InForceCmd:
		count := fanout
		if cmd.Source == sourceHere {
			count = firstFanout
		}
		t.spread(count, cmd.Source)
	case StopChangedCmd:
		t.spread(firstFanout, "")
	case MissingChangesCmd:
		t.pull(cmd.Source)
	case workCmd:
		t.start(cmd.work)
	}
}

// start runs work in the background, a few pieces at a time.
func (t *task) start(work func(context.Context)) {
	t.running.Go(func() {
		select {
		case t.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		defer func() { <-t.slots }()
		work(t.ctx)
	})
}

// spread offers what is in force to some random peers.
func (t *task) spread(count int, except string) {
	peers := t.configurator.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = slices.DeleteFunc(peers, func(m hemlocktally.Instance) bool { return string(m.ID) == except })
	for _, peer := range peers[:min(count, len(peers))] {
		t.start(func(ctx context.Context) { _, _ = t.configurator.offer(ctx, peer) })
	}
}

func (t *task) pull(source string) {
	for _, peer := range t.configurator.peers() {
		if string(peer.ID) != source {
			continue
		}
		if _, busy := t.pulling.LoadOrStore(source, true); busy {
			continue
		}
		t.start(func(ctx context.Context) {
			defer t.pulling.Delete(source)
			t.configurator.pull(ctx, peer)
		})
	}
}

// tick reconciles with a random peer now and then, at once with one that is
// ahead, and settles provisional stops.
func (t *task) tick(now time.Time) {
	c := t.configurator
	peers := c.peers()
	own := c.accepted().Revision
	ahead := slices.DeleteFunc(slices.Clone(peers), func(m hemlocktally.Instance) bool { return m.Revision <= own })
	switch {
	case len(ahead) > 0:
		t.pull(string(ahead[rand.IntN(len(ahead))].ID))
	case len(peers) > 0 && (own == 0 || now.After(t.reconcileAt)):
		t.reconcileAt = now.Add(reconcileInterval/2 + rand.N(reconcileInterval))
		t.pull(string(peers[rand.IntN(len(peers))].ID))
	}
	if now.After(t.settleAt) && c.settles() {
		t.settleAt = now.Add(settleInterval + rand.N(settleInterval))
		t.start(c.settleStops)
	}
}

// settles reports whether this instance is one of those that bring provisional
// stops to the store.
func (c *Configurator) settles() bool {
	c.mu.Lock()
	open := len(c.state.Stops(hemlocktally.StopActive))
	c.mu.Unlock()
	if open == 0 || c.Members == nil {
		return open > 0
	}
	return registrar.Watching(c.Members.View(), c.Self, "Stops")
}
