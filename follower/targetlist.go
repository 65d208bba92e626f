package follower

import (
	"strconv"
	"sync"

	"hemlocktally"
	"hemlocktally/messenger"
)

// targetsVersion names the list of the picture among all lists of all hubs.
func (f *Follower) targetsVersion(p *Picture) string {
	return f.Self.Incarnation + "/" + strconv.FormatUint(p.TargetsVersion, 10)
}

// relayedTargets keeps the list in the form in which it is passed on: many ask for
// the same one. Its zero value works.
type relayedTargets struct {
	mu      sync.Mutex
	version uint64
	list    []*messenger.RelayedTarget
}

func (r *relayedTargets) of(p *Picture) []*messenger.RelayedTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil || r.version != p.TargetsVersion {
		r.version, r.list = p.TargetsVersion, []*messenger.RelayedTarget{}
		for _, targets := range p.Targets {
			for _, t := range targets {
				r.list = append(r.list, relayedTarget(t))
			}
		}
	}
	return r.list
}

func relayedTarget(r hemlocktally.Registration) *messenger.RelayedTarget {
	return &messenger.RelayedTarget{
		Name: string(r.Target.Name), Service: string(r.Service), Address: r.Target.Address, Zone: string(r.Target.Zone),
		Slots: int32(r.Target.Slots), Draining: r.Draining, ColdMicroseconds: r.ColdFor.Microseconds(), Started: r.Target.Started,
	}
}

func registrationsOf(list []*messenger.RelayedTarget) []hemlocktally.Registration {
	out := make([]hemlocktally.Registration, 0, len(list))
	for _, t := range list {
		out = append(out, hemlocktally.Registration{
			Service: hemlocktally.ServiceName(t.GetService()), Draining: t.GetDraining(), ColdFor: microseconds(t.GetColdMicroseconds()),
			Target: hemlocktally.Target{
				Name: hemlocktally.TargetName(t.GetName()), Address: t.GetAddress(), Zone: hemlocktally.ZoneName(t.GetZone()),
				Slots: int(t.GetSlots()), Started: t.GetStarted(),
			},
		})
	}
	return out
}
