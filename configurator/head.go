package configurator

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"time"

	"hemlocktally"
)

const (
	headKey        = "Configuration/Head"
	snapshotPrefix = "Configuration/Snapshots/"

	// maxLogBytes bounds the log of a head as JSON, and maxLogChanges the changes
	// in it that are newer than the snapshot. A commit that would exceed either
	// writes a new snapshot.
	maxLogBytes   = 32 << 10
	maxLogChanges = 32
	// retainedLogChanges is how many changes up to the snapshot's revision stay in
	// the log, so that instances slightly behind need not load the snapshot.
	retainedLogChanges = 8
	// maxChangeNames bounds the past changes whose IDs are retained to recognize a
	// change that is offered again.
	maxChangeNames = 128
	// chunkBytes is the size of one stored piece of a snapshot, below the store's
	// limit on values.
	chunkBytes = 512 << 10
	// maxConfigurationBytes bounds the decompressed size of a configuration.
	maxConfigurationBytes = 256 << 20
)

// head is the stored value that each commit replaces by compare-and-swap. It
// refers to the newest snapshot and holds the changes since, and summaries of
// past changes.
type head struct {
	Revision hemlocktally.Revision
	Hash     string
	Snapshot snapshot
	Log      []hemlocktally.AcceptedChange
	Names    []changeName
	Fence    uint64 `json:",omitempty"` // Fence is incremented to settle a swap whose answer was lost.
}

// snapshot refers to a complete stored configuration. Keys names its pieces in
// order, SHA256 is the digest of all of them joined.
type snapshot struct {
	Revision hemlocktally.Revision
	Keys     []string
	SHA256   string
}

// changeName summarizes an accepted change; it outlasts the change in the log.
type changeName struct {
	ID         string
	Author     string
	Revision   hemlocktally.Revision
	AcceptedAt time.Time
	Hash       string
}

// chainHash returns the hash of the configuration after a change, from the hash
// before it and the change without its own hash.
func chainHash(before string, accepted hemlocktally.AcceptedChange) string {
	accepted.Hash = ""
	// The error is ignored: a change decoded from JSON can always be encoded.
	document, _ := json.Marshal(accepted)
	sum := sha256.New()
	sum.Write([]byte(before))
	sum.Write(document)
	const hashBytes = 16
	return hex.EncodeToString(sum.Sum(nil)[:hashBytes])
}

func decodeHead(value []byte) (head, error) {
	var h head
	err := json.Unmarshal(value, &h)
	return h, Error.Wrap(err)
}

func (h head) encode() ([]byte, error) {
	value, err := json.Marshal(h)
	return value, Error.Wrap(err)
}

// findChange returns the accepted change with the ID. It has no commands if only
// its summary is retained.
func (h head) findChange(id string) (hemlocktally.AcceptedChange, bool) {
	if i := slices.IndexFunc(h.Log, func(a hemlocktally.AcceptedChange) bool { return a.Change.ID == id }); i >= 0 {
		return h.Log[i], true
	}
	if i := slices.IndexFunc(h.Names, func(n changeName) bool { return n.ID == id }); i >= 0 {
		return h.Names[i].accepted(), true
	}
	return hemlocktally.AcceptedChange{}, false
}

func (n changeName) accepted() hemlocktally.AcceptedChange {
	return hemlocktally.AcceptedChange{
		Revision: n.Revision, AcceptedAt: n.AcceptedAt, Hash: n.Hash,
		Change: hemlocktally.Change{ID: n.ID, Author: n.Author},
	}
}

// latestChange returns the change that made the head's revision.
func (h head) latestChange() hemlocktally.AcceptedChange {
	if len(h.Names) == 0 {
		return hemlocktally.AcceptedChange{Revision: h.Revision, Hash: h.Hash}
	}
	newest, _ := h.findChange(h.Names[len(h.Names)-1].ID)
	return newest
}

// changesAfter returns the changes after a revision, oldest first, as part of the
// head's log. It returns false if the log does not hold them all.
func (h head) changesAfter(revision hemlocktally.Revision) ([]hemlocktally.AcceptedChange, bool) {
	if revision >= h.Revision {
		return nil, true
	}
	i := slices.IndexFunc(h.Log, func(a hemlocktally.AcceptedChange) bool { return a.Revision == revision+1 })
	if i < 0 || len(h.Log)-i != int(h.Revision-revision) {
		return nil, false
	}
	return h.Log[i:], true
}

// withChange returns the head after a change, and whether its log is within the
// limits. If it is not, a new snapshot is needed.
func (h head) withChange(accepted hemlocktally.AcceptedChange) (head, bool) {
	next := h
	next.Revision, next.Hash = accepted.Revision, accepted.Hash
	next.Log = append(slices.Clone(h.Log), accepted)
	next.Names = append(slices.Clone(h.Names), changeName{
		ID: accepted.Change.ID, Author: accepted.Change.Author, Revision: accepted.Revision,
		AcceptedAt: accepted.AcceptedAt, Hash: accepted.Hash,
	})
	if extra := len(next.Names) - maxChangeNames; extra > 0 {
		next.Names = next.Names[extra:]
	}
	pastSnapshot, _ := next.changesAfter(next.Snapshot.Revision)
	size, _ := json.Marshal(next.Log)
	return next, len(pastSnapshot) <= maxLogChanges && len(size) <= maxLogBytes
}

// withSnapshot returns the head with a snapshot of its revision. The log keeps at
// most retainedLogChanges changes and half of maxLogBytes.
func (h head) withSnapshot(s snapshot) head {
	h.Snapshot = s
	h.Log = slices.Clone(h.Log[max(0, len(h.Log)-retainedLogChanges):])
	for len(h.Log) > 0 {
		if size, _ := json.Marshal(h.Log); len(size) <= maxLogBytes/2 {
			break
		}
		h.Log = h.Log[1:]
	}
	return h
}

// pack encodes a configuration as gzipped JSON.
func pack(config *hemlocktally.Configuration) ([]byte, error) {
	var packed bytes.Buffer
	compressor := gzip.NewWriter(&packed)
	if err := json.NewEncoder(compressor).Encode(config); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := compressor.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return packed.Bytes(), nil
}

// unpack is the reverse of pack.
func unpack(packed []byte) (*hemlocktally.Configuration, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var config hemlocktally.Configuration
	if err := json.NewDecoder(io.LimitReader(decompressor, maxConfigurationBytes)).Decode(&config); err != nil {
		return nil, Error.Wrap(err)
	}
	return &config, nil
}

func sha256Hex(packed []byte) string {
	sum := sha256.Sum256(packed)
	return hex.EncodeToString(sum[:])
}
