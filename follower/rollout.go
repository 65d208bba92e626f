package follower

import (
	"hemlocktally"
)

// kind returns what a key describes. Entries of rollouts are ignored if rollouts are not followed.
func (s *State) kind(key string) (hemlocktally.EntryKind, string) {
	kind, name := s.Interpreter.Kind(key)
	if !s.Rollouts && (kind == hemlocktally.EntryRollout || kind == hemlocktally.EntryRolloutState) {
		return hemlocktally.EntryIgnored, key
	}
	return kind, name
}

// feedOf returns the kind by which the feed is known that reads entries of a kind.
func feedOf(kind hemlocktally.EntryKind) hemlocktally.EntryKind {
	switch kind {
	case hemlocktally.EntryZoneStop, hemlocktally.EntryRollout:
		return hemlocktally.EntryConfiguration
	case hemlocktally.EntryRolloutState:
		return hemlocktally.EntryHub
	default:
		return kind
	}
}

// isOperatorPresence reports whether entries of the kind have an effect as long as they exist. A
// backup of the store may lack them.
func isOperatorPresence(kind hemlocktally.EntryKind) bool {
	return kind == hemlocktally.EntryZoneStop || kind == hemlocktally.EntryRollout
}

// isOrdered reports whether an entry of the kind is ignored if a later write of it is known, as
// from a stale read or from a hub that is behind.
func isOrdered(kind hemlocktally.EntryKind) bool {
	return kind == hemlocktally.EntryHub || kind == hemlocktally.EntryRollout || kind == hemlocktally.EntryRolloutState
}

// orderKeys lists the keys of the known orders.
func (s *State) orderKeys() []string {
	var keys []string
	for service, rollout := range s.rollouts {
		if rollout.Order != nil {
			keys = append(keys, s.Interpreter.RolloutKey(service))
		}
	}
	return keys
}

// recordKeys lists the keys of the records that the store holds.
func (s *State) recordKeys() []string {
	var keys []string
	for service, rollout := range s.rollouts {
		if rollout.At.Version != 0 {
			keys = append(keys, s.Interpreter.RolloutRecordKey(service))
		}
	}
	return keys
}

// removeRecord notes that the store has no record. What the last one said stays in force, and the
// decider writes it again.
func (s *State) removeRecord(service hemlocktally.ServiceName) {
	rollout := s.rollouts[service]
	if rollout.At.Version == 0 {
		return
	}
	rollout.At = hemlocktally.GenerationVersion{Generation: s.restore.generation}
	rollout.Unreadable = false
	s.setRollout(service, rollout)
}

// setRollout replaces what is known of a service's rollout.
func (s *State) setRollout(service hemlocktally.ServiceName, rollout hemlocktally.Rollout) {
	s.rollouts[service] = rollout
	s.rolloutsVersion++
}

// repeatsRecord reports whether the entry is a record that tells followers nothing new. The decider
// writes its record twice a second while a rollout runs, and followers would get all entries each
// time; they only need to know which version gets calls. Owners read the store themselves.
func (s *State) repeatsRecord(kind hemlocktally.EntryKind, entry hemlocktally.DirectoryEntry) bool {
	known, ok := s.relayedEntries[entry.Key]
	if kind != hemlocktally.EntryRolloutState || !ok {
		return false
	}
	before, errBefore := hemlocktally.DecodeRolloutRecord(known.Value)
	now, errNow := hemlocktally.DecodeRolloutRecord(entry.Value)
	return errBefore == nil && errNow == nil && before.InUse == now.InUse && before.Phase == now.Phase && before.Target == now.Target &&
		before.Order == now.Order && before.Sequence <= now.Sequence
}

// applyOrder applies an operator's order. One that can't be decoded leaves the order before it in
// force.
func (s *State) applyOrder(entry hemlocktally.DirectoryEntry, service hemlocktally.ServiceName) []any {
	order, err := s.Interpreter.DecodeRollout(string(service), entry.Value)
	if err != nil {
		return []any{InvalidEntry{Key: entry.Key, Cause: err}}
	}
	order.At = entry.GenerationVersion()
	rollout := s.rollouts[service]
	known := rollout.Order
	if known != nil && *known == order {
		return nil
	}
	rollout.Order = &order
	s.setRollout(service, rollout)
	return []any{RolloutOrderChange{Service: service, Order: order}}
}

func (s *State) removeOrder(service hemlocktally.ServiceName) []any {
	rollout := s.rollouts[service]
	if rollout.Order == nil {
		return nil
	}
	change := RolloutOrderChange{Service: service, Order: *rollout.Order, Removed: true}
	rollout.Order = nil
	s.setRollout(service, rollout)
	return []any{change}
}

// applyRolloutRecord applies the record of a rollout. A record with a lower sequence comes from a
// backup of the store; the one that is known stays in force, and the decider writes it again. The
// same holds for a record that is missing.
func (s *State) applyRolloutRecord(entry hemlocktally.DirectoryEntry, service hemlocktally.ServiceName) []any {
	rollout := s.rollouts[service]
	if rollout.At.After(entry.GenerationVersion()) {
		return nil // A stale read.
	}
	rollout.At = entry.GenerationVersion()
	defer func() { s.setRollout(service, rollout) }()
	record, err := hemlocktally.DecodeRolloutRecord(entry.Value)
	if err != nil {
		rollout.Unreadable = rollout.Record == nil
		return []any{InvalidEntry{Key: entry.Key, Cause: err}}
	}
	if rollout.Record == nil || record.Sequence >= rollout.Record.Sequence {
		rollout.Record, rollout.Unreadable = &record, false
	}
	return nil
}
