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

	// logBytesLimit and logLimit bound the changes that a head carries beyond its
	// snapshot; past them a new snapshot is written.
	logBytesLimit = 32 << 10
	logLimit      = 32
	// keptLog is how many changes older than the snapshot a head keeps for
	// followers that are a little behind.
	keptLog = 8
	// namesLimit bounds the IDs of past changes by which a repeat is known.
	namesLimit = 128
	// chunkBytes is the size of one stored piece, below the service's limit.
	chunkBytes = 512 << 10
	// maxConfigurationBytes bounds a configuration as it is unpacked.
	maxConfigurationBytes = 256 << 20
)

// head is the value under which one change after another is committed: the
// newest snapshot, the changes since, and the names of past changes.
type head struct {
	Revision hemlocktally.Revision
	Hash     string
	Snapshot snapshot
	Log      []hemlocktally.Accepted
	Names    []changeName
	Fence    uint64 `json:",omitempty"` // Fence is counted up to settle writes that were lost.
}

// snapshot says where a whole configuration is stored.
type snapshot struct {
	Revision hemlocktally.Revision
	Keys     []string
	SHA256   string
}

// changeName is what is kept of a change that is no longer in the log.
type changeName struct {
	ID         string
	Author     string
	Revision   hemlocktally.Revision
	AcceptedAt time.Time
	Hash       string
}

// chain returns the hash of the configuration after a change.
func chain(before string, accepted hemlocktally.Accepted) string {
	accepted.Hash = ""
	// A change that came from JSON can always be written as JSON.
	document, _ := json.Marshal(accepted)
	sum := sha256.New()
	sum.Write([]byte(before))
	sum.Write(document)
	const hashBytes = 16
	return hex.EncodeToString(sum.Sum(nil)[:hashBytes])
}

// decodeHead reads a stored head.
func decodeHead(value []byte) (head, error) {
	var h head
	err := json.Unmarshal(value, &h)
	return h, Error.Wrap(err)
}

func (h head) encode() ([]byte, error) {
	value, err := json.Marshal(h)
	return value, Error.Wrap(err)
}

// find returns the accepted change with the ID. Commands are missing where only
// its name is kept.
func (h head) find(id string) (hemlocktally.Accepted, bool) {
	if i := slices.IndexFunc(h.Log, func(a hemlocktally.Accepted) bool { return a.Change.ID == id }); i >= 0 {
		return h.Log[i], true
	}
	if i := slices.IndexFunc(h.Names, func(n changeName) bool { return n.ID == id }); i >= 0 {
		return h.Names[i].accepted(), true
	}
	return hemlocktally.Accepted{}, false
}

func (n changeName) accepted() hemlocktally.Accepted {
	return hemlocktally.Accepted{
		Revision: n.Revision, AcceptedAt: n.AcceptedAt, Hash: n.Hash,
		Change: hemlocktally.Change{ID: n.ID, Author: n.Author},
	}
}

// newest returns the change that made the head's revision.
func (h head) newest() hemlocktally.Accepted {
	if len(h.Names) == 0 {
		return hemlocktally.Accepted{Revision: h.Revision, Hash: h.Hash}
	}
	newest, _ := h.find(h.Names[len(h.Names)-1].ID)
	return newest
}

// since returns the changes after a revision, oldest first. It returns false
// where the head does not carry them all.
func (h head) since(revision hemlocktally.Revision) ([]hemlocktally.Accepted, bool) {
	if revision >= h.Revision {
		return nil, true
	}
	i := slices.IndexFunc(h.Log, func(a hemlocktally.Accepted) bool { return a.Revision == revision+1 })
	if i < 0 || len(h.Log)-i != int(h.Revision-revision) {
		return nil, false
	}
	return h.Log[i:], true
}

// add returns the head after a change. It reports false where the changes past
// the snapshot have grown over the limits, so that a new snapshot is due.
func (h head) add(accepted hemlocktally.Accepted) (head, bool) {
	next := h
	next.Revision, next.Hash = accepted.Revision, accepted.Hash
	next.Log = append(slices.Clone(h.Log), accepted)
	next.Names = append(slices.Clone(h.Names), changeName{
		ID: accepted.Change.ID, Author: accepted.Change.Author, Revision: accepted.Revision,
		AcceptedAt: accepted.AcceptedAt, Hash: accepted.Hash,
	})
	if extra := len(next.Names) - namesLimit; extra > 0 {
		next.Names = next.Names[extra:]
	}
	pastSnapshot, _ := next.since(next.Snapshot.Revision)
	size, _ := json.Marshal(next.Log)
	return next, len(pastSnapshot) <= logLimit && len(size) <= logBytesLimit
}

// snapshotted returns the head with a snapshot of its revision and a short log.
func (h head) snapshotted(s snapshot) head {
	h.Snapshot = s
	h.Log = slices.Clone(h.Log[max(0, len(h.Log)-keptLog):])
	for len(h.Log) > 0 {
		if size, _ := json.Marshal(h.Log); len(size) <= logBytesLimit/2 {
			break
		}
		h.Log = h.Log[1:]
	}
	return h
}

// pack compresses a configuration.
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

func digestOf(packed []byte) string {
	sum := sha256.Sum256(packed)
	return hex.EncodeToString(sum[:])
}
