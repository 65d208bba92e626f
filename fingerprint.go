package hemlocktally

import (
	"encoding/hex"
	"fmt"
)

// FingerprintBytes is the length of a Fingerprint.
const FingerprintBytes = 16

// Fingerprint identifies a request that may come again, with another call ID and at another
// instance. It is a part of a cryptographic hash: a caller can't choose a request that has
// the fingerprint of another one. The zero value identifies no request.
type Fingerprint [FingerprintBytes]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses hexadecimal digits.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != FingerprintBytes {
		return f, fmt.Errorf("%q is not a fingerprint of %d hexadecimal digits", text, hex.EncodedLen(FingerprintBytes))
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, fmt.Errorf("%q is not a fingerprint: %w", text, err)
	}
	return f, nil
}

// UnmarshalText parses the hexadecimal digits.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	parsed, err := ParseFingerprint(string(text))
	if err == nil {
		*f = parsed
	}
	return err
}

// MarshalText returns the hexadecimal digits, also for the log.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
