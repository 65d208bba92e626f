package follower

import (
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// After a restore from a backup, the store may contradict what was known: later writes
// are missing, and entries removed since then exist again. Operators and targets write
// their entries again. Until they do, and for restoreHold at most, the previously known
// state takes precedence over the backup; after that, the store's content applies.
const (
	// restoreHold bounds that precedence. By then the entry of a target that is gone has
	// lapsed from the backup, after three missed heartbeats, and operators' tools have
	// written their changes again.
	restoreHold = 10 * time.Second
	// removalRetention is how long removals are remembered; it exceeds the age of a backup.
	removalRetention = 2 * time.Minute
)

// removal is what was known of a key when it was removed.
type removal struct {
	removedAt time.Time
	version   hemlocktally.StoreVersion // version is the key's last version before the removal.
	started   int64                     // started and sequence are set for targets only.
	sequence  uint64
}

// restoreState is what the state knows about the store's last restore from a backup.
type restoreState struct {
	generation  hemlocktally.StoreGeneration
	holdUntil   time.Time // holdUntil is when the previous state stops taking precedence over the backup.
	removals    map[string]removal
	conflicting map[string]hemlocktally.DirectoryEntry // conflicting holds entries of the backup that contradict the previous state.
}

// observeGeneration applies the generation of a message. It reports whether the message
// belongs to an earlier generation and must be dropped.
func (s *State) observeGeneration(generation hemlocktally.StoreGeneration, now time.Time) (stale bool) {
	r := &s.restore
	switch {
	case generation == 0 || generation == r.generation:
		return false
	case generation < r.generation:
		return true
	}
	if r.generation != 0 {
		r.holdUntil = now.Add(restoreHold)
		for _, f := range s.feeds {
			f.graceEnd = now.Add(reappearGrace)
		}
	}
	r.generation = generation
	s.operators.Complete = false
	return false
}

// resetGeneration adopts a lower generation. It clears the generation of the relayed
// entries, so that everything written in the new one counts as newer.
func (s *State) resetGeneration(to hemlocktally.StoreGeneration) {
	s.restore.generation = to
	s.operators.Complete = false
	for key, entry := range s.relayedEntries {
		entry.Generation = 0
		s.relayedEntries[key] = entry
	}
	s.relayedVersion++
}

// holdsPrevious reports whether the previous state still takes precedence over the backup.
func (r *restoreState) holdsPrevious(now time.Time) bool { return now.Before(r.holdUntil) }

// recordRemoval remembers a key that is being removed.
func (s *State) recordRemoval(kind hemlocktally.EntryKind, key, name string, now time.Time) {
	r := &s.restore
	if r.removals == nil {
		r.removals = map[string]removal{}
	}
	gone := removal{removedAt: now, version: s.relayedEntries[key].Version}
	switch kind {
	case hemlocktally.EntryTarget:
		known, ok := s.targets[hemlocktally.TargetName(name)]
		if !ok {
			return
		}
		gone.started, gone.sequence = known.Target.Started, s.sequences[known.Target.Name]
	case hemlocktally.EntryZoneStop:
		if !s.stoppedZones[hemlocktally.ZoneName(name)] {
			return
		}
	case hemlocktally.EntryRollout:
	case hemlocktally.EntryConfiguration, hemlocktally.EntryHub, hemlocktally.EntryRolloutState, hemlocktally.EntryIgnored:
		return
	}
	maps.DeleteFunc(r.removals, func(_ string, old removal) bool { return now.Sub(old.removedAt) > removalRetention })
	r.removals[key] = gone
}

// contradictsKnown reports whether an entry of a full read comes from the backup and is
// outdated by what was known before the restore.
func (s *State) contradictsKnown(kind hemlocktally.EntryKind, name string, entry hemlocktally.DirectoryEntry) bool {
	gone, removed := s.restore.removals[entry.Key]
	switch kind {
	case hemlocktally.EntryZoneStop, hemlocktally.EntryRollout:
		return removed && gone.version == entry.Version
	case hemlocktally.EntryTarget:
		read, err := s.Interpreter.DecodeRegistration(name, entry.Value)
		if err != nil {
			return false
		}
		known, listed := s.targets[read.Target.Name]
		switch {
		case listed:
			return known.Target.Started == read.Target.Started && read.Sequence < s.sequences[read.Target.Name]
		case removed:
			return gone.started == read.Target.Started && read.Sequence <= gone.sequence
		}
		return false
	case hemlocktally.EntryHub:
		known, ok := s.hubs[hemlocktally.ZoneName(name)]
		read, err := decodeHub(entry.Value)
		return ok && err == nil && read.Incarnation != known.Incarnation
	case hemlocktally.EntryConfiguration, hemlocktally.EntryRolloutState, hemlocktally.EntryIgnored:
	}
	return false
}

// dropConflicting forgets conflicting entries that a full read no longer contains.
func (s *State) dropConflicting(read hemlocktally.EntryKind, present map[string]bool) {
	maps.DeleteFunc(s.restore.conflicting, func(key string, _ hemlocktally.DirectoryEntry) bool {
		kind, _ := s.kind(key)
		return feedOf(kind) == read && !present[key]
	})
}

// applyConflicting applies the conflicting entries that nothing has replaced, once the
// previous state no longer takes precedence.
func (s *State) applyConflicting(now time.Time) []any {
	if s.restore.holdsPrevious(now) || len(s.restore.conflicting) == 0 {
		return nil
	}
	var notes []any
	for _, key := range slices.Sorted(maps.Keys(s.restore.conflicting)) {
		entry := s.restore.conflicting[key]
		kind, _ := s.kind(key)
		notes = append(notes, s.applyEntry(s.feed(kind), entry, now)...)
	}
	clear(s.restore.conflicting)
	return notes
}
