package dispatcher

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"

	"hemlocktally"
)

// fingerprint returns what identifies the request where its client sends it again: caller,
// method, host, path with query, and body. Of a body that is streamed, only the buffered
// part and the declared length count.
func (c *call) fingerprint() hemlocktally.Fingerprint {
	c.fingerprintOnce.Do(func() { c.identity = c.computeFingerprint() })
	return c.identity
}

func (c *call) computeFingerprint() hemlocktally.Fingerprint {
	r := c.request
	caller := string(c.record.Caller)
	if c.record.Caller == hemlocktally.AnonymousCaller {
		caller += " " + r.Header.Get("Authorization")
	}
	digest := sha256.New()
	for _, part := range []string{caller, r.Method, strings.ToLower(stripPort(r.Host)), r.URL.RequestURI()} {
		writeField(digest, []byte(part))
	}
	writeField(digest, c.body.buffered)
	writeNumber(digest, uint64(c.body.length))
	return hemlocktally.Fingerprint(digest.Sum(nil)[:hemlocktally.FingerprintBytes])
}

// writeField adds a field and its length, so that no two lists of fields have the same digest.
func writeField(digest hash.Hash, field []byte) {
	writeNumber(digest, uint64(len(field)))
	digest.Write(field)
}

func writeNumber(digest hash.Hash, n uint64) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], n)
	digest.Write(encoded[:])
}
