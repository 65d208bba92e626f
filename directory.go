package hemlocktally

import (
	"context"
	"fmt"
	"time"
)

// Snapshot holds the entries below a prefix of a directory, or the changes to
// them, as of one revision of the directory.
type Snapshot struct {
	Entries  []DirectoryEntry
	Revision uint64
	// Generation is the store's generation. Revisions can be compared only within
	// the same generation.
	Generation StoreGeneration
}

// DirectoryEntry is one key of a directory and its value.
type DirectoryEntry struct {
	Entry
	Removed bool // Removed is set if the change deleted the key.
}

// Directory is the part of the platform's store that instances and targets use
// for discovery and operators for configuration and zone stops. Each call of a
// method is one billed call of the store.
type Directory interface {
	// Snapshot returns all keys below the prefix. A stale snapshot is cheap and
	// may be seconds old.
	Snapshot(ctx context.Context, prefix string, stale bool) (Snapshot, error)
	// Watch returns the changes below the prefix after the given revision. It
	// waits for the first one, but no longer than wait. It returns a *CompactedError
	// if the changes since that revision are no longer available.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Snapshot, error)
	// CompareAndSwap writes the entry if the key still has the entry's version.
	CompareAndSwap(ctx context.Context, entry Entry) (StoreVersion, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends the lease to its full TTL. It returns a *NotFoundError if the
	// lease has expired.
	Renew(ctx context.Context, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}

// CompactedError reports that the changes after a revision are no longer available.
type CompactedError struct {
	Prefix string
	After  uint64
}

// Error returns a message with the prefix and the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: the changes of %q after revision %d are no longer available", e.Prefix, e.After)
}

// EntryKind is the kind of object that an entry of a directory describes.
type EntryKind string

// The kinds of entries that instances follow.
const (
	EntryConfiguration EntryKind = "Declaration"  // EntryConfiguration is the operators' configuration.
	EntryZoneStop      EntryKind = "ZoneStop"     // EntryZoneStop takes an availability zone out of service as long as the entry exists.
	EntryTarget        EntryKind = "Target"       // EntryTarget is a target's own registration.
	EntryHub           EntryKind = "Hub"          // EntryHub is the registration of an instance that reads the store for others.
	EntryHeldRequest   EntryKind = "HeldRequest"  // EntryHeldRequest is a request that instances hold back because it crashes targets.
	EntryRollout       EntryKind = "Rollout"      // EntryRollout is the operators' order to move a service to another version.
	EntryRolloutState  EntryKind = "RolloutState" // EntryRolloutState is the instances' own record of a service's rollout.
	EntryIgnored       EntryKind = "Foreign"      // EntryIgnored is any other entry; instances ignore it.
)

// MaxTargetListAge is the age up to which a list of targets is used while a newer one can be
// read. A target that leaves must get no calls two seconds later; the rest of that time is
// for a call to reach its target.
const MaxTargetListAge = 1700 * time.Millisecond

// Registration is a target's own entry in the directory.
type Registration struct {
	Service  ServiceName
	Target   Target
	Draining bool
	ColdFor  time.Duration // ColdFor is how much longer the target was cold when it wrote the entry.
	Sequence uint64        // Sequence counts the target's writes of the entry since its start.
}

// EntryDecoder decodes the entries of a directory. It knows the platform's key
// names and formats and makes no decisions.
type EntryDecoder interface {
	// OperatorPrefix, TargetPrefix and HubPrefix return the key prefix of each kind.
	OperatorPrefix() string
	TargetPrefix() string
	HubPrefix() string
	// ZoneStopKey returns the key that takes the zone out of service.
	ZoneStopKey(zone ZoneName) string
	// HeldRequestKey returns the key of a request that is held back. It is below HubPrefix, so
	// that whoever reads the hubs reads it too.
	HeldRequestKey(request Fingerprint) string
	// RolloutKey returns the key of a service's order.
	RolloutKey(service ServiceName) string
	// RolloutRecordKey returns the key of the instances' own record of a service's rollout. It is
	// below HubPrefix, so that whoever reads the hubs reads it too.
	RolloutRecordKey(service ServiceName) string
	// RolloutStatus returns the key and the value that tell operators the state of a rollout. It
	// returns false for a phase that they are not told.
	RolloutStatus(service ServiceName, phase RolloutPhase, version SoftwareVersion) (key string, value []byte, ok bool)
	// SameRolloutStatus reports whether two values tell the operators the same.
	SameRolloutStatus(a, b []byte) bool
	// DecodeRollout decodes the order for the named service.
	DecodeRollout(name string, value []byte) (RolloutOrder, error)
	// Kind returns the kind of the object that the key describes, and its name.
	Kind(key string) (kind EntryKind, name string)
	// DecodeConfiguration decodes the operators' configuration. It leaves out what can't be
	// decoded and returns an error for each such part.
	DecodeConfiguration(value []byte) (*Configuration, []error)
	// DecodeRegistration decodes a target's entry.
	DecodeRegistration(name string, value []byte) (Registration, error)
}
