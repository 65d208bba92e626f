package hemlocktally

import (
	"context"
	"fmt"
	"time"
)

// Snapshot is what a directory holds below a prefix, or what changed there,
// as of one revision of the directory.
type Snapshot struct {
	Entries  []DirectoryEntry
	Revision uint64
	// Generation is the store's; revisions are comparable within it only.
	Generation StoreGeneration
}

// DirectoryEntry is one key of a directory.
type DirectoryEntry struct {
	Entry
	Removed bool // Removed is set where a change took the key away.
}

// Directory is the part of the platform's store in which instances and targets
// find one another and operators leave their decisions. Every method is one
// priced call.
type Directory interface {
	// Snapshot returns all keys below the prefix. A stale one is cheap and may be
	// seconds old.
	Snapshot(ctx context.Context, prefix string, stale bool) (Snapshot, error)
	// Follow waits until something below the prefix has changed after the given
	// revision, at most for the wait. It returns a *HistoryError where the
	// changes since then are no longer known.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (Snapshot, error)
	// Swap writes the entry if the key still has the entry's version.
	Swap(ctx context.Context, entry Entry) (StoreVersion, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew makes the lease last its whole time again. It returns an
	// *AbsentError where the lease has run out.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
}

// HistoryError says that the changes after a revision are no longer known.
type HistoryError struct {
	Prefix string
	After  uint64
}

// Error names the prefix and the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("store: the changes of %q after revision %d are no longer known", e.Prefix, e.After)
}

// EntryKind says what an entry of a directory describes.
type EntryKind string

// The kinds of entries that instances follow.
const (
	EntryDeclaration EntryKind = "Declaration" // EntryDeclaration is the operators' configuration.
	EntryZoneStop    EntryKind = "ZoneStop"    // EntryZoneStop takes an availability zone out while it is there.
	EntryTarget      EntryKind = "Target"      // EntryTarget is a target's own registration.
	EntryHub         EntryKind = "Hub"         // EntryHub is the registration of an instance that reads for others.
	EntryForeign     EntryKind = "Foreign"     // EntryForeign is of no use here.
)

// Registration is a target as it registered itself.
type Registration struct {
	Service  ServiceName
	Target   Target
	Draining bool
	ColdFor  time.Duration // ColdFor is how much longer it was cold when it wrote the entry.
	Sequence uint64        // Sequence counts the target's own writes since its start.
}

// Interpreter reads the entries of a directory. It knows the platform's names
// and formats and decides nothing.
type Interpreter interface {
	// OperatorPrefix, TargetPrefix and HubPrefix are where each kind stands.
	OperatorPrefix() string
	TargetPrefix() string
	HubPrefix() string
	// ZoneStopKey is the key that takes the zone out.
	ZoneStopKey(zone ZoneName) string
	// Kind says what the key describes, and its name.
	Kind(key string) (kind EntryKind, name string)
	// Declaration reads the operators' configuration. What can't be read is left
	// out and named in the errors.
	Declaration(value []byte) (*Configuration, []error)
	// Registration reads a target's entry.
	Registration(name string, value []byte) (Registration, error)
}
