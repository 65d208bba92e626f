package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/platform"
)

const orderText = `{"service":"s","targetVersion":"v2","duration":"12s"}`

func entryAt(key, value string, version hemlocktally.StoreVersion) hemlocktally.DirectoryEntry {
	return hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: key, Value: []byte(value), Version: version, Generation: 1}}
}

func recordText(c *qt.C, sequence uint64, inUse hemlocktally.SoftwareVersion) string {
	value, err := hemlocktally.RolloutRecord{Sequence: sequence, InUse: inUse, Phase: hemlocktally.RolloutRunning, Target: "v2"}.Encode()
	c.Assert(err, qt.IsNil)
	return string(value)
}

// rolloutState is a state that has read the operators' entries and the hubs' prefix.
func rolloutState(operators, hubs []hemlocktally.DirectoryEntry, now time.Time) *State {
	s := &State{Interpreter: platform.Translator{}, Rollouts: true}
	s.Update(SnapshotMsg{Kind: hemlocktally.EntryConfiguration, Entries: operators, Revision: 5, Generation: 1}, now)
	s.Update(SnapshotMsg{Kind: hemlocktally.EntryHub, Entries: hubs, Revision: 5, Generation: 1}, now)
	return s
}

// Guards against an order or a record that followers don't get, and against an order that outlives
// its deletion.
func TestOrdersAndRecordsAreFollowedAndRelayed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	s := rolloutState([]hemlocktally.DirectoryEntry{entryAt("op/rollout/s", orderText, 4)}, []hemlocktally.DirectoryEntry{entryAt("hemlocktally/hubs/rollouts/s", recordText(c, 2, "v1"), 5)}, now)
	state := s.FleetState()
	rollout := state.Rollouts["s"]
	c.Assert(rollout.Order, qt.IsNotNil)
	c.Check(rollout.Order.Version, qt.Equals, hemlocktally.SoftwareVersion("v2"))
	c.Check(rollout.Order.At.Version, qt.Equals, hemlocktally.StoreVersion(4))
	c.Check(rollout.Record.InUse, qt.Equals, hemlocktally.SoftwareVersion("v1"))
	c.Check(state.Hubs, qt.HasLen, 0)
	c.Check(state.Relayed, qt.HasLen, 2)
	s.Update(SnapshotMsg{Kind: hemlocktally.EntryConfiguration, Revision: 6, Generation: 1}, now)
	c.Check(s.FleetState().Rollouts["s"].Order, qt.IsNil)
	c.Check(s.FleetState().Rollouts["s"].Record, qt.IsNotNil)
}

// Guards against an order that can't be decoded taking the one before it out of force, and against
// an older write of it from a hub that is behind.
func TestInvalidAndOlderOrdersChangeNothing(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	s := rolloutState([]hemlocktally.DirectoryEntry{entryAt("op/rollout/s", orderText, 4)}, nil, now)
	_, notes := s.Update(ChangesMsg{Kind: hemlocktally.EntryConfiguration, Entries: []hemlocktally.DirectoryEntry{
		entryAt("op/rollout/s", `{"targetVersion":"v3"`, 6), entryAt("op/rollout/t", `{}`, 7),
	}, Generation: 1}, now)
	c.Assert(notes, qt.HasLen, 2)
	c.Check(notes[0].(InvalidEntry).Key, qt.Equals, "op/rollout/s")
	c.Check(s.FleetState().Rollouts["s"].Order.Version, qt.Equals, hemlocktally.SoftwareVersion("v2"))
	c.Check(s.FleetState().Rollouts["t"].Order, qt.IsNil)
	s.Update(ChangesMsg{Kind: hemlocktally.EntryConfiguration, Entries: []hemlocktally.DirectoryEntry{entryAt("op/rollout/s", orderText, 3)}, Generation: 1}, now)
	c.Check(s.FleetState().Rollouts["s"].Order.At.Version, qt.Equals, hemlocktally.StoreVersion(4))
}

// Guards against a restored store that takes back what a record said, or lacks it: instances would
// use the version before it again, whose targets are gone.
func TestRecordOutlivesRestoredStore(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	s := rolloutState(nil, []hemlocktally.DirectoryEntry{entryAt("hemlocktally/hubs/rollouts/s", recordText(c, 8, "v2"), 20)}, now)
	older := entryAt("hemlocktally/hubs/rollouts/s", recordText(c, 3, "v1"), 11)
	older.Generation = 2
	s.Update(SnapshotMsg{Kind: hemlocktally.EntryHub, Entries: []hemlocktally.DirectoryEntry{older}, Generation: 2}, now)
	c.Check(s.FleetState().Rollouts["s"].Record.InUse, qt.Equals, hemlocktally.SoftwareVersion("v2"))
	c.Check(s.FleetState().Rollouts["s"].At, qt.Equals, hemlocktally.GenerationVersion{Generation: 2, Version: 11})
	s.Update(SnapshotMsg{Kind: hemlocktally.EntryHub, Generation: 2}, now)
	s.Update(TickMsg{}, now.Add(reappearGrace+time.Second))
	c.Check(s.FleetState().Rollouts["s"].Record.InUse, qt.Equals, hemlocktally.SoftwareVersion("v2"))
	c.Check(s.FleetState().Rollouts["s"].At.Version, qt.Equals, hemlocktally.StoreVersion(0))
}

// Guards against sending all entries to all followers whenever the decider writes its record.
func TestRepeatedRecordsAreNotRelayed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	const key = "hemlocktally/hubs/rollouts/s"
	s := rolloutState(nil, []hemlocktally.DirectoryEntry{entryAt(key, recordText(c, 2, "v1"), 5)}, now)
	before := s.FleetState()
	for n := range uint64(5) {
		s.Update(ChangesMsg{Kind: hemlocktally.EntryHub, Entries: []hemlocktally.DirectoryEntry{entryAt(key, recordText(c, 3+n, "v1"), hemlocktally.StoreVersion(6+n))}, Generation: 1}, now)
	}
	after := s.FleetState()
	c.Check(after.RelayedVersion, qt.Equals, before.RelayedVersion)
	c.Check(after.RolloutsVersion > before.RolloutsVersion, qt.IsTrue)
	c.Check(after.Rollouts["s"].Record.Sequence, qt.Equals, uint64(7))
	s.Update(ChangesMsg{Kind: hemlocktally.EntryHub, Entries: []hemlocktally.DirectoryEntry{entryAt(key, recordText(c, 8, "v2"), 20)}, Generation: 1}, now)
	c.Check(s.FleetState().RelayedVersion > before.RelayedVersion, qt.IsTrue)
}

// Guards against a record that can't be read being taken for none.
func TestUnreadableRecord(t *testing.T) {
	c := qt.New(t)
	s := rolloutState(nil, []hemlocktally.DirectoryEntry{entryAt("hemlocktally/hubs/rollouts/s", "{", 5)}, time.Unix(1e9, 0))
	c.Check(s.FleetState().Rollouts["s"].Unreadable, qt.IsTrue)
	c.Check(s.FleetState().Rollouts["s"].At.Version, qt.Equals, hemlocktally.StoreVersion(5))
}

// Guards against an effect of orders and records where rollouts are off.
func TestRolloutsAreIgnoredWhereTheyAreOff(t *testing.T) {
	c := qt.New(t)
	s := &State{Interpreter: platform.Translator{}}
	now := time.Unix(1e9, 0)
	_, notes := s.Update(SnapshotMsg{Kind: hemlocktally.EntryConfiguration, Entries: []hemlocktally.DirectoryEntry{entryAt("op/rollout/s", "{", 4)}, Generation: 1}, now)
	c.Check(notes, qt.HasLen, 0)
	s.Update(SnapshotMsg{Kind: hemlocktally.EntryHub, Entries: []hemlocktally.DirectoryEntry{entryAt("hemlocktally/hubs/rollouts/s", recordText(c, 2, "v1"), 5)}, Generation: 1}, now)
	c.Check(s.FleetState().Rollouts, qt.HasLen, 0)
	c.Check(s.FleetState().Relayed, qt.HasLen, 0)
	c.Check(s.FleetState().Hubs, qt.HasLen, 0)
}

// Guards against a relayed list that loses the versions of its targets.
func TestRelayedTargetsNameTheirVersion(t *testing.T) {
	c := qt.New(t)
	one := hemlocktally.Registration{Service: "s", Target: hemlocktally.Target{Name: "i", Address: "10.0.0.1:80", Zone: "a", Slots: 2, Version: "v2"}}
	var r relayedTargets
	_, list := r.of(&FleetState{Targets: map[hemlocktally.ServiceName][]hemlocktally.Registration{"s": {one}}, TargetsVersion: 1})
	c.Check(registrationsOf(list), qt.DeepEquals, []hemlocktally.Registration{one})
}
