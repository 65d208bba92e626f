package follower

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/messenger"
)

// FuzzUnpack decodes entries received from another instance: arbitrary input must not
// cause a panic or exceed maxRelayedBytes.
func FuzzUnpack(f *testing.F) {
	good, err := pack([]hemlocktally.Entry{{Key: "op/config", Value: []byte("{}"), Version: 4}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("\x1f\x8b\x08\x00"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		entries, err := unpack(packed)
		size := 0
		for _, e := range entries {
			size += len(e.Key) + len(e.Value)
		}
		if err == nil && size > maxRelayedBytes {
			t.Fatalf("%d bytes", size)
		}
	})
}

// Guards against a set of entries that was cut at the size limit and taken for the whole.
func TestTooLargeEntriesAreNoWholeSet(t *testing.T) {
	c := qt.New(t)
	packed, err := pack([]hemlocktally.Entry{{Key: "op/config", Value: []byte("{}")}, {Key: "op/evacuate/a", Value: make([]byte, maxRelayedBytes)}})
	c.Assert(err, qt.IsNil)
	_, err = unpack(packed)
	c.Check(err, qt.ErrorIs, errRelayedTooLarge)
}

// Guards against a hub's entry that draws all services to it, and against a list of a hub that
// knows no bound of a target's slots.
func TestNumbersOfOtherInstancesAreBounded(t *testing.T) {
	c := qt.New(t)
	for text, valid := range map[string]bool{`{"ID":"a","Weight":0.3}`: true, `{"ID":"a","Weight":1e300}`: false, `{"ID":"a","Weight":-1}`: false} {
		_, err := decodeHub([]byte(text))
		c.Check(err == nil, qt.Equals, valid, qt.Commentf("%s", text))
	}
	list := registrationsOf([]*messenger.RelayedTarget{{Name: "x", Slots: 1<<31 - 1, ColdMicroseconds: 1<<63 - 1}})
	c.Check(list[0].Target.Slots, qt.Equals, hemlocktally.MaxSlots)
	c.Check(list[0].ColdFor <= 24*time.Hour && list[0].ColdFor > 0, qt.IsTrue)
}

// A relayed target with missing or invalid fields must not cause a panic.
func TestInvalidRelayedTargets(_ *testing.T) {
	list := registrationsOf([]*messenger.RelayedTarget{nil, {}, {Name: "x", Slots: -5, ColdMicroseconds: -1 << 62, Started: -1}})
	s := State{}
	s.Update(TargetListMsg{Targets: list}, time.Unix(1, 0))
	s.FleetState()
}
