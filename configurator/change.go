package configurator

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/storer"
)

const (
	commitAttempts   = 8
	commitRetryDelay = 50 * time.Millisecond
	// DefaultSettleTimeout bounds how long a commit checks whether a swap took
	// effect whose answer was lost.
	DefaultSettleTimeout = 5 * time.Second
)

// Change commits a change to the store. It returns the accepted change, also if
// the same ID was accepted before. An error means that the change was not
// accepted: a *hemlocktally.RevisionConflictError if another change came first, a
// *hemlocktally.ChangeError if a command can't be applied or the ID belongs to
// another change, a *hemlocktally.StoreError if the store did not answer. Only
// after a *hemlocktally.UnknownChangeError may it have been accepted nevertheless.
// Change first settles the active provisional stops of this instance, so that
// they don't undo a command of the change that brings something back into service.
func (c *Configurator) Change(ctx context.Context, change hemlocktally.Change) (hemlocktally.AcceptedChange, error) {
	c.settleStops(ctx)
	return c.commit(ctx, change, false)
}

// commit tries to commit the change, again after a conflict or a stale read. With
// rebase, the change is based on the head's revision instead of its own Base.
func (c *Configurator) commit(ctx context.Context, change hemlocktally.Change, rebase bool) (hemlocktally.AcceptedChange, error) {
	change, err := normalize(change)
	if err != nil {
		return hemlocktally.AcceptedChange{}, err
	}
	for range commitAttempts {
		accepted, err := c.tryCommit(ctx, change, rebase)
		var conflict *hemlocktally.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, errStale) && !storer.IsAbsent(err) {
			return accepted, err
		}
		if !pause(ctx, commitRetryDelay) {
			break
		}
	}
	return hemlocktally.AcceptedChange{}, &hemlocktally.StoreError{Operation: "change", Key: headKey, Cause: errStale}
}

var errStale = errors.New("the store keeps returning an older revision than the one in force")

// normalize encodes the change as JSON and decodes it, so that every instance
// computes the same hash for it. An empty ID is replaced by a new one.
func normalize(change hemlocktally.Change) (hemlocktally.Change, error) {
	if change.ID == "" {
		change.ID = ulid.Make().String()
	}
	document, err := json.Marshal(change)
	if err != nil {
		return change, Error.Wrap(err)
	}
	var read hemlocktally.Change
	err = json.Unmarshal(document, &read)
	return read, Error.Wrap(err)
}

func (c *Configurator) tryCommit(ctx context.Context, change hemlocktally.Change, rebase bool) (hemlocktally.AcceptedChange, error) {
	var none hemlocktally.AcceptedChange
	h, err := c.archive().readHead(ctx)
	if err != nil {
		return none, err
	}
	if found, ok := h.findChange(change.ID); ok {
		return repeatedChange(found, change)
	}
	if h.Revision < c.accepted().Revision {
		c.update(RevisionMsg{Revision: h.Revision, Hash: h.Hash, Source: sourceStore})
		return none, errStale
	}
	if rebase {
		change.Base = h.Revision
	}
	if h.Revision != change.Base {
		return none, &hemlocktally.RevisionConflictError{Base: change.Base, Winner: h.latestChange()}
	}
	base, err := c.applyHead(ctx, h.head)
	if err != nil {
		return none, err
	}
	accepted := hemlocktally.AcceptedChange{Revision: h.Revision + 1, AcceptedAt: time.Now().UTC().Round(0), Change: change}
	accepted.Hash = chainHash(base.Hash, accepted)
	next, err := base.Apply(accepted)
	if err != nil {
		return none, err
	}
	return c.swapHead(ctx, h, accepted, next)
}

// repeatedChange returns the earlier acceptance of a change that is offered again.
// It returns a *ChangeError if that one had other commands.
func repeatedChange(found hemlocktally.AcceptedChange, change hemlocktally.Change) (hemlocktally.AcceptedChange, error) {
	if len(found.Change.Commands) > 0 && !reflect.DeepEqual(found.Change.Commands, change.Commands) {
		return hemlocktally.AcceptedChange{}, &hemlocktally.ChangeError{
			ChangeID: change.ID, Detail: "another change with this ID was accepted before",
		}
	}
	if len(found.Change.Commands) == 0 {
		found.Change.Commands = change.Commands
	}
	return found, nil
}

// swapHead commits the change by compare-and-swap of the head, with a snapshot of
// config if the log exceeds its limits. It then puts the change in force here.
func (c *Configurator) swapHead(ctx context.Context, h versionedHead, accepted hemlocktally.AcceptedChange, config *hemlocktally.Configuration) (hemlocktally.AcceptedChange, error) {
	next, fits := h.withChange(accepted)
	if !fits {
		saved, err := c.archive().save(ctx, config)
		if err != nil {
			return hemlocktally.AcceptedChange{}, err
		}
		next = next.withSnapshot(saved)
	}
	value, err := next.encode()
	if err != nil {
		return hemlocktally.AcceptedChange{}, err
	}
	entry := hemlocktally.Entry{Key: headKey, Value: value, Version: h.version}
	_, err = c.Store.CompareAndSwap(ctx, entry)
	if isUnknown(err) {
		err = c.resolveLostSwap(ctx, h, entry, accepted)
	}
	if err != nil {
		var unknown *hemlocktally.UnknownChangeError
		if !fits && !errors.As(err, &unknown) {
			c.archive().deleteKeys(context.WithoutCancel(ctx), next.Snapshot.Keys)
		}
		return hemlocktally.AcceptedChange{}, err
	}
	c.applyCommitted(accepted, config)
	if !fits {
		c.runInBackground(func(ctx context.Context) { c.archive().deleteOrphans(ctx, next) })
	}
	return accepted, nil
}

// applyCommitted puts in force a change that this instance committed, as a whole
// configuration if the change alone can't be applied.
func (c *Configurator) applyCommitted(accepted hemlocktally.AcceptedChange, config *hemlocktally.Configuration) {
	c.update(ChangesMsg{Changes: []hemlocktally.AcceptedChange{accepted}, Source: sourceSelf})
	if c.accepted().Revision < accepted.Revision {
		c.update(SnapshotMsg{Configuration: config, Recent: []hemlocktally.AcceptedChange{accepted}, Source: sourceSelf})
	}
}

// resolveLostSwap determines whether a swap took effect whose answer was lost. It
// returns nil if it did, a *ConflictError if it did not and can't any more, and an
// *UnknownChangeError if the store did not tell in time.
func (c *Configurator) resolveLostSwap(ctx context.Context, h versionedHead, entry hemlocktally.Entry, accepted hemlocktally.AcceptedChange) error {
	timeout := c.SettleTimeout
	if timeout <= 0 {
		timeout = DefaultSettleTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	fence := h.head
	fence.Fence++
	value, err := fence.encode()
	if err != nil {
		return err
	}
	verdict, err := storer.Settle(ctx, c.Store, storer.UnconfirmedWrite{Entry: entry, Fence: value, Includes: func(current []byte) (bool, error) {
		found, err := decodeHead(current)
		if err != nil {
			return false, err
		}
		existing, ok := found.findChange(accepted.Change.ID)
		return ok && existing.Hash == accepted.Hash, nil
	}})
	switch verdict {
	case storer.VerdictWritten:
		return nil
	case storer.VerdictNotWritten:
		return &hemlocktally.ConflictError{Current: hemlocktally.Entry{Key: headKey}}
	default:
		return &hemlocktally.UnknownChangeError{ChangeID: accepted.Change.ID, Cause: err}
	}
}

// applyHead puts the configuration of a head in force and returns it. It returns
// an error if the head has different content for the revision in force, and
// errStale if the head is older.
func (c *Configurator) applyHead(ctx context.Context, h head) (*hemlocktally.Configuration, error) {
	current := c.accepted()
	if current.Revision < h.Revision {
		if changes, ok := h.changesAfter(current.Revision); ok {
			c.update(ChangesMsg{Changes: changes, Source: sourceStore})
		} else {
			config, err := c.archive().load(ctx, h)
			if err != nil {
				return nil, err
			}
			c.update(SnapshotMsg{Configuration: config, Recent: h.Log, Source: sourceStore})
		}
		current = c.accepted()
	}
	c.update(RevisionMsg{Revision: h.Revision, Hash: h.Hash, Source: sourceStore})
	if current.Revision == h.Revision && current.Hash != h.Hash {
		return nil, Error.New("revision %d in the store has different content from the one in force on this instance; replace this instance", h.Revision)
	}
	if current.Revision > h.Revision {
		return nil, errStale
	}
	return current, nil
}

// runInBackground queues work for Run. The work is dropped if the queue is full,
// and not run if Run has ended.
func (c *Configurator) runInBackground(work func(context.Context)) {
	c.init()
	select {
	case c.queue <- backgroundCmd{work}:
	default:
	}
}

// pause waits for d. It returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
