// Package claimer makes non-idempotent calls with a caller's key run at most
// once. The keys are split into a fixed number of ranges. Each range has one
// holder, which the store's table names with an epoch, and which is valid for as
// long as the holder's lease in the store. The holder records each key before
// its call is sent to a target.
//
// State is the pure step: a typed message and the time go in, commands come out.
// Server is the task around it, Client asks the holder on behalf of an entry.
package claimer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// RangeID numbers a range of keys from 0 to Ranges-1.
type RangeID int

// Ranges is how many ranges the keys are split into.
const Ranges = 64

// KeyID names one key of one caller under one contract.
type KeyID struct {
	Caller   hemlocktally.CallerName
	Contract hemlocktally.ContractName
	Key      string
}

// KeyOf returns the key that the request claims.
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
	// KeyLifetime is how long a key is remembered after its first use. A key
	// without a time in it must not be used again after that.
	KeyLifetime = 10 * time.Minute
	// ClockMargin bounds how far the wall clocks of callers and instances differ.
	ClockMargin = time.Second

	maxKeyBytes        = 256
	maxRecords         = 50_000
	maxKeptBytes       = 16 << 20
	maxKeptAnswerBytes = 1 << 20
	maxQueued          = 4096                   // maxQueued bounds the messages that wait for a range to move.
	leastRun           = 500 * time.Millisecond // leastRun is the least rest of a lease that lets a call run.
	retryAdvice        = time.Second
)

// Limits bound the memory of a holder. Zero values mean the defaults.
type Limits struct {
	Records   int // Records is how many keys are remembered.
	KeptBytes int // KeptBytes bounds the bodies and headers of kept answers.
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
