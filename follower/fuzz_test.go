package follower

import (
	"testing"
	"time"

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

// A relayed target with missing or invalid fields must not cause a panic.
func TestInvalidRelayedTargets(_ *testing.T) {
	list := registrationsOf([]*messenger.RelayedTarget{nil, {}, {Name: "x", Slots: -5, ColdMicroseconds: -1 << 62, Started: -1}})
	s := State{}
	s.Update(TargetListMsg{Targets: list}, time.Unix(1, 0))
	s.FleetState()
}
