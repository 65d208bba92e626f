package follower

import (
	"time"

	"hemlocktally"
)

// Messages to the state.
type (
	// SnapshotMsg holds all entries below a prefix.
	SnapshotMsg struct {
		Kind       hemlocktally.EntryKind // Kind is what is read below the prefix.
		Entries    []hemlocktally.DirectoryEntry
		Generation hemlocktally.StoreGeneration // Generation is the store's; zero where it is not known.
		// Held is set where a hub passed them on that has held what it knew over the
		// store's copy itself.
		Held bool
	}
	// ChangesMsg holds entries that changed.
	ChangesMsg struct {
		Kind       hemlocktally.EntryKind
		Entries    []hemlocktally.DirectoryEntry
		Generation hemlocktally.StoreGeneration
	}
	// TargetListMsg holds all targets as a hub passed them on.
	TargetListMsg struct {
		At         time.Time // At is when the hub read them.
		Name       string    // Name is the list's, by its content.
		Unchanged  bool      // Unchanged is set where they are those of the last list.
		Targets    []hemlocktally.Registration
		Generation hemlocktally.StoreGeneration
	}
	// FellMsg says that the store names a lower generation for good.
	FellMsg struct {
		Generation hemlocktally.StoreGeneration
	}
	// FailedMsg says that the store did not answer.
	FailedMsg struct{ Kind hemlocktally.EntryKind }
	// TickMsg lets time pass.
	TickMsg struct{}
)

// Notes of the state, to be logged.
type (
	// BadEntry names an entry that was left out.
	BadEntry struct {
		Key   string
		Cause error
	}
	// InForce says that a newer configuration is in force.
	InForce struct{ Configuration *hemlocktally.Configuration }
	// ZoneStop says that a zone was taken out or brought back.
	ZoneStop struct {
		Zone hemlocktally.ZoneName
		Out  bool
	}
	// TargetChange says that a target came, drains or is gone.
	TargetChange struct {
		Service hemlocktally.ServiceName
		Target  hemlocktally.TargetName
		State   string
	}
	// HubChange says which instance reads for others in a zone; none where Hub is
	// empty.
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
