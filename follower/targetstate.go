package follower

import (
	"cmp"
	"maps"
	"slices"

	"hemlocktally"
)

// takeTargets takes over a list that a hub passed on, unless it is older than what
// is known.
func (s *State) takeTargets(msg TargetListMsg) []any {
	f := s.feed(hemlocktally.EntryTarget)
	if msg.At.Before(s.targetsAt) {
		return nil
	}
	s.targetsAt = msg.At
	if msg.Unchanged {
		return nil
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
			notes = append(notes, s.remove(hemlocktally.EntryTarget, string(name))...)
		}
	}
	return notes
}

// touchTargets notes that the targets are no longer those of the last picture.
func (s *State) touchTargets() {
	s.listed = nil
	s.targetsVersion++
}

// list takes over what is registered of a target.
func (s *State) list(read hemlocktally.Registration) []any {
	name := read.Target.Name
	known, ok := s.targets[name]
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
