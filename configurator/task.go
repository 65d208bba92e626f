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
	// reconcileInterval is the mean time between pulls from a random peer.
	reconcileInterval = 2 * time.Second
	settleInterval    = 500 * time.Millisecond
	// initialFanout is the number of peers to which the instance that committed a
	// change offers it, fanout the number to which each instance does that received
	// it.
	initialFanout = 32
	fanout        = 3
	maxConcurrent = 8
)

// commandRunner runs the commands that need I/O.
type commandRunner struct {
	configurator *Configurator
	ctx          context.Context //nolint:containedctx // The commands end with the task's run.
	semaphore    chan struct{}
	running      sync.WaitGroup
	reconcileAt  time.Time
	settleAt     time.Time
	pulling      sync.Map // pulling holds the sources of the pulls that are running.
}

func (t *commandRunner) run(cmd Cmd) {
	switch cmd := cmd.(type) {
	case InForceCmd:
		count := fanout
		if cmd.Source == sourceSelf {
			count = initialFanout
		}
		t.spread(count, cmd.Source)
	case StopChangedCmd:
		t.spread(initialFanout, "")
	case MissingChangesCmd:
		t.pull(cmd.Source)
	case backgroundCmd:
		t.start(cmd.work)
	}
}

// start runs work in the background, at most maxConcurrent at a time.
func (t *commandRunner) start(work func(context.Context)) {
	t.running.Go(func() {
		select {
		case t.semaphore <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		defer func() { <-t.semaphore }()
		work(t.ctx)
	})
}

// spread offers the configuration in force to count random peers.
func (t *commandRunner) spread(count int, except string) {
	peers := t.configurator.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = slices.DeleteFunc(peers, func(m hemlocktally.Instance) bool { return string(m.ID) == except })
	for _, peer := range peers[:min(count, len(peers))] {
		t.start(func(ctx context.Context) { _, _ = t.configurator.offer(ctx, peer) })
	}
}

func (t *commandRunner) pull(source string) {
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

// tick pulls from a peer that reports a newer revision, otherwise from a random
// peer at intervals, and settles provisional stops.
func (t *commandRunner) tick(now time.Time) {
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
	if now.After(t.settleAt) && c.settlesStops() {
		t.settleAt = now.Add(settleInterval + rand.N(settleInterval))
		t.start(c.settleStops)
	}
}

// settlesStops reports whether there are active provisional stops and this
// instance is one of those that commit them to the store.
func (c *Configurator) settlesStops() bool {
	c.mu.Lock()
	active := len(c.state.Stops(hemlocktally.StopActive))
	c.mu.Unlock()
	if active == 0 || c.Members == nil {
		return active > 0
	}
	return registrar.IsWatcher(c.Members.View(), c.Self, "Stops")
}
