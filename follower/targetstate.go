package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// applyTargetList replaces the targets by a hub's list, unless the list is older than
// the known targets.
func (s *State) applyTargetList(msg TargetListMsg, now time.Time) []any {
	f := s.feed(hemlocktally.EntryTarget)
	if msg.At.Before(s.targetsReadAt) {
		return nil
	}
	s.targetsReadAt = msg.At
	if msg.Unchanged {
		return nil // If a different list was read meanwhile, the next request returns the full list.
	}
	present := make(map[hemlocktally.TargetName]bool, len(msg.Targets))
	for _, r := range msg.Targets {
		present[r.Target.Name] = true
	}
	missing := 0
	for name := range s.targets {
		if !present[name] {
			missing++
		}
	}
	// A hub that has read the targets for the first time after an outage does not know which
	// entries have lapsed.
	s.holdManyRemovals(f, hemlocktally.EntryTarget, missing, now)
	holds := now.Before(f.graceEnd)
	if !holds {
		clear(f.pendingRemovals) // The hub has already waited for entries to reappear.
	}
	var notes []any
	for _, r := range msg.Targets {
		notes = append(notes, s.updateTarget(r)...)
	}
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		if !present[name] && holds {
			f.pendingRemovals[s.Interpreter.TargetPrefix()+string(name)] = true
			continue
		}
		if !present[name] {
			s.recordRemoval(hemlocktally.EntryTarget, s.Interpreter.TargetPrefix()+string(name), string(name), now)
			notes = append(notes, s.remove(hemlocktally.EntryTarget, string(name))...)
		}
	}
	s.targetsDigest = msg.Name
	return notes
}

// invalidateTargets drops the cached list after a change of a target.
func (s *State) invalidateTargets() {
	s.targetsByService, s.targetsDigest = nil, ""
	s.targetsVersion++
}

// updateTarget stores a target's registration.
func (s *State) updateTarget(read hemlocktally.Registration) []any {
	name := read.Target.Name
	known, ok := s.targets[name]
	s.sequences[name] = max(read.Sequence, s.knownSequence(known, read))
	read.Sequence = 0 // It changes with each heartbeat, which must not count as a change of the target.
	if ok && known == read {
		return nil
	}
	s.targets[name] = read
	s.invalidateTargets()
	switch {
	case !ok && !read.Draining, ok && known.Target.Started != read.Target.Started:
		return []any{TargetChange{Service: read.Service, Target: name, State: targetListed}}
	case read.Draining && (!ok || !known.Draining):
		return []any{TargetChange{Service: read.Service, Target: name, State: targetDraining}}
	}
	return nil
}

// knownSequence returns the highest sequence read of the target; zero if the read
// registration belongs to another start of the target.
func (s *State) knownSequence(known, read hemlocktally.Registration) uint64 {
	if known.Target.Started != read.Target.Started {
		return 0
	}
	return s.sequences[read.Target.Name]
}

// groupTargets groups the targets by service, sorted by name.
func (s *State) groupTargets() map[hemlocktally.ServiceName][]hemlocktally.Registration {
	all := map[hemlocktally.ServiceName][]hemlocktally.Registration{}
	for _, r := range s.targets {
		all[r.Service] = append(all[r.Service], r)
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b hemlocktally.Registration) int { return cmp.Compare(a.Target.Name, b.Target.Name) })
	}
	return all
}
