// Package configurator maintains the configuration in force on an instance.
// Changes are accepted by compare-and-swap of a single head in the store and
// spread from peer to peer. A State decides, without I/O, what is put in force; it
// never returns to an older revision or to different content of the same one.
package configurator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"hemlocktally"
	"hemlocktally/logger"
)

// Error is the class of this package's errors.
var Error = errs.Class("configurator")

// Configurator follows the configuration for one instance. It implements
// hemlocktally.ConfigurationSource and messenger.Configuration.
type Configurator struct {
	Store hemlocktally.Store
	// Self is this instance, and Members the view of all of them, to which changes
	// are spread. If Members is nil, the instance uses only the store.
	Self    hemlocktally.InstanceID
	Members hemlocktally.ViewSource
	// HTTP calls peers and must add the peer key to requests; nil means
	// http.DefaultClient.
	HTTP *http.Client
	// AppliedRevision returns the revision that the components of the instance act on, if
	// that may lag behind the one in force; nil means that it does not.
	AppliedRevision func() hemlocktally.Revision
	// SettleTimeout bounds how long a commit checks whether a swap took effect
	// whose answer was lost. It applies even after the caller's context has ended,
	// so that an operator who gave up does not leave the outcome unknown. Zero
	// means DefaultSettleTimeout.
	SettleTimeout time.Duration
	Log           logger.Logger

	mu          sync.Mutex
	state       State
	current     atomic.Pointer[hemlocktally.Configuration]
	once        sync.Once
	queue       chan Cmd
	divergent   atomic.Uint64
	loggedStale atomic.Uint64 // loggedStale is the stale store revision that was last logged, plus one.
	messages    atomic.Uint64
	bytes       atomic.Uint64
}

// The sources of a configuration other than peers, and the size of the command
// queue.
const (
	sourceStore = "store"
	sourceSelf  = "this instance"
	queueSize   = 256
)

// backgroundCmd is work that Run starts in the background.
type backgroundCmd struct {
	work func(context.Context)
}

func (c *Configurator) init() {
	c.once.Do(func() { c.queue = make(chan Cmd, queueSize) })
}

// Current returns the configuration in force, with provisional stops applied. It
// is empty before the first, and must not be modified. The pointer stays the same
// from the first configuration until the next one is in force.
func (c *Configurator) Current() *hemlocktally.Configuration {
	if config := c.current.Load(); config != nil {
		return config
	}
	return &hemlocktally.Configuration{}
}

// Divergences returns how often a source had different content for a known
// revision.
func (c *Configurator) Divergences() uint64 { return c.divergent.Load() }

// PeerTraffic returns the number of messages exchanged with peers, and their total
// size in bytes without headers.
func (c *Configurator) PeerTraffic() (messages, bytes uint64) {
	return c.messages.Load(), c.bytes.Load()
}

// History returns up to limit of the accepted changes that are retained, newest
// first.
func (c *Configurator) History(limit int) []hemlocktally.AcceptedChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []hemlocktally.AcceptedChange
	for i := len(c.state.recent) - 1; i >= 0 && len(list) < limit; i-- {
		list = append(list, c.state.recent[i])
	}
	return list
}

func (c *Configurator) archive() archive { return archive{store: c.Store} }

// accepted returns the accepted configuration, without provisional stops.
func (c *Configurator) accepted() *hemlocktally.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Accepted()
}

// update applies a message to the state, publishes the resulting configuration and
// queues the commands for Run. Commands that don't fit the queue are dropped;
// reconciliation with peers makes up for them.
func (c *Configurator) update(msg Msg) {
	c.init()
	c.mu.Lock()
	cmds := c.state.Update(msg, time.Now())
	if slices.ContainsFunc(cmds, changesConfiguration) {
		c.current.Store(c.state.Effective())
	}
	c.mu.Unlock()
	for _, cmd := range cmds {
		c.log(cmd)
		select {
		case c.queue <- cmd:
		default:
		}
	}
}

// changesConfiguration reports whether a command changes the configuration in
// force.
func changesConfiguration(cmd Cmd) bool {
	switch cmd.(type) {
	case InForceCmd, StopChangedCmd:
		return true
	default:
		return false
	}
}

// Run follows the store and the peers until the context ends.
func (c *Configurator) Run(ctx context.Context) error {
	c.init()
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &commandRunner{configurator: c, ctx: workCtx, semaphore: make(chan struct{}, maxConcurrent)}
	defer t.running.Wait()
	defer cancel()
	t.running.Go(func() { c.follow(workCtx) })
	ticker := time.NewTicker(reconcileTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case cmd := <-c.queue:
			t.run(cmd)
		case now := <-ticker.C:
			t.tick(now)
		}
	}
}
