package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// takeTargets takes over a list that a hub passed on, unless it is older than what
// is known.
func (s *State) takeTargets(msg TargetListMsg, now time.Time) []any {
	f := s.feed(hemlocktally.EntryTarget)
	if msg.At.Before(s.targetsAt) {
		return nil
	}
	s.targetsAt = msg.At
	if msg.Unchanged {
		return nil // Where something else was read meanwhile, the next question brings the whole list.
	}
	clear(f.missing) // The hub has waited for what may come back.
	var notes []any
	present := make(map[hemlocktally.TargetName]bool, len(msg.Targets))
	for _, r := range msg.Targets {
		present[r.Target.Name] = true
		notes = append(notes, s.list(r)...)
	}
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		if !present[name] {
			s.remember(hemlocktally.EntryTarget, s.Interpreter.TargetPrefix()+string(name), string(name), now)
			notes = append(notes, s.remove(hemlocktally.EntryTarget, string(name))...)
		}
	}
	s.listName = msg.Name
	return notes
}

// touchTargets notes that the targets are no longer those of the last picture.
func (s *State) touchTargets() {
	s.listed, s.listName = nil, ""
	s.targetsVersion++
}

// list takes over what is registered of a target.
func (s *State) list(read hemlocktally.Registration) []any {
	name := read.Target.Name
	known, ok := s.targets[name]
	s.sequences[name] = max(read.Sequence, s.sequencesOf(known, read))
	read.Sequence = 0 // It changes with each heartbeat, which is no news.
	if ok && known == read {
		return nil
	}
	s.targets[name] = read
	s.touchTargets()
	switch {
	case !ok && !read.Draining, ok && known.Target.Started != read.Target.Started:
		return []any{TargetChange{Service: read.Service, Target: name, State: targetListed}}
	case read.Draining && (!ok || !known.Draining):
		return []any{TargetChange{Service: read.Service, Target: name, State: targetDraining}}
	}
	return nil
}

// sequencesOf returns how many writes are known of the target's incarnation that is
// read.
func (s *State) sequencesOf(known, read hemlocktally.Registration) uint64 {
	if known.Target.Started != read.Target.Started {
		return 0
	}
	return s.sequences[read.Target.Name]
}

// listTargets sorts the targets by service and name.
func (s *State) listTargets() map[hemlocktally.ServiceName][]hemlocktally.Registration {
	all := map[hemlocktally.ServiceName][]hemlocktally.Registration{}
	for _, r := range s.targets {
		all[r.Service] = append(all[r.Service], r)
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b hemlocktally.Registration) int { return cmp.Compare(a.Target.Name, b.Target.Name) })
	}
	return all
}
