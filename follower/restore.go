package follower

import (
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// When the store has come back from a copy, the copy may contradict what was known:
// what was written since is gone, what was removed since is there again. Operators and
// targets write it again. Until then, and for restoreHold at the most, what was known
// holds over the copy; after that, what the store says does.
const (
	// restoreHold bounds that. A target that is gone has lapsed from the copy by then,
	// after three of its heartbeats; operators' tools have written again.
	restoreHold = 10 * time.Second
	// removedKept is how long what was removed is remembered: longer than a copy is old.
	removedKept = 2 * time.Minute
)

// removal is what was known of a key when it was removed.
type removal struct {
	at       time.Time
	version  hemlocktally.StoreVersion // version is the key's last one before.
	started  int64                     // started and sequence are those of a target.
	sequence uint64
}

// restored is what the state knows of the store's last return from a copy.
type restored struct {
	generation hemlocktally.StoreGeneration
	heldUntil  time.Time // heldUntil is until when what was known holds over the copy.
	removals   map[string]removal
	doubtful   map[string]hemlocktally.DirectoryEntry // doubtful holds entries of the copy that what was known contradicts.
}

// enter takes in the generation of a message. It reports whether the message is of an
// earlier one and has to be dropped.
func (s *State) enter(generation hemlocktally.StoreGeneration, now time.Time) (stale bool) {
	r := &s.restored
	switch {
	case generation == 0 || generation == r.generation:
		return false
	case generation < r.generation:
		return true
	}
	if r.generation != 0 {
		r.heldUntil = now.Add(restoreHold)
		for _, f := range s.feeds {
			f.settled = now.Add(returnGrace)
		}
	}
	r.generation = generation
	return false
}

// fall takes the generation for the store's although it is lower: whatever it says is
// newer than what was known.
func (s *State) fall(to hemlocktally.StoreGeneration) {
	s.restored.generation = to
	for key, entry := range s.relayed {
		entry.Generation = 0
		s.relayed[key] = entry
	}
	s.version++
}

// holds reports whether what was known still holds over the store's copy.
func (r *restored) holds(now time.Time) bool { return now.Before(r.heldUntil) }

// remember notes what was known of a key that is removed.
func (s *State) remember(kind hemlocktally.EntryKind, key, name string, now time.Time) {
	r := &s.restored
	if r.removals == nil {
		r.removals = map[string]removal{}
	}
	gone := removal{at: now, version: s.relayed[key].Version}
	switch kind {
	case hemlocktally.EntryTarget:
		known, ok := s.targets[hemlocktally.TargetName(name)]
		if !ok {
			return
		}
		gone.started, gone.sequence = known.Target.Started, s.sequences[known.Target.Name]
	case hemlocktally.EntryZoneStop:
		if !s.stops[hemlocktally.ZoneName(name)] {
			return
		}
	case hemlocktally.EntryDeclaration, hemlocktally.EntryHub, hemlocktally.EntryForeign:
		return
	}
	maps.DeleteFunc(r.removals, func(_ string, old removal) bool { return now.Sub(old.at) > removedKept })
	r.removals[key] = gone
}

// contradicted reports whether an entry that was read as part of the whole is one of
// the copy, and what was known since says otherwise.
func (s *State) contradicted(kind hemlocktally.EntryKind, name string, entry hemlocktally.DirectoryEntry) bool {
	gone, removed := s.restored.removals[entry.Key]
	switch kind {
	case hemlocktally.EntryZoneStop:
		return removed && gone.version == entry.Version
	case hemlocktally.EntryTarget:
		read, err := s.Interpreter.Registration(name, entry.Value)
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
	case hemlocktally.EntryDeclaration, hemlocktally.EntryForeign:
	}
	return false
}

// dropDoubtful forgets doubtful entries that the whole no longer has.
func (s *State) dropDoubtful(read hemlocktally.EntryKind, present map[string]bool) {
	maps.DeleteFunc(s.restored.doubtful, func(key string, _ hemlocktally.DirectoryEntry) bool {
		kind, _ := s.Interpreter.Kind(key)
		if kind == hemlocktally.EntryZoneStop {
			kind = hemlocktally.EntryDeclaration
		}
		return kind == read && !present[key]
	})
}

// release applies the doubtful entries that nothing has replaced, once the hold is
// over.
func (s *State) release(now time.Time) []any {
	if s.restored.holds(now) || len(s.restored.doubtful) == 0 {
		return nil
	}
	var notes []any
	for _, key := range slices.Sorted(maps.Keys(s.restored.doubtful)) {
		entry := s.restored.doubtful[key]
		kind, _ := s.Interpreter.Kind(key)
		notes = append(notes, s.apply(s.feed(kind), entry, now)...)
	}
	clear(s.restored.doubtful)
	return notes
}
