package follower

import (
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// contentVersions names pictures by what they pass on. Its zero value works.
type contentVersions struct {
	mu      sync.Mutex
	known   bool
	version uint64 // version is the picture's own, within this life of the instance.
	name    string
}

// of returns the name of the picture's relayed entries.
func (v *contentVersions) of(p *Picture) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known || v.version != p.Version {
		v.known, v.version, v.name = true, p.Version, nameOf(p.Relayed)
	}
	return v.name
}

// nameOf hashes entries in their order.
func nameOf(entries []hemlocktally.Entry) string {
	hash := xxhash.New()
	for _, e := range entries {
		writeField(hash, []byte(e.Key))
		writeField(hash, e.Value)
		writeNumber(hash, uint64(e.Version))
		writeNumber(hash, uint64(e.Generation))
	}
	return nameOfSum(hash.Sum64())
}

func nameOfSum(sum uint64) string {
	const base = 36
	return strconv.FormatUint(sum, base)
}

// writeField writes a field with its length, so that no two rows of fields are
// alike.
func writeField(hash *xxhash.Digest, field []byte) {
	writeNumber(hash, uint64(len(field)))
	_, _ = hash.Write(field) // It never fails.
}

func writeNumber(hash *xxhash.Digest, n uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], n)
	_, _ = hash.Write(buffer[:])
}
