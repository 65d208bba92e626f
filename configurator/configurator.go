// Package configurator keeps the configuration in force: it reads accepted
// revisions from the store and never goes back to an older one.
package configurator

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"hemlocktally"
)

// Error is the class of this package's errors.
var Error = errs.Class("configurator")

// Configurator follows the configuration in the store. It implements
// hemlocktally.Configurer.
type Configurator struct {
	Store hemlocktally.Store

	current atomic.Pointer[hemlocktally.Configuration]
}

const (
	headKey      = "Configuration/Head"
	pollInterval = 500 * time.Millisecond
)

// Current returns the configuration in force; it is empty before the first.
func (c *Configurator) Current() *hemlocktally.Configuration {
	if config := c.current.Load(); config != nil {
		return config
	}
	return &hemlocktally.Configuration{}
}

// Run follows the store until the context ends.
func (c *Configurator) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		_ = c.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *Configurator) refresh(ctx context.Context) error {
	entry, err := c.Store.Get(ctx, headKey)
	if err != nil {
		return Error.Wrap(err)
	}
	var config hemlocktally.Configuration
	if err := json.Unmarshal(entry.Value, &config); err != nil {
		return Error.Wrap(err)
	}
	c.install(&config)
	return nil
}

// install puts the configuration in force unless a newer one already is.
func (c *Configurator) install(config *hemlocktally.Configuration) {
	for {
		present := c.current.Load()
		if present != nil && present.Revision >= config.Revision {
			return
		}
		if c.current.CompareAndSwap(present, config) {
			return
		}
	}
}

// Change offers a change to the store and returns the accepted revision. It
// returns a *hemlocktally.RaceError where another change came first, and a
// *hemlocktally.ChangeError where a command can't be applied.
func (c *Configurator) Change(ctx context.Context, change hemlocktally.Change) (hemlocktally.Accepted, error) {
	present, version, err := c.read(ctx)
	if err != nil {
		return hemlocktally.Accepted{}, err
	}
	if present.Revision != change.Base {
		return hemlocktally.Accepted{}, &hemlocktally.RaceError{Base: change.Base, Winner: hemlocktally.Accepted{
			Revision: present.Revision, AcceptedAt: present.AcceptedAt,
			Change: hemlocktally.Change{ID: present.ChangeID, Author: present.Author},
		}}
	}
	accepted := hemlocktally.Accepted{Revision: present.Revision + 1, AcceptedAt: time.Now().UTC(), Change: change}
	next, err := present.Apply(accepted)
	if err != nil {
		return hemlocktally.Accepted{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return hemlocktally.Accepted{}, Error.Wrap(err)
	}
	if _, err := c.Store.Swap(ctx, hemlocktally.Entry{Key: headKey, Value: value, Version: version}); err != nil {
		return hemlocktally.Accepted{}, Error.Wrap(err)
	}
	c.install(next)
	return accepted, nil
}

func (c *Configurator) read(ctx context.Context) (*hemlocktally.Configuration, hemlocktally.StoreVersion, error) {
	entry, err := c.Store.Get(ctx, headKey)
	if isAbsent(err) {
		return &hemlocktally.Configuration{}, 0, nil
	}
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	var config hemlocktally.Configuration
	if err := json.Unmarshal(entry.Value, &config); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	return &config, entry.Version, nil
}
