package follower

import (
	"time"

	"hemlocktally"
)

// Messages that State.Update accepts.
type (
	// SnapshotMsg holds all entries below a prefix.
	SnapshotMsg struct {
		Kind       hemlocktally.EntryKind // Kind is what was read below the prefix.
		Entries    []hemlocktally.DirectoryEntry
		Generation hemlocktally.StoreGeneration // Generation is the store's; zero if unknown.
		Source     hemlocktally.InstanceID      // Source is the hub that sent the entries; empty if they were read from the store.
		// Revision is the store's revision up to which the entries hold all changes; zero if
		// unknown. A key that is missing from them may have been written later.
		Revision uint64
		// HoldRemovalsUntil is until when entries that are missing may reappear, as they have
		// lapsed in an outage of the store; zero if those that are missing are gone.
		HoldRemovalsUntil time.Time
		// Reconciled is set if the entries come from a hub that knew the state before the
		// store's last restore, and so has already applied it over the backup.
		Reconciled bool
	}
	// ChangesMsg holds entries that changed.
	ChangesMsg struct {
		Kind       hemlocktally.EntryKind
		Entries    []hemlocktally.DirectoryEntry
		Revision   uint64 // Revision is the store's revision up to which all changes are known; zero if unknown.
		Generation hemlocktally.StoreGeneration
		Source     hemlocktally.InstanceID // Source is the hub that sent the entries; empty if they were read from the store.
		// HoldRemovalsUntil is as in SnapshotMsg.
		HoldRemovalsUntil time.Time
	}
	// TargetListMsg holds all targets as sent by a hub.
	TargetListMsg struct {
		At         time.Time // At is when the hub read them.
		Name       string    // Name is the content digest of the list.
		Unchanged  bool      // Unchanged is set if the list equals the previous one; Targets is empty then.
		Targets    []hemlocktally.Registration
		Generation hemlocktally.StoreGeneration
	}
	// GenerationResetMsg says that the store's generation has permanently dropped to a
	// lower one.
	GenerationResetMsg struct {
		Generation hemlocktally.StoreGeneration
	}
	// FeedStoppedMsg says that the prefix is no longer followed in the store: changes may be
	// missing until the next full read.
	FeedStoppedMsg struct{ Kind hemlocktally.EntryKind }
	// ReadFailedMsg says that the store did not answer.
	ReadFailedMsg struct{ Kind hemlocktally.EntryKind }
	// TickMsg applies the deadlines that have passed.
	TickMsg struct{}
)

// Notes returned by State.Update, to be logged.
type (
	// InvalidEntry names an entry that was skipped, and why.
	InvalidEntry struct {
		Key   string
		Cause error
	}
	// ConfigurationChange says that a newer configuration is in force.
	ConfigurationChange struct{ Configuration *hemlocktally.Configuration }
	// ZoneStopChange says that a zone was taken out of service or brought back.
	ZoneStopChange struct {
		Zone   hemlocktally.ZoneName
		Out    bool
		Source hemlocktally.InstanceID // Source is the hub that reported it; empty for the store.
	}
	// TargetChange says that a target was listed, is draining or was removed.
	TargetChange struct {
		Service hemlocktally.ServiceName
		Target  hemlocktally.TargetName
		State   string
	}
	// RolloutOrderChange says that an order for a rollout was written or removed.
	RolloutOrderChange struct {
		Service hemlocktally.ServiceName
		Order   hemlocktally.RolloutOrder
		Removed bool
	}
	// HubChange names the hub of a zone; Hub is empty if the zone has none.
	HubChange struct {
		Zone hemlocktally.ZoneName
		Hub  hemlocktally.InstanceID
	}
)

// States of a target in a TargetChange.
const (
	targetListed   = "Listed"
	targetDraining = "Draining"
	targetRemoved  = "Removed"
)
