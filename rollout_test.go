package hemlocktally

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a record that loses figures on its way through the store, and one with figures that
// no decider writes.
func TestRolloutRecordIsCheckedWhereItIsDecoded(t *testing.T) {
	c := qt.New(t)
	record := RolloutRecord{
		Sequence: 3, InUse: "v1", Previous: "v1", Target: "v2", Phase: RolloutRunning, Order: GenerationVersion{Version: 7}, Duration: 12 * time.Second,
		Decider: "e/1", Elapsed: time.Second, Calls: 100, Exposed: 12, Evidence: []RolloutEvidence{{Contract: "a", New: RolloutCounts{Results: 4, Failed: 1}}},
	}
	value, err := record.Encode()
	c.Assert(err, qt.IsNil)
	decoded, err := DecodeRolloutRecord(value)
	c.Assert(err, qt.IsNil)
	c.Check(decoded, qt.DeepEquals, record)
	for _, change := range []func(*RolloutRecord){
		func(r *RolloutRecord) { r.Sequence = 0 },
		func(r *RolloutRecord) { r.Phase = "Odd" },
		func(r *RolloutRecord) { r.Calls = -1 },
		func(r *RolloutRecord) { r.Evidence = []RolloutEvidence{{Old: RolloutCounts{Failed: 1e13}}} },
		func(r *RolloutRecord) { r.Duration = 25 * time.Hour },
		func(r *RolloutRecord) { r.Elapsed = -1 },
		func(r *RolloutRecord) { r.Step = -1 },
	} {
		odd := record
		change(&odd)
		value, err := odd.Encode()
		c.Assert(err, qt.IsNil)
		_, err = DecodeRolloutRecord(value)
		c.Check(err, qt.IsNotNil, qt.Commentf("%+v", odd))
	}
	for _, text := range []string{``, `{`, `[]`, `{"Sequence":-1}`} {
		_, err := DecodeRolloutRecord([]byte(text))
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", text))
	}
}

// Guards against taking the ordered version, or one of a few stray targets, for the one in use.
func TestVersionInUseWithoutRecord(t *testing.T) {
	c := qt.New(t)
	list := func(versions ...SoftwareVersion) []Registration {
		var all []Registration
		for _, v := range versions {
			all = append(all, Registration{Target: Target{Version: v}})
		}
		return all
	}
	ordered := Rollout{Order: &RolloutOrder{Version: "v2"}}
	c.Check(Rollout{}.VersionInUse(list("v1", "v1", "v9")), qt.Equals, SoftwareVersion("v1"))
	c.Check(ordered.VersionInUse(list("v1", "v2", "v2")), qt.Equals, SoftwareVersion("v1"))
	c.Check(ordered.VersionInUse(list("v2", "v2")), qt.Equals, SoftwareVersion("v2"))
	c.Check(Rollout{}.VersionInUse(nil), qt.Equals, SoftwareVersion(""))
	c.Check(Rollout{Record: &RolloutRecord{InUse: "v3"}}.VersionInUse(list("v1")), qt.Equals, SoftwareVersion("v3"))
}
