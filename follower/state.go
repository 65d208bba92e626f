package follower

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// returnGrace is how long entries may take to come back once the store answers
// again; what is still missing then is gone.
const returnGrace = 2200 * time.Millisecond

// Hub is the registration of an instance that reads the store for others, in
// JSON. There is one a zone.
type Hub struct {
	ID          hemlocktally.InstanceID
	Incarnation string
	Zone        hemlocktally.ZoneName
	PeerAddress string  // PeerAddress is IP:port.
	Weight      float64 // Weight is its part of a core, by which services are dealt.
}

// Picture is all that an instance follows, as of one moment. It is never
// changed once it is published.
type Picture struct {
	Configuration *hemlocktally.Configuration
	Targets       map[hemlocktally.ServiceName][]hemlocktally.Registration
	Hubs          map[hemlocktally.ZoneName]Hub
	TargetsAt     time.Time // TargetsAt is when the targets were last read; zero means never.
	// ListName is the name of the list that a hub passed on, as long as Targets is that.
	ListName string
	// TargetsVersion changes whenever Targets does.
	TargetsVersion uint64
	// Relayed holds the entries that hubs pass on, as they stand in the store.
	Relayed []hemlocktally.Entry
	// Version changes whenever Relayed does.
	Version uint64
}

// State is the picture in the making. Its zero value is empty.
type State struct {
	Interpreter hemlocktally.Interpreter

	config    *hemlocktally.Configuration
	stops     map[hemlocktally.ZoneName]bool
	targets   map[hemlocktally.TargetName]hemlocktally.Registration
	sequences map[hemlocktally.TargetName]uint64 // sequences counts each target's own writes, as far as they were read.
	restored  restored
	hubs      map[hemlocktally.ZoneName]Hub
	relayed   map[string]hemlocktally.Entry
	version   uint64
	targetsAt time.Time
	// listed is Targets of the last picture, as long as nothing of it changes.
	listed         map[hemlocktally.ServiceName][]hemlocktally.Registration
	targetsVersion uint64
	listName       string
	feeds          map[hemlocktally.EntryKind]*feedState
}

// feedState is what the state knows of one prefix.
type feedState struct {
	failing bool
	settled time.Time       // settled is from when on a missing entry is gone.
	missing map[string]bool // missing holds the keys that were removed before that.
}

// Update takes one message at the given time. It returns whether the picture
// changed, and what is to be logged.
func (s *State) Update(msg any, now time.Time) (changed bool, notes []any) {
	switch msg := msg.(type) {
	case SnapshotMsg:
		if s.enter(msg.Generation, now) {
			return false, nil
		}
		notes = s.snapshot(msg, now)
	case ChangesMsg:
		if s.enter(msg.Generation, now) {
			return false, nil
		}
		f := s.answered(msg.Kind, now)
		for _, entry := range msg.Entries {
			notes = append(notes, s.apply(f, entry, now)...)
		}
	case TargetListMsg:
		if s.enter(msg.Generation, now) {
			return false, nil
		}
		notes = s.takeTargets(msg, now)
	case FellMsg:
		s.fall(msg.Generation)
	case FailedMsg:
		s.feed(msg.Kind).failing = true
		return false, nil
	case TickMsg:
	}
	for _, f := range s.feeds {
		notes = append(notes, s.settle(f, now)...)
	}
	notes = append(notes, s.release(now)...)
	_, tick := msg.(TickMsg)
	return !tick || len(notes) > 0, notes
}

func (s *State) feed(kind hemlocktally.EntryKind) *feedState {
	if s.feeds == nil {
		s.feeds = map[hemlocktally.EntryKind]*feedState{}
		s.stops = map[hemlocktally.ZoneName]bool{}
		s.targets = map[hemlocktally.TargetName]hemlocktally.Registration{}
		s.sequences = map[hemlocktally.TargetName]uint64{}
		s.restored.doubtful = map[string]hemlocktally.DirectoryEntry{}
		s.hubs = map[hemlocktally.ZoneName]Hub{}
		s.relayed = map[string]hemlocktally.Entry{}
	}
	f := s.feeds[kind]
	if f == nil {
		f = &feedState{missing: map[string]bool{}}
		s.feeds[kind] = f
	}
	return f
}

// answered notes an answer of the store, the first one after a failure included.
func (s *State) answered(kind hemlocktally.EntryKind, now time.Time) *feedState {
	f := s.feed(kind)
	if f.failing {
		f.failing = false
		f.settled = now.Add(returnGrace)
	}
	if kind == hemlocktally.EntryTarget {
		s.targetsAt = now
	}
	return f
}

func (s *State) snapshot(msg SnapshotMsg, now time.Time) []any {
	f := s.answered(msg.Kind, now)
	present := make(map[string]bool, len(msg.Entries))
	holds := s.restored.holds(now) && !msg.Held
	var notes []any
	for _, entry := range msg.Entries {
		present[entry.Key] = true
		kind, name := s.Interpreter.Kind(entry.Key)
		if holds && s.contradicted(kind, name, entry) {
			s.restored.doubtful[entry.Key] = entry
			delete(f.missing, entry.Key)
			continue
		}
		notes = append(notes, s.apply(f, entry, now)...)
	}
	for _, key := range s.keys(msg.Kind) {
		if !present[key] {
			notes = append(notes, s.absent(f, key, holds, now)...)
		}
	}
	s.dropDoubtful(msg.Kind, present)
	return notes
}

// absent takes over that the whole lacks a key. A copy of the store may lack what was
// written since.
func (s *State) absent(f *feedState, key string, holds bool, now time.Time) []any {
	if kind, _ := s.Interpreter.Kind(key); kind == hemlocktally.EntryZoneStop && holds {
		f.missing[key] = true
		return nil
	}
	return s.apply(f, hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: key}, Removed: true}, now)
}

// keys lists the keys that the state holds of one prefix.
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
	case hemlocktally.EntryDeclaration, hemlocktally.EntryZoneStop:
		for zone := range s.stops {
			keys = append(keys, s.Interpreter.ZoneStopKey(zone))
		}
	case hemlocktally.EntryForeign:
	}
	slices.Sort(keys)
	return keys
}

// apply takes one entry over. A removal soon after the store's return waits
// until the entry has had time to come back.
func (s *State) apply(f *feedState, entry hemlocktally.DirectoryEntry, now time.Time) []any {
	kind, name := s.Interpreter.Kind(entry.Key)
	if entry.Generation == 0 {
		entry.Generation = s.restored.generation // The store names none.
	}
	if entry.Removed {
		if kind != hemlocktally.EntryZoneStop && now.Before(f.settled) {
			f.missing[entry.Key] = true
			return nil
		}
		delete(s.restored.doubtful, entry.Key)
		s.remember(kind, entry.Key, name, now)
		s.unrelay(entry.Key)
		return s.remove(kind, name)
	}
	delete(f.missing, entry.Key)
	delete(s.restored.doubtful, entry.Key)
	if kind != hemlocktally.EntryDeclaration {
		s.relay(kind, entry.Entry)
	}
	switch kind {
	case hemlocktally.EntryDeclaration:
		return s.declare(entry)
	case hemlocktally.EntryZoneStop:
		return s.stopZone(hemlocktally.ZoneName(name), true)
	case hemlocktally.EntryTarget:
		return s.register(entry, hemlocktally.TargetName(name))
	case hemlocktally.EntryHub:
		return s.join(entry, hemlocktally.ZoneName(name))
	case hemlocktally.EntryForeign:
	}
	return nil
}

// settle drops what has not come back in time.
func (s *State) settle(f *feedState, now time.Time) []any {
	if f.failing || len(f.missing) == 0 || now.Before(f.settled) {
		return nil
	}
	var notes []any
	for _, key := range slices.Sorted(maps.Keys(f.missing)) {
		kind, name := s.Interpreter.Kind(key)
		if kind == hemlocktally.EntryZoneStop && s.restored.holds(now) {
			continue
		}
		delete(f.missing, key)
		s.unrelay(key)
		notes = append(notes, s.remove(kind, name)...)
	}
	return notes
}

func (s *State) remove(kind hemlocktally.EntryKind, name string) []any {
	switch kind {
	case hemlocktally.EntryZoneStop:
		return s.stopZone(hemlocktally.ZoneName(name), false)
	case hemlocktally.EntryTarget:
		known, ok := s.targets[hemlocktally.TargetName(name)]
		if !ok {
			return nil
		}
		delete(s.targets, hemlocktally.TargetName(name))
		delete(s.sequences, hemlocktally.TargetName(name))
		s.touchTargets()
		return []any{TargetChange{Service: known.Service, Target: known.Target.Name, State: targetRemoved}}
	case hemlocktally.EntryHub:
		if _, ok := s.hubs[hemlocktally.ZoneName(name)]; !ok {
			return nil
		}
		delete(s.hubs, hemlocktally.ZoneName(name))
		return []any{HubChange{Zone: hemlocktally.ZoneName(name)}}
	case hemlocktally.EntryDeclaration, hemlocktally.EntryForeign:
	}
	return nil
}

// declare puts a newer configuration in force; an older one is ignored.
func (s *State) declare(entry hemlocktally.DirectoryEntry) []any {
	config, bad := s.Interpreter.Declaration(entry.Value)
	if config != nil && (s.config == nil || config.Revision >= s.config.Revision) {
		s.relay(hemlocktally.EntryDeclaration, entry.Entry)
	}
	var notes []any
	for _, cause := range bad {
		notes = append(notes, BadEntry{Key: entry.Key, Cause: cause})
	}
	if config == nil || (s.config != nil && config.Revision <= s.config.Revision) {
		return notes
	}
	s.config = config
	return append(notes, InForce{Configuration: config})
}

func (s *State) stopZone(zone hemlocktally.ZoneName, out bool) []any {
	if s.stops[zone] == out {
		return nil
	}
	s.stops[zone] = out
	if !out {
		delete(s.stops, zone)
	}
	return []any{ZoneStop{Zone: zone, Out: out}}
}

// register takes over a target's entry. One that can't be read names no target.
func (s *State) register(entry hemlocktally.DirectoryEntry, name hemlocktally.TargetName) []any {
	read, err := s.Interpreter.Registration(string(name), entry.Value)
	if err != nil {
		return append(s.remove(hemlocktally.EntryTarget, string(name)), BadEntry{Key: entry.Key, Cause: err})
	}
	return s.list(read)
}

func (s *State) join(entry hemlocktally.DirectoryEntry, zone hemlocktally.ZoneName) []any {
	hub, err := decodeHub(entry.Value)
	if err != nil {
		return []any{BadEntry{Key: entry.Key, Cause: err}}
	}
	known := s.hubs[zone]
	s.hubs[zone] = hub
	if known.Incarnation == hub.Incarnation {
		return nil
	}
	return []any{HubChange{Zone: zone, Hub: hub.ID}}
}

func decodeHub(value []byte) (hub Hub, err error) {
	err = json.Unmarshal(value, &hub)
	return hub, err
}

// relay keeps an entry for others. Targets are read by whoever places work.
func (s *State) relay(kind hemlocktally.EntryKind, entry hemlocktally.Entry) {
	known, ok := s.relayed[entry.Key]
	if kind == hemlocktally.EntryTarget || kind == hemlocktally.EntryForeign || (ok && !entry.Point().After(known.Point())) {
		return
	}
	s.relayed[entry.Key] = entry
	s.version++
}

func (s *State) unrelay(key string) {
	if _, ok := s.relayed[key]; ok {
		delete(s.relayed, key)
		s.version++
	}
}

// Picture returns a copy of all that is followed.
func (s *State) Picture() *Picture {
	config := hemlocktally.Configuration{}
	if s.config != nil {
		config = *s.config
	}
	for _, zone := range slices.Sorted(maps.Keys(s.stops)) {
		config.Zones = append(config.Zones, hemlocktally.AvailabilityZone{Name: zone, Out: true})
	}
	if s.listed == nil {
		s.listed = s.listTargets()
	}
	p := &Picture{
		Configuration: &config, Hubs: maps.Clone(s.hubs), TargetsAt: s.targetsAt, Version: s.version,
		Targets: s.listed, TargetsVersion: s.targetsVersion, ListName: s.listName,
	}
	for _, key := range slices.Sorted(maps.Keys(s.relayed)) {
		p.Relayed = append(p.Relayed, s.relayed[key])
	}
	return p
}
