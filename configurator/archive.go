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

// archive reads and writes the stored configuration: a head, and snapshots that
// are split into pieces. A piece is written before any head refers to it, and is
// never modified.
type archive struct {
	store hemlocktally.Store
}

// versionedHead is a head with the store version that was read.
type versionedHead struct {
	head
	version hemlocktally.StoreVersion
}

// pieceAttempts bounds the writes of one piece.
const pieceAttempts = 5

func (a archive) readHead(ctx context.Context) (versionedHead, error) {
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

// load returns the complete configuration of a head. It returns a *NotFoundError if
// a piece of the snapshot was deleted because a newer head replaced it.
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
		return nil, Error.New("the head of revision %d does not hold all changes after its snapshot of revision %d", h.Revision, h.Snapshot.Revision)
	}
	for _, change := range changes {
		next, err := config.Apply(change)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		config = next
	}
	if config.Revision != h.Revision || config.Hash != h.Hash {
		return nil, Error.New("the stored configuration has revision %d and hash %s, but its head has revision %d and hash %s",
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
		return nil, Error.New("the pieces of the snapshot of revision %d don't match the SHA-256 in the head", s.Revision)
	}
	return unpack(packed.Bytes())
}

// save writes a snapshot under new keys that no other attempt uses. After an error
// it deletes the pieces that it wrote.
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
			a.deleteKeys(ctx, s.Keys)
			return snapshot{}, err
		}
	}
	return s, nil
}

// savePiece writes a piece under a key that only this attempt writes. If the answer
// is lost it writes again; a conflict then means that the piece is stored.
func (a archive) savePiece(ctx context.Context, key string, piece []byte) error {
	var err error
	for range pieceAttempts {
		_, err = a.store.CompareAndSwap(ctx, hemlocktally.Entry{Key: key, Value: piece})
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

// deleteKeys deletes keys to which no head refers. Errors are ignored, since
// deleteOrphans deletes later what remains.
func (a archive) deleteKeys(ctx context.Context, keys []string) {
	for _, key := range keys {
		entry, err := a.store.Get(ctx, key)
		if err == nil {
			_ = a.store.Delete(ctx, key, entry.Version)
		}
	}
}

// deleteOrphans deletes the pieces that earlier commits left and to which the head
// does not refer. Pieces of a later revision are kept, since they belong to commits
// in progress.
func (a archive) deleteOrphans(ctx context.Context, h head) {
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
