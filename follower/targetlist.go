package follower

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
	"hemlocktally/messenger"
)

// relayedTargets caches the target list in the form that is sent to other instances. Its
// zero value works.
type relayedTargets struct {
	mu      sync.Mutex
	version uint64 // version is FleetState.TargetsVersion, which is comparable within this process only.
	digest  string // digest identifies the content; hubs with the same list have the same digest.
	list    []*messenger.RelayedTarget
}

// of returns the list and its digest.
func (r *relayedTargets) of(p *FleetState) (digest string, list []*messenger.RelayedTarget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil || r.version != p.TargetsVersion {
		r.version, r.list = p.TargetsVersion, []*messenger.RelayedTarget{}
		hash := xxhash.New()
		for _, service := range slices.Sorted(maps.Keys(p.Targets)) {
			for _, t := range p.Targets[service] {
				r.list = append(r.list, relayedTarget(t))
				writeTarget(hash, t)
			}
		}
		r.digest = formatDigest(hash.Sum64())
	}
	return r.digest, r.list
}

// writeTarget hashes all fields of a target that are sent.
func writeTarget(hash *xxhash.Digest, r hemlocktally.Registration) {
	for _, field := range []string{string(r.Target.Name), string(r.Service), r.Target.Address, string(r.Target.Zone), string(r.Target.Version)} {
		writeField(hash, []byte(field))
	}
	draining := uint64(0)
	if r.Draining {
		draining = 1
	}
	for _, n := range []uint64{uint64(r.Target.Slots), draining, uint64(r.ColdFor), uint64(r.Target.Started)} { //nolint:gosec // Only equality counts.
		writeNumber(hash, n)
	}
}

func relayedTarget(r hemlocktally.Registration) *messenger.RelayedTarget {
	return &messenger.RelayedTarget{
		Name: string(r.Target.Name), Service: string(r.Service), Address: r.Target.Address, Zone: string(r.Target.Zone),
		Slots: int32(r.Target.Slots), Draining: r.Draining, ColdMicroseconds: r.ColdFor.Microseconds(), Started: r.Target.Started,
		SoftwareVersion: string(r.Target.Version),
	}
}

func registrationsOf(list []*messenger.RelayedTarget) []hemlocktally.Registration {
	out := make([]hemlocktally.Registration, 0, len(list))
	for _, t := range list {
		out = append(out, hemlocktally.Registration{
			Service: hemlocktally.ServiceName(t.GetService()), Draining: t.GetDraining(), ColdFor: messenger.Duration(t.GetColdMicroseconds()),
			Target: hemlocktally.Target{
				Name: hemlocktally.TargetName(t.GetName()), Address: t.GetAddress(), Zone: hemlocktally.ZoneName(t.GetZone()),
				Slots: min(hemlocktally.MaxSlots, int(t.GetSlots())), Started: t.GetStarted(),
				Version: hemlocktally.BoundedVersion(t.GetSoftwareVersion()),
			},
		})
	}
	return out
}
