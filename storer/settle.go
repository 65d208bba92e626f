package storer

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"hemlocktally"
)

// Error is the error class of this package.
var Error = errs.Class("storer")

// Verdict is the result of settling a write whose response was lost.
type Verdict string

// Possible verdicts. VerdictNotWritten is final: the write can't take effect
// later either.
const (
	VerdictWritten    Verdict = "Written"
	VerdictNotWritten Verdict = "NotWritten"
	VerdictUnknown    Verdict = "Unknown"
)

// UnconfirmedWrite is a Swap whose response was lost.
type UnconfirmedWrite struct {
	Entry    hemlocktally.Entry                 // Entry is the entry to write, conditional on its Version.
	Fence    []byte                             // Fence is a value with no effect, written conditional on the same version.
	Includes func(present []byte) (bool, error) // Includes reports whether a value includes the write, also after later writes.
}

var errStaleRead = Error.New("the service returned an older version of the key")

const settleInitialInterval = 50 * time.Millisecond

// Settle reads the key back until it is certain whether the write took effect.
// A key that is still at the old version proves nothing, because the write may
// still be in flight. Settle therefore overwrites the old version with the fence,
// so that a late write conflicts. It returns VerdictUnknown with the last error
// when the context ends or an error is not retriable.
func Settle(ctx context.Context, store hemlocktally.Store, lost UnconfirmedWrite) (Verdict, error) {
	operation := func() (Verdict, error) {
		verdict, err := settleOnce(ctx, store, lost)
		if err == nil && verdict == VerdictUnknown {
			return verdict, errStaleRead
		}
		if err != nil && !isRetriable(err) {
			return verdict, backoff.Permanent(err)
		}
		return verdict, err
	}
	limit := backoff.WithMaxElapsedTime(0)
	verdict, err := backoff.Retry(ctx, operation, backoff.WithBackOff(newBackOff(settleInitialInterval, probeMaxInterval)), limit)
	if err != nil {
		return VerdictUnknown, Error.Wrap(err)
	}
	return verdict, nil
}

func settleOnce(ctx context.Context, store hemlocktally.Store, lost UnconfirmedWrite) (Verdict, error) {
	present, err := store.Get(ctx, lost.Entry.Key)
	if err != nil && !IsAbsent(err) {
		return VerdictUnknown, err
	}
	if err == nil {
		if verdict, err := lost.classify(present); verdict != VerdictUnknown || err != nil {
			return verdict, err
		}
	}
	fence := hemlocktally.Entry{Key: lost.Entry.Key, Value: lost.Fence, Version: lost.Entry.Version, Lease: lost.Entry.Lease}
	_, err = store.CompareAndSwap(ctx, fence)
	var conflict *hemlocktally.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Version > 0 {
		return lost.classify(conflict.Current)
	}
	if err != nil {
		return VerdictUnknown, err
	}
	return VerdictNotWritten, nil
}

// classify returns what the present value of the key proves about the write. A
// version that is not newer proves nothing.
func (l UnconfirmedWrite) classify(present hemlocktally.Entry) (Verdict, error) {
	mine, err := l.Includes(present.Value)
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

// isRetriable reports whether settling may be retried: the service failed, or the
// key was created or removed between the read and the fence.
func isRetriable(err error) bool {
	var failed *hemlocktally.StoreError
	var conflict *hemlocktally.ConflictError
	return errors.As(err, &failed) || errors.As(err, &conflict)
}
