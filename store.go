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
	Lease   string // Lease is the ID of the lease whose end deletes the key.
	// Generation is the store's generation in which the key was written or read; zero
	// if the store reports none.
	Generation StoreGeneration
}

// Lease keeps the keys attached to it in the store for as long as it is renewed
// within its TTL.
type Lease struct {
	ID  string
	TTL time.Duration
}

// Store is the platform's key-value service. Each call of a method counts as one
// call of the store. A write whose response is lost returns a *StoreError with
// Unknown set.
type Store interface {
	// Get returns a *NotFoundError if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all keys below a prefix, in order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes the entry if the key still has the version that the entry
	// names. Otherwise it returns a *ConflictError with the current entry.
	CompareAndSwap(ctx context.Context, entry Entry) (StoreVersion, error)
	// Delete deletes the key if it still has the version.
	Delete(ctx context.Context, key string, version StoreVersion) error
	// Watch waits up to the given time until a key below the prefix has changed
	// after the given store sequence. It returns the sequence to continue from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends the lease to its full TTL. It returns a *NotFoundError if the
	// lease has expired.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}
