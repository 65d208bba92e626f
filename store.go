package hemlocktally

import (
	"context"
	"time"
)

// StoreVersion numbers the writes of one key; zero means that the key is absent.
type StoreVersion uint64

// Entry is one key of the store.
type Entry struct {
	Key     string
	Value   []byte
	Version StoreVersion
	Lease   string // Lease is the lease that the key goes away with.
	// Generation is the one in which the key was written or read; zero where the store
	// names none.
	Generation StoreGeneration
}

// Lease is a promise of the store to keep keys until it runs out unrenewed.
type Lease struct {
	ID  string
	TTL time.Duration
}

// Store is the platform's key-value service. Every method is one counted call.
// A write whose answer is lost returns a *StoreError with Unknown set.
type Store interface {
	// Get returns an *AbsentError where there is no such key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys below a prefix, ordered.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes the entry if the key still has the version that the entry
	// names. It returns a *ConflictError with the present entry otherwise.
	Swap(ctx context.Context, entry Entry) (StoreVersion, error)
	// Delete removes the key if it still has the version.
	Delete(ctx context.Context, key string, version StoreVersion) error
	// Watch waits until a key below the prefix has changed after the given
	// store sequence, and returns the sequence to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew makes the lease last its whole time again. It returns an
	// *AbsentError where the lease has run out.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
}
