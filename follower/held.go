package follower

import (
	"hemlocktally"
	"hemlocktally/logger"
)

// takeHeldRequests passes the requests that are held back on and returns the other entries.
func (f *Follower) takeHeldRequests(entries []hemlocktally.DirectoryEntry) []hemlocktally.DirectoryEntry {
	others := make([]hemlocktally.DirectoryEntry, 0, len(entries))
	for _, entry := range entries {
		if kind, _ := f.Interpreter.Kind(entry.Key); kind != hemlocktally.EntryHeldRequest {
			others = append(others, entry)
			continue
		}
		if entry.Removed {
			continue // What was cleared travels between the instances.
		}
		if err := f.Suspects.Restore(entry.Value); err != nil {
			f.Log.Log(logger.EventStoreEntryInvalid, logger.Fields{"Key": entry.Key, "Cause": err.Error()})
		}
	}
	return others
}

// IsHub reports whether the instance is a hub.
func (f *Follower) IsHub() bool { return f.isHub.Load() }
