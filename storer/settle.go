package storer

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"hemlocktally"
)

// Error is the class of this package's own errors.
var Error = errs.Class("storer")

// Verdict is what reading back says of a write whose answer was lost.
type Verdict string

// The verdicts. NotWritten is final: the write can't take effect later either.
const (
	VerdictWritten    Verdict = "Written"
	VerdictNotWritten Verdict = "NotWritten"
	VerdictUnknown    Verdict = "Unknown"
)

// LostWrite is a swap whose answer was lost.
type LostWrite struct {
	Entry hemlocktally.Entry                 // Entry was to be written, over its Version.
	Fence []byte                             // Fence is a value that changes nothing, written over the same version.
	Mine  func(present []byte) (bool, error) // Mine reports whether a value shows the write, also after later ones.
}

var errOlder = Error.New("the service answers with an older version of the key")

const firstSettle = 50 * time.Millisecond

// Settle reads the key back until it is certain whether the write took effect.
// A key that still has the old version proves nothing, since the write may be
// under way; so the old version is written over with the fence first. Settle
// returns VerdictUnknown with the last error once the context ends.
func Settle(ctx context.Context, store hemlocktally.Store, lost LostWrite) (Verdict, error) {
	operation := func() (Verdict, error) {
		verdict, err := settleOnce(ctx, store, lost)
		if err == nil && verdict == VerdictUnknown {
			return verdict, errOlder
		}
		if err != nil && !retriable(err) {
			return verdict, backoff.Permanent(err)
		}
		return verdict, err
	}
	limit := backoff.WithMaxElapsedTime(0)
	verdict, err := backoff.Retry(ctx, operation, backoff.WithBackOff(newBackOff(firstSettle, longestProbe)), limit)
	if err != nil {
		return VerdictUnknown, Error.Wrap(err)
	}
	return verdict, nil
}

func settleOnce(ctx context.Context, store hemlocktally.Store, lost LostWrite) (Verdict, error) {
	present, err := store.Get(ctx, lost.Entry.Key)
	if err != nil && !IsAbsent(err) {
		return VerdictUnknown, err
	}
	if err == nil {
		if verdict, err := lost.judge(present); verdict != VerdictUnknown || err != nil {
			return verdict, err
		}
	}
	fence := hemlocktally.Entry{Key: lost.Entry.Key, Value: lost.Fence, Version: lost.Entry.Version, Lease: lost.Entry.Lease}
	_, err = store.Swap(ctx, fence)
	var conflict *hemlocktally.ConflictError
	if errors.As(err, &conflict) && conflict.Present.Version > 0 {
		return lost.judge(conflict.Present)
	}
	if err != nil {
		return VerdictUnknown, err
	}
	return VerdictNotWritten, nil
}

// judge says what a value of the key proves. An older version proves nothing.
func (l LostWrite) judge(present hemlocktally.Entry) (Verdict, error) {
	mine, err := l.Mine(present.Value)
	switch {
	case err != nil:
		return VerdictUnknown, err
	case mine:
		return VerdictWritten, nil
	case present.Version > l.Entry.Version:
		return VerdictNotWritten, nil
	default:
		return VerdictUnknown, nil
	}
}

// retriable reports whether settling may go on: the service failed, or the key
// came or went between reading and fencing.
func retriable(err error) bool {
	var failed *hemlocktally.StoreError
	var conflict *hemlocktally.ConflictError
	return errors.As(err, &failed) || errors.As(err, &conflict)
}
