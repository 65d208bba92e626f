package configurator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/storer"
)

// archive is the configuration as it lies in the store: a head, and snapshots
// in pieces. A piece is written before any head names it and never changes.
type archive struct {
	store hemlocktally.Store
}

// versionedHead is a head with the version under which it was read.
type versionedHead struct {
	head
	version hemlocktally.StoreVersion
}

const pieceTries = 5

func (a archive) read(ctx context.Context) (versionedHead, error) {
	entry, err := a.store.Get(ctx, headKey)
	if storer.IsAbsent(err) {
		return versionedHead{}, nil
	}
	if err != nil {
		return versionedHead{}, Error.Wrap(err)
	}
	h, err := decodeHead(entry.Value)
	return versionedHead{head: h, version: entry.Version}, err
}

// load returns the whole configuration of a head. It returns an *AbsentError
// where a newer head has replaced the snapshot meanwhile.
func (a archive) load(ctx context.Context, h head) (*hemlocktally.Configuration, error) {
	config := &hemlocktally.Configuration{}
	if len(h.Snapshot.Keys) > 0 {
		var err error
		if config, err = a.loadSnapshot(ctx, h.Snapshot); err != nil {
			return nil, err
		}
	}
	changes, ok := h.changesAfter(h.Snapshot.Revision)
	if !ok {
		return nil, Error.New("the head of revision %d lacks changes after its snapshot of revision %d", h.Revision, h.Snapshot.Revision)
	}
	for _, change := range changes {
		next, err := config.Apply(change)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		config = next
	}
	if config.Revision != h.Revision || config.Hash != h.Hash {
		return nil, Error.New("the stored configuration is revision %d with hash %s, its head says %d with %s",
			config.Revision, config.Hash, h.Revision, h.Hash)
	}
	return config, nil
}

func (a archive) loadSnapshot(ctx context.Context, s snapshot) (*hemlocktally.Configuration, error) {
	var packed bytes.Buffer
	for _, key := range s.Keys {
		entry, err := a.store.Get(ctx, key)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		packed.Write(entry.Value)
	}
	if sha256Hex(packed.Bytes()) != s.SHA256 {
		return nil, Error.New("the pieces of snapshot %d don't have the hash that the head names", s.Revision)
	}
	return unpack(packed.Bytes())
}

// save writes a snapshot under keys of its own.
func (a archive) save(ctx context.Context, config *hemlocktally.Configuration) (snapshot, error) {
	packed, err := pack(config)
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{Revision: config.Revision, SHA256: sha256Hex(packed)}
	attempt := ulid.Make().String()
	for i := 0; len(packed) > 0; i++ {
		piece := packed[:min(chunkBytes, len(packed))]
		packed = packed[len(piece):]
		key := fmt.Sprintf("%s%020d/%s/%d", snapshotPrefix, config.Revision, attempt, i)
		s.Keys = append(s.Keys, key)
		if err := a.savePiece(ctx, key, piece); err != nil {
			a.remove(ctx, s.Keys)
			return snapshot{}, err
		}
	}
	return s, nil
}

// savePiece writes a key that nobody else writes. A lost answer is made up for
// by writing again: a conflict then shows that the piece stands.
func (a archive) savePiece(ctx context.Context, key string, piece []byte) error {
	var err error
	for range pieceTries {
		_, err = a.store.Swap(ctx, hemlocktally.Entry{Key: key, Value: piece})
		var conflict *hemlocktally.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return nil
		}
		if !isUnknown(err) {
			break
		}
	}
	return Error.Wrap(err)
}

// remove deletes keys that no head names. What is left behind by a failure is
// swept later.
func (a archive) remove(ctx context.Context, keys []string) {
	for _, key := range keys {
		entry, err := a.store.Get(ctx, key)
		if err == nil {
			_ = a.store.Delete(ctx, key, entry.Version)
		}
	}
}

// sweep deletes the pieces that commits before the head left behind. Pieces of
// a later revision belong to commits that are under way.
func (a archive) sweep(ctx context.Context, h head) {
	named := map[string]bool{}
	for _, key := range h.Snapshot.Keys {
		named[key] = true
	}
	entries, err := a.store.List(ctx, snapshotPrefix)
	if err != nil {
		return
	}
	next := fmt.Sprintf("%020d", h.Revision+1)
	for _, entry := range entries {
		revision, _, _ := strings.Cut(strings.TrimPrefix(entry.Key, snapshotPrefix), "/")
		if !named[entry.Key] && revision < next {
			_ = a.store.Delete(ctx, entry.Key, entry.Version)
		}
	}
}

func isUnknown(err error) bool {
	var failed *hemlocktally.StoreError
	return errors.As(err, &failed) && failed.Unknown
}
