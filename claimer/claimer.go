// Package claimer makes non-idempotent calls that carry an idempotency key run at
// most once. The keys are hashed into a fixed number of ranges. A table in the store
// assigns each range, with an epoch, to one holder, for as long as the holder's lease
// in the store lasts. The holder records each key before its call is sent to a target.
//
// State is the pure state machine: a typed message and the time go in, commands come
// out. Server runs it and does the I/O. Client sends claims to the holders.
package claimer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// RangeID identifies a range of keys, from 0 to Ranges-1.
type RangeID int

// Ranges is how many ranges the keys are split into.
const Ranges = 64

// KeyID identifies a key. Keys of different callers or contracts are distinct.
type KeyID struct {
	Caller   hemlocktally.CallerName
	Contract hemlocktally.ContractName
	Key      string
}

// KeyOf returns the ID of the key that the request claims.
func KeyOf(r hemlocktally.ClaimRequest) KeyID {
	return KeyID{Caller: r.Caller, Contract: r.Contract, Key: r.Key}
}

// RangeOf returns the range that the key falls into.
func RangeOf(key KeyID) RangeID {
	hash := xxhash.New()
	for _, part := range []string{string(key.Caller), string(key.Contract), key.Key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return RangeID(hash.Sum64() % Ranges)
}

const (
	// KeyLifetime is how long a key is recorded after its first use. A key without
	// a time in it must not be used again after that.
	KeyLifetime = 10 * time.Minute
	// ClockMargin bounds how far the wall clocks of callers and instances differ.
	ClockMargin = time.Second

	maxKeyBytes        = 256
	maxRecords         = 50_000
	maxKeptBytes       = 16 << 20
	maxKeptAnswerBytes = 1 << 20
	maxQueued          = 4096                   // maxQueued bounds the messages that wait for one range's hand-over.
	minRunTime         = 500 * time.Millisecond // minRunTime is the remaining lease time below which no call is granted that the lease would cut short.
	defaultRetryAfter  = time.Second
)

// Limits bounds the memory of a holder. Values of zero or less mean the defaults.
type Limits struct {
	Records   int // Records bounds the number of recorded keys.
	KeptBytes int // KeptBytes bounds the total size in bytes of the bodies and headers of kept answers.
}

func (l Limits) withDefaults() Limits {
	if l.Records <= 0 {
		l.Records = maxRecords
	}
	if l.KeptBytes <= 0 {
		l.KeptBytes = maxKeptBytes
	}
	return l
}
