// Package configurator keeps the configuration in force. Changes are accepted
// by compare-and-swap of one head in the store and spread from peer to peer; a
// State decides in pure steps what is put in force, and never goes back to an
// older revision or to other content of the same one.
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
// hemlocktally.Configurer and messenger.Configuration.
type Configurator struct {
	Store hemlocktally.Store
	// Self and Members say whom to spread changes to; without Members the
	// instance is alone with the store.
	Self    hemlocktally.InstanceID
	Members hemlocktally.Viewer
	// HTTP sends to peers; it adds the peers' key.
	HTTP *http.Client
	// Applied returns the revision that the parts of the instance act on, where
	// that may lag behind the one in force; nil means that it does not.
	Applied func() hemlocktally.Revision
	// SettleTimeout bounds how long a commit checks whether a swap took effect
	// whose answer was lost. It applies even after the caller's context has ended,
	// so that an operator who gave up does not leave the outcome unknown. Zero
	// means DefaultSettleTimeout.
	SettleTimeout time.Duration
	Log           logger.Logger

	mu        sync.Mutex
	state     State
	current   atomic.Pointer[hemlocktally.Configuration]
	once      sync.Once
	outbox    chan Cmd
	divergent atomic.Uint64
	staleAt   atomic.Uint64 // staleAt is one more than the older revision that was last logged.
	messages  atomic.Uint64
	bytes     atomic.Uint64
}

// The sources of a configuration besides peers.
const (
	sourceStore = "store"
	sourceHere  = "this instance"
	outboxSize  = 256
)

// workCmd is work for the background of Run.
type workCmd struct {
	work func(context.Context)
}

func (c *Configurator) init() {
	c.once.Do(func() { c.outbox = make(chan Cmd, outboxSize) })
}

// Current returns the configuration in force, provisional stops included; it is
// empty before the first. The pointer stays the same until something changes.
func (c *Configurator) Current() *hemlocktally.Configuration {
	if config := c.current.Load(); config != nil {
		return config
	}
	return &hemlocktally.Configuration{}
}

// Divergences returns how often other content was offered for a revision.
func (c *Configurator) Divergences() uint64 { return c.divergent.Load() }

// Traffic returns how many messages were exchanged with peers, and their bytes
// without headers.
func (c *Configurator) Traffic() (messages, bytes uint64) {
	return c.messages.Load(), c.bytes.Load()
}

// History returns the newest accepted changes that are kept, newest first.
func (c *Configurator) History(limit int) []hemlocktally.Accepted {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []hemlocktally.Accepted
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

// update takes one step and publishes what follows. Commands that need I/O are
// left to Run; reconciliation makes up for those that don't fit its outbox.
func (c *Configurator) update(msg Msg) {
	c.init()
	c.mu.Lock()
	cmds := c.state.Update(msg, time.Now())
	if slices.ContainsFunc(cmds, changesForce) {
		c.current.Store(c.state.Effective())
	}
	c.mu.Unlock()
	for _, cmd := range cmds {
		c.log(cmd)
		select {
		case c.outbox <- cmd:
		default:
		}
	}
}

// changesForce reports whether a command says that something else is in force.
func changesForce(cmd Cmd) bool {
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
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &task{configurator: c, ctx: work, slots: make(chan struct{}, concurrency)}
	defer t.running.Wait()
	defer cancel()
	t.running.Go(func() { c.follow(work) })
	ticker := time.NewTicker(reconcileTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case cmd := <-c.outbox:
			t.run(cmd)
		case now := <-ticker.C:
			t.tick(now)
		}
	}
}
