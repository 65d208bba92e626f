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
	commitTries = 8
	commitPause = 50 * time.Millisecond
	// DefaultSettleLimit bounds the reading back of a lost answer.
	DefaultSettleLimit = 5 * time.Second
)

// Change offers a change to the store. It returns the accepted change, also
// where the same ID had been accepted before. Its errors say that the change is
// not accepted, and why: a *hemlocktally.RaceError where another came first, a
// *hemlocktally.ChangeError where a command can't be applied, a
// *hemlocktally.StoreError where the store did not answer. Only after a
// *hemlocktally.UnknownChangeError it may have been accepted nevertheless.
// Provisional stops that are known here are settled first, so that a later
// command to bring back is not undone by them.
func (c *Configurator) Change(ctx context.Context, change hemlocktally.Change) (hemlocktally.Accepted, error) {
	c.settleStops(ctx)
	return c.commit(ctx, change, false)
}

// commit offers the change until it is decided. With rebase it is put on top of
// whatever is in force.
func (c *Configurator) commit(ctx context.Context, change hemlocktally.Change, rebase bool) (hemlocktally.Accepted, error) {
	change, err := normalize(change)
	if err != nil {
		return hemlocktally.Accepted{}, err
	}
	for range commitTries {
		accepted, err := c.tryCommit(ctx, change, rebase)
		var conflict *hemlocktally.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, errStale) && !storer.IsAbsent(err) {
			return accepted, err
		}
		if !pause(ctx, commitPause) {
			break
		}
	}
	return hemlocktally.Accepted{}, &hemlocktally.StoreError{Operation: "change", Key: headKey, Cause: errStale}
}

var errStale = errors.New("the store keeps answering with an older head than the one in force")

// normalize returns the change as it reads back from JSON, so that its hash is
// the same everywhere. An empty ID is replaced by a new one.
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

func (c *Configurator) tryCommit(ctx context.Context, change hemlocktally.Change, rebase bool) (hemlocktally.Accepted, error) {
	var none hemlocktally.Accepted
	h, err := c.archive().read(ctx)
	if err != nil {
		return none, err
	}
	if found, ok := h.find(change.ID); ok {
		return repeated(found, change)
	}
	if h.Revision < c.accepted().Revision {
		c.update(RevisionMsg{Revision: h.Revision, Hash: h.Hash, Source: sourceStore})
		return none, errStale
	}
	if rebase {
		change.Base = h.Revision
	}
	if h.Revision != change.Base {
		return none, &hemlocktally.RaceError{Base: change.Base, Winner: h.newest()}
	}
	base, err := c.observe(ctx, h.head)
	if err != nil {
		return none, err
	}
	accepted := hemlocktally.Accepted{Revision: h.Revision + 1, AcceptedAt: time.Now().UTC().Round(0), Change: change}
	accepted.Hash = chain(base.Hash, accepted)
	next, err := base.Apply(accepted)
	if err != nil {
		return none, err
	}
	return c.write(ctx, h, accepted, next)
}

// repeated returns the first acceptance of a change that is offered again.
func repeated(found hemlocktally.Accepted, change hemlocktally.Change) (hemlocktally.Accepted, error) {
	if len(found.Change.Commands) > 0 && !reflect.DeepEqual(found.Change.Commands, change.Commands) {
		return hemlocktally.Accepted{}, &hemlocktally.ChangeError{
			ChangeID: change.ID, Detail: "the ID belongs to another change, which was accepted before",
		}
	}
	if len(found.Change.Commands) == 0 {
		found.Change.Commands = change.Commands
	}
	return found, nil
}

// write commits the accepted change by compare-and-swap of the head.
func (c *Configurator) write(ctx context.Context, h versionedHead, accepted hemlocktally.Accepted, config *hemlocktally.Configuration) (hemlocktally.Accepted, error) {
	next, small := h.add(accepted)
	if !small {
		saved, err := c.archive().save(ctx, config)
		if err != nil {
			return hemlocktally.Accepted{}, err
		}
		next = next.snapshotted(saved)
	}
	value, err := next.encode()
	if err != nil {
		return hemlocktally.Accepted{}, err
	}
	entry := hemlocktally.Entry{Key: headKey, Value: value, Version: h.version}
	_, err = c.Store.Swap(ctx, entry)
	if isUnknown(err) {
		err = c.settle(ctx, h, entry, accepted)
	}
	if err != nil {
		var unknown *hemlocktally.UnknownChangeError
		if !small && !errors.As(err, &unknown) {
			c.archive().remove(context.WithoutCancel(ctx), next.Snapshot.Keys)
		}
		return hemlocktally.Accepted{}, err
	}
	c.take(accepted, config)
	if !small {
		c.later(func(ctx context.Context) { c.archive().sweep(ctx, next) })
	}
	return accepted, nil
}

// take puts a change in force that this instance committed.
func (c *Configurator) take(accepted hemlocktally.Accepted, config *hemlocktally.Configuration) {
	c.update(ChangesMsg{Changes: []hemlocktally.Accepted{accepted}, Source: sourceHere})
	if c.accepted().Revision < accepted.Revision {
		c.update(SnapshotMsg{Configuration: config, Recent: []hemlocktally.Accepted{accepted}, Source: sourceHere})
	}
}

// settle finds out whether a swap with a lost answer took effect.
func (c *Configurator) settle(ctx context.Context, h versionedHead, entry hemlocktally.Entry, accepted hemlocktally.Accepted) error {
	limit := c.SettleLimit
	if limit <= 0 {
		limit = DefaultSettleLimit
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	fence := h.head
	fence.Fence++
	value, err := fence.encode()
	if err != nil {
		return err
	}
	verdict, err := storer.Settle(ctx, c.Store, storer.LostWrite{Entry: entry, Fence: value, Mine: func(present []byte) (bool, error) {
		found, err := decodeHead(present)
		if err != nil {
			return false, err
		}
		standing, ok := found.find(accepted.Change.ID)
		return ok && standing.Hash == accepted.Hash, nil
	}})
	switch verdict {
	case storer.VerdictWritten:
		return nil
	case storer.VerdictNotWritten:
		return &hemlocktally.ConflictError{Present: hemlocktally.Entry{Key: headKey}}
	default:
		return &hemlocktally.UnknownChangeError{ChangeID: accepted.Change.ID, Cause: err}
	}
}

// observe brings the configuration of a head in force, and returns it. It
// returns an error where the head has other content for what is in force.
func (c *Configurator) observe(ctx context.Context, h head) (*hemlocktally.Configuration, error) {
	present := c.accepted()
	if present.Revision < h.Revision {
		if changes, ok := h.since(present.Revision); ok {
			c.update(ChangesMsg{Changes: changes, Source: sourceStore})
		} else {
			config, err := c.archive().load(ctx, h)
			if err != nil {
				return nil, err
			}
			c.update(SnapshotMsg{Configuration: config, Recent: h.Log, Source: sourceStore})
		}
		present = c.accepted()
	}
	c.update(RevisionMsg{Revision: h.Revision, Hash: h.Hash, Source: sourceStore})
	if present.Revision == h.Revision && present.Hash != h.Hash {
		return nil, Error.New("revision %d in the store has other content than the one in force here; replace this instance", h.Revision)
	}
	if present.Revision > h.Revision {
		return nil, errStale
	}
	return present, nil
}

// later runs work in the background of Run; it is dropped where Run has ended
// or is far behind.
func (c *Configurator) later(work func(context.Context)) {
	c.init()
	select {
	case c.outbox <- workCmd{work}:
	default:
	}
}

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
