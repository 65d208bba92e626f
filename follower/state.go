package follower

import (
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// reappearGrace is how long removed entries may take to reappear after the store answers
// again. Those that are still missing then are removed.
const reappearGrace = 2200 * time.Millisecond

// FleetState is the fleet state that an instance has received, as of one moment. It is
// immutable once published.
type FleetState struct {
	Configuration *hemlocktally.Configuration
	Targets       map[hemlocktally.ServiceName][]hemlocktally.Registration
	Hubs          map[hemlocktally.ZoneName]Hub
	TargetsReadAt time.Time // TargetsReadAt is when the targets were last read; zero means never.
	// TargetsDigest is the content digest of the target list received from a hub; empty
	// once Targets differs from that list.
	TargetsDigest string
	// TargetsVersion changes whenever Targets does.
	TargetsVersion uint64
	// Relayed holds the store entries that a hub sends to its followers.
	Relayed []hemlocktally.Entry
	// RelayedVersion changes whenever Relayed does.
	RelayedVersion uint64
	// Operators is what is known of the operators' entries in the store.
	Operators OperatorFeed
	// Rollouts holds the services that have an order or a record of one.
	Rollouts map[hemlocktally.ServiceName]hemlocktally.Rollout
	// RolloutsVersion changes whenever Rollouts does.
	RolloutsVersion uint64
}

// OperatorFeed describes how far the instance itself has read the operators' entries.
type OperatorFeed struct {
	// Complete is set from a full read of the entries until the instance stops following
	// them. Before, an entry that is not known may exist in the store.
	Complete bool
	// At is the generation and revision of the store up to which all changes are known.
	At hemlocktally.GenerationVersion
}

// State applies messages and builds the next FleetState. Its zero value is empty.
type State struct {
	Interpreter hemlocktally.EntryDecoder
	Rollouts    bool // Rollouts is set if orders for rollouts are followed.

	rollouts map[hemlocktally.ServiceName]hemlocktally.Rollout
	// rolloutsVersion changes whenever rollouts does.
	rolloutsVersion uint64
	config          *hemlocktally.Configuration
	stoppedZones    map[hemlocktally.ZoneName]bool
	targets         map[hemlocktally.TargetName]hemlocktally.Registration
	sequences       map[hemlocktally.TargetName]uint64 // sequences holds the highest write sequence read of each target.
	restore         restoreState
	hubs            map[hemlocktally.ZoneName]Hub
	relayedEntries  map[string]hemlocktally.Entry
	relayedVersion  uint64
	operators       OperatorFeed
	targetsReadAt   time.Time
	// targetsByService caches Targets of the last FleetState until a target changes.
	targetsByService map[hemlocktally.ServiceName][]hemlocktally.Registration
	targetsVersion   uint64
	targetsDigest    string
	feeds            map[hemlocktally.EntryKind]*feedState
}

// feedState is what the state knows about one prefix.
type feedState struct {
	failing         bool            // failing is set while reads fail; pending removals wait meanwhile.
	graceEnd        time.Time       // graceEnd is when pending removals take effect.
	pendingRemovals map[string]bool // pendingRemovals holds the keys whose removal is delayed.
}

// Update applies one message at the given time. It returns whether the fleet state
// changed, and the notes to be logged.
func (s *State) Update(msg any, now time.Time) (changed bool, notes []any) {
	notes, ignored := s.apply(msg, now)
	if ignored {
		return false, nil
	}
	for _, f := range s.feeds {
		notes = append(notes, s.expirePendingRemovals(f, now)...)
	}
	notes = append(notes, s.applyConflicting(now)...)
	_, tick := msg.(TickMsg)
	return !tick || len(notes) > 0, notes
}

// apply applies the message itself. It reports whether the message has no effect on the
// fleet state.
func (s *State) apply(msg any, now time.Time) (notes []any, ignored bool) {
	switch msg := msg.(type) {
	case SnapshotMsg:
		if s.observeGeneration(msg.Generation, now) {
			return nil, true
		}
		return s.applySnapshot(msg, now), false
	case ChangesMsg:
		if s.observeGeneration(msg.Generation, now) {
			return nil, true
		}
		return s.applyChanges(msg, now), false
	case TargetListMsg:
		if s.observeGeneration(msg.Generation, now) {
			return nil, true
		}
		return s.applyTargetList(msg, now), false
	case GenerationResetMsg:
		s.resetGeneration(msg.Generation)
	case ReadFailedMsg:
		s.feed(msg.Kind).failing = true
		return nil, true
	case FeedStoppedMsg:
		s.stopFeed(msg.Kind)
		if msg.Kind != hemlocktally.EntryConfiguration || !s.operators.Complete {
			return nil, true
		}
		s.operators.Complete = false
	case TickMsg:
	}
	return nil, false
}

func (s *State) applyChanges(msg ChangesMsg, now time.Time) []any {
	f := s.markAnswered(msg.Kind, s.countRemoved(msg.Entries), msg.HoldRemovalsUntil, now)
	var notes []any
	for _, entry := range msg.Entries {
		notes = append(notes, s.applyEntry(f, entry, now)...)
	}
	if point := s.storePoint(msg.Revision); msg.Source == "" && msg.Kind == hemlocktally.EntryConfiguration && point.After(s.operators.At) {
		s.operators.At = point
	}
	return attribute(notes, msg.Source)
}

// attribute adds the source of the entries to the notes about zone stops.
func attribute(notes []any, source hemlocktally.InstanceID) []any {
	for i, note := range notes {
		if change, ok := note.(ZoneStopChange); ok {
			change.Source = source
			notes[i] = change
		}
	}
	return notes
}

func (s *State) feed(kind hemlocktally.EntryKind) *feedState {
	if s.feeds == nil {
		s.feeds = map[hemlocktally.EntryKind]*feedState{}
		s.stoppedZones = map[hemlocktally.ZoneName]bool{}
		s.targets = map[hemlocktally.TargetName]hemlocktally.Registration{}
		s.sequences = map[hemlocktally.TargetName]uint64{}
		s.restore.conflicting = map[string]hemlocktally.DirectoryEntry{}
		s.hubs = map[hemlocktally.ZoneName]Hub{}
		s.rollouts = map[hemlocktally.ServiceName]hemlocktally.Rollout{}
		s.relayedEntries = map[string]hemlocktally.Entry{}
	}
	f := s.feeds[kind]
	if f == nil {
		f = &feedState{pendingRemovals: map[string]bool{}}
		s.feeds[kind] = f
	}
	return f
}

// stopFeed forgets failed reads of a prefix that is no longer read from the store. When it is
// read again they say nothing about the entries that are missing then.
func (s *State) stopFeed(kind hemlocktally.EntryKind) {
	f := s.feed(kind)
	f.failing, f.graceEnd = false, time.Time{}
}

// markAnswered records an answer of the store, by which a number of known entries are removed.
// After an outage in which entries may have lapsed, removals are held for a time.
func (s *State) markAnswered(kind hemlocktally.EntryKind, removed int, holdUntil, now time.Time) *feedState {
	f := s.feed(kind)
	s.holdManyRemovals(f, kind, removed, now)
	f.failing = false
	f.graceEnd = later(f.graceEnd, holdUntil)
	if kind == hemlocktally.EntryTarget {
		s.targetsReadAt = now
	}
	return f
}

func (s *State) applySnapshot(msg SnapshotMsg, now time.Time) []any {
	f := s.markAnswered(msg.Kind, s.countMissing(msg.Kind, msg.Entries), msg.HoldRemovalsUntil, now)
	present := make(map[string]bool, len(msg.Entries))
	holdsPrevious := s.restore.holdsPrevious(now) && !msg.Reconciled
	var notes []any
	for _, entry := range msg.Entries {
		present[entry.Key] = true
		kind, name := s.kind(entry.Key)
		if holdsPrevious && s.contradictsKnown(kind, name, entry) {
			s.restore.conflicting[entry.Key] = entry
			delete(f.pendingRemovals, entry.Key)
			continue
		}
		notes = append(notes, s.applyEntry(f, entry, now)...)
	}
	for _, key := range s.keys(msg.Kind) {
		if !present[key] {
			notes = append(notes, s.applyAbsence(f, key, msg, holdsPrevious, now)...)
		}
	}
	s.dropConflicting(msg.Kind, present)
	if msg.Source == "" && msg.Kind == hemlocktally.EntryConfiguration {
		s.operators = OperatorFeed{Complete: true, At: s.storePoint(msg.Revision)}
	}
	return attribute(notes, msg.Source)
}

// storePoint returns the point of a revision in the current generation; zero if the
// revision is unknown.
func (s *State) storePoint(revision uint64) hemlocktally.GenerationVersion {
	if revision == 0 {
		return hemlocktally.GenerationVersion{}
	}
	return hemlocktally.GenerationVersion{Generation: s.restore.generation, Version: hemlocktally.StoreVersion(revision)}
}

// maxLeftShare is the share of the targets that may have left while the store could not be read.
const maxLeftShare = 0.25

// holdManyRemovals holds removals if reads have failed before and more targets are missing than are
// likely to have left meanwhile: their entries have lapsed, however short the outage was here.
func (s *State) holdManyRemovals(f *feedState, kind hemlocktally.EntryKind, removed int, now time.Time) {
	if f.failing && kind == hemlocktally.EntryTarget && float64(removed) > maxLeftShare*float64(len(s.targets)) {
		f.graceEnd = later(f.graceEnd, now.Add(reappearGrace))
	}
}

// countRemoved returns how many of the changes remove a known target.
func (s *State) countRemoved(changes []hemlocktally.DirectoryEntry) int {
	removed := 0
	for _, entry := range changes {
		kind, name := s.Interpreter.Kind(entry.Key)
		if _, known := s.targets[hemlocktally.TargetName(name)]; known && entry.Removed && kind == hemlocktally.EntryTarget {
			removed++
		}
	}
	return removed
}

// countMissing returns how many known keys of a kind a full set of entries lacks.
func (s *State) countMissing(kind hemlocktally.EntryKind, entries []hemlocktally.DirectoryEntry) int {
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.Key] = !entry.Removed
	}
	missing := 0
	for _, key := range s.keys(kind) {
		if !present[key] {
			missing++
		}
	}
	return missing
}

// applyAbsence handles a key that a full set of entries lacks. A set that is older than the
// known entry says nothing about it: the hub that sent it has not read that entry yet.
// While the previous state takes precedence over a restored backup, a missing zone stop
// stays pending: the backup may lack what was written since it was taken.
func (s *State) applyAbsence(f *feedState, key string, msg SnapshotMsg, holdsPrevious bool, now time.Time) []any {
	if known, ok := s.relayedEntries[key]; ok && msg.Revision > 0 && known.GenerationVersion().After(s.storePoint(msg.Revision)) {
		return nil
	}
	if kind, _ := s.kind(key); isOperatorPresence(kind) && holdsPrevious {
		f.pendingRemovals[key] = true
		return nil
	}
	return s.applyEntry(f, hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: key}, Removed: true}, now)
}

// keys lists the known keys below the prefix of a kind.
func (s *State) keys(kind hemlocktally.EntryKind) []string {
	var keys []string
	switch kind {
	case hemlocktally.EntryTarget:
		for name := range s.targets {
			keys = append(keys, s.Interpreter.TargetPrefix()+string(name))
		}
	case hemlocktally.EntryHub:
		for zone := range s.hubs {
			keys = append(keys, s.Interpreter.HubPrefix()+string(zone))
		}
		keys = append(keys, s.recordKeys()...)
	case hemlocktally.EntryConfiguration, hemlocktally.EntryZoneStop:
		for zone := range s.stoppedZones {
			keys = append(keys, s.Interpreter.ZoneStopKey(zone))
		}
		keys = append(keys, s.orderKeys()...)
	case hemlocktally.EntryRollout, hemlocktally.EntryRolloutState, hemlocktally.EntryIgnored:
	}
	slices.Sort(keys)
	return keys
}

// applyEntry applies one entry. A removal soon after the store's return is delayed, so
// that the entry has time to reappear.
func (s *State) applyEntry(f *feedState, entry hemlocktally.DirectoryEntry, now time.Time) []any {
	kind, name := s.kind(entry.Key)
	if entry.Generation == 0 {
		entry.Generation = s.restore.generation // The store reports no generation.
	}
	if entry.Removed {
		if kind != hemlocktally.EntryZoneStop && now.Before(f.graceEnd) {
			f.pendingRemovals[entry.Key] = true
			return nil
		}
		delete(s.restore.conflicting, entry.Key)
		s.recordRemoval(kind, entry.Key, name, now)
		s.removeRelayed(entry.Key)
		return s.remove(kind, name)
	}
	if known, ok := s.relayedEntries[entry.Key]; ok && isOrdered(kind) && known.GenerationVersion().After(entry.GenerationVersion()) {
		return nil // A stale read of the hubs may be seconds old.
	}
	delete(f.pendingRemovals, entry.Key)
	delete(s.restore.conflicting, entry.Key)
	if kind != hemlocktally.EntryConfiguration && !s.repeatsRecord(kind, entry) {
		s.addRelayed(kind, entry.Entry)
	}
	return s.applyKind(kind, name, entry)
}

// applyKind applies an entry by what it describes.
func (s *State) applyKind(kind hemlocktally.EntryKind, name string, entry hemlocktally.DirectoryEntry) []any {
	switch kind {
	case hemlocktally.EntryConfiguration:
		return s.applyDeclaration(entry)
	case hemlocktally.EntryZoneStop:
		return s.setZoneOut(hemlocktally.ZoneName(name), true)
	case hemlocktally.EntryTarget:
		return s.applyTarget(entry, hemlocktally.TargetName(name))
	case hemlocktally.EntryHub:
		return s.applyHub(entry, hemlocktally.ZoneName(name))
	case hemlocktally.EntryRollout:
		return s.applyOrder(entry, hemlocktally.ServiceName(name))
	case hemlocktally.EntryRolloutState:
		return s.applyRolloutRecord(entry, hemlocktally.ServiceName(name))
	case hemlocktally.EntryIgnored:
	}
	return nil
}

// expirePendingRemovals removes the entries that have not reappeared in time.
func (s *State) expirePendingRemovals(f *feedState, now time.Time) []any {
	if f.failing || len(f.pendingRemovals) == 0 || now.Before(f.graceEnd) {
		return nil
	}
	var notes []any
	for _, key := range slices.Sorted(maps.Keys(f.pendingRemovals)) {
		kind, name := s.kind(key)
		if isOperatorPresence(kind) && s.restore.holdsPrevious(now) {
			continue
		}
		delete(f.pendingRemovals, key)
		s.removeRelayed(key)
		notes = append(notes, s.remove(kind, name)...)
	}
	return notes
}

func (s *State) remove(kind hemlocktally.EntryKind, name string) []any {
	switch kind {
	case hemlocktally.EntryZoneStop:
		return s.setZoneOut(hemlocktally.ZoneName(name), false)
	case hemlocktally.EntryTarget:
		known, ok := s.targets[hemlocktally.TargetName(name)]
		if !ok {
			return nil
		}
		delete(s.targets, hemlocktally.TargetName(name))
		delete(s.sequences, hemlocktally.TargetName(name))
		s.invalidateTargets()
		return []any{TargetChange{Service: known.Service, Target: known.Target.Name, State: targetRemoved}}
	case hemlocktally.EntryHub:
		if _, ok := s.hubs[hemlocktally.ZoneName(name)]; !ok {
			return nil
		}
		delete(s.hubs, hemlocktally.ZoneName(name))
		return []any{HubChange{Zone: hemlocktally.ZoneName(name)}}
	case hemlocktally.EntryRollout:
		return s.removeOrder(hemlocktally.ServiceName(name))
	case hemlocktally.EntryRolloutState:
		s.removeRecord(hemlocktally.ServiceName(name))
	case hemlocktally.EntryConfiguration, hemlocktally.EntryIgnored:
	}
	return nil
}

// applyDeclaration puts a newer configuration in force; an older one is ignored.
func (s *State) applyDeclaration(entry hemlocktally.DirectoryEntry) []any {
	config, bad := s.Interpreter.DecodeConfiguration(entry.Value)
	if config != nil && (s.config == nil || config.Revision >= s.config.Revision) {
		s.addRelayed(hemlocktally.EntryConfiguration, entry.Entry)
	}
	var notes []any
	for _, cause := range bad {
		notes = append(notes, InvalidEntry{Key: entry.Key, Cause: cause})
	}
	if config == nil || (s.config != nil && config.Revision <= s.config.Revision) {
		return notes
	}
	s.config = config
	return append(notes, ConfigurationChange{Configuration: config})
}

func (s *State) setZoneOut(zone hemlocktally.ZoneName, out bool) []any {
	if s.stoppedZones[zone] == out {
		return nil
	}
	s.stoppedZones[zone] = out
	if !out {
		delete(s.stoppedZones, zone)
	}
	return []any{ZoneStopChange{Zone: zone, Out: out}}
}

// applyTarget applies a target's entry. An entry that can't be decoded removes the target.
func (s *State) applyTarget(entry hemlocktally.DirectoryEntry, name hemlocktally.TargetName) []any {
	read, err := s.Interpreter.DecodeRegistration(string(name), entry.Value)
	if err != nil {
		return append(s.remove(hemlocktally.EntryTarget, string(name)), InvalidEntry{Key: entry.Key, Cause: err})
	}
	return s.updateTarget(read)
}

func (s *State) applyHub(entry hemlocktally.DirectoryEntry, zone hemlocktally.ZoneName) []any {
	hub, err := decodeHub(entry.Value)
	if err != nil {
		return []any{InvalidEntry{Key: entry.Key, Cause: err}}
	}
	known := s.hubs[zone]
	s.hubs[zone] = hub
	if known.Incarnation == hub.Incarnation {
		return nil
	}
	return []any{HubChange{Zone: zone, Hub: hub.ID}}
}

// addRelayed keeps an entry for followers, except targets: instances that place work
// request the target list separately.
func (s *State) addRelayed(kind hemlocktally.EntryKind, entry hemlocktally.Entry) {
	known, ok := s.relayedEntries[entry.Key]
	if kind == hemlocktally.EntryTarget || kind == hemlocktally.EntryIgnored || (ok && !entry.GenerationVersion().After(known.GenerationVersion())) {
		return
	}
	s.relayedEntries[entry.Key] = entry
	s.relayedVersion++
}

func (s *State) removeRelayed(key string) {
	if _, ok := s.relayedEntries[key]; ok {
		delete(s.relayedEntries, key)
		s.relayedVersion++
	}
}

// FleetState returns an immutable copy of the current state.
func (s *State) FleetState() *FleetState {
	config := hemlocktally.Configuration{}
	if s.config != nil {
		config = *s.config
	}
	for _, zone := range slices.Sorted(maps.Keys(s.stoppedZones)) {
		config.Zones = append(config.Zones, hemlocktally.AvailabilityZone{Name: zone, Out: true})
	}
	if s.targetsByService == nil {
		s.targetsByService = s.groupTargets()
	}
	p := &FleetState{
		Configuration: &config, Hubs: maps.Clone(s.hubs), TargetsReadAt: s.targetsReadAt, RelayedVersion: s.relayedVersion, Operators: s.operators,
		Rollouts: maps.Clone(s.rollouts), RolloutsVersion: s.rolloutsVersion,
		Targets: s.targetsByService, TargetsVersion: s.targetsVersion, TargetsDigest: s.targetsDigest,
	}
	for _, key := range slices.Sorted(maps.Keys(s.relayedEntries)) {
		p.Relayed = append(p.Relayed, s.relayedEntries[key])
	}
	return p
}
