package follower

import (
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// contentVersions caches the content digest of a FleetState's relayed entries. Its zero value
// works.
type contentVersions struct {
	mu      sync.Mutex
	known   bool
	version uint64 // version is FleetState.RelayedVersion, which is comparable within this process only.
	digest  string
}

// of returns the digest of the relayed entries.
func (v *contentVersions) of(p *FleetState) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known || v.version != p.RelayedVersion {
		v.known, v.version, v.digest = true, p.RelayedVersion, digestOf(p.Relayed)
	}
	return v.digest
}

// digestOf hashes entries in their order.
func digestOf(entries []hemlocktally.Entry) string {
	hash := xxhash.New()
	for _, e := range entries {
		writeField(hash, []byte(e.Key))
		writeField(hash, e.Value)
		writeNumber(hash, uint64(e.Version))
		writeNumber(hash, uint64(e.Generation))
	}
	return formatDigest(hash.Sum64())
}

func formatDigest(sum uint64) string {
	const base = 36
	return strconv.FormatUint(sum, base)
}

// writeField writes a field preceded by its length, so that different sequences of fields
// never produce the same input.
func writeField(hash *xxhash.Digest, field []byte) {
	writeNumber(hash, uint64(len(field)))
	_, _ = hash.Write(field) // Write never fails.
}

func writeNumber(hash *xxhash.Digest, n uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], n)
	_, _ = hash.Write(buffer[:])
}
