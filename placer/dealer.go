package placer

import (
	"slices"
	"sync"

	"hemlocktally"
)

// fitPart is the part of the strongest member's weight that a member needs to own
// services beside it.
const fitPart = 0.5

// Dealt deals the services out evenly: each goes to the member that suits it best among
// those that do not have their part yet. Owning a busy service takes most of a small
// instance's processor, so that two must not fall to one while another has none. Members
// that are much weaker than the strongest own nothing.
func Dealt(services []hemlocktally.ServiceName, members []hemlocktally.Instance) map[hemlocktally.ServiceName]hemlocktally.InstanceID {
	fit := fitMembers(members)
	if len(fit) == 0 {
		return nil
	}
	dealt := make(map[hemlocktally.ServiceName]hemlocktally.InstanceID, len(services))
	part := (len(services) + len(fit) - 1) / len(fit)
	has := map[hemlocktally.InstanceID]int{}
	for _, service := range slices.Sorted(slices.Values(services)) {
		for _, member := range Ranked(service, fit) {
			if has[member.ID] < part {
				has[member.ID]++
				dealt[service] = member.ID
				break
			}
		}
	}
	return dealt
}

// fitMembers are those that may own services.
func fitMembers(members []hemlocktally.Instance) []hemlocktally.Instance {
	strongest := 0.0
	for _, m := range members {
		strongest = max(strongest, m.Weight)
	}
	return slices.DeleteFunc(slices.Clone(members), func(m hemlocktally.Instance) bool { return m.Weight < fitPart*strongest })
}

// dealer keeps the last deal, since a fleet changes rarely. Its zero value works.
type dealer struct {
	mu       sync.Mutex
	services []hemlocktally.ServiceName
	members  []hemlocktally.Instance
	dealt    map[hemlocktally.ServiceName]hemlocktally.InstanceID
}

// line returns the members in the order in which they are asked for the service.
func (d *dealer) line(service hemlocktally.ServiceName, services []hemlocktally.ServiceName, members []hemlocktally.Instance) []hemlocktally.Instance {
	d.mu.Lock()
	if d.dealt == nil || !slices.Equal(d.services, services) || !slices.EqualFunc(d.members, members, sameMember) {
		d.services, d.members = slices.Clone(services), slices.Clone(members)
		d.dealt = Dealt(services, members)
	}
	first := d.dealt[service]
	d.mu.Unlock()
	ranked := Ranked(service, members)
	if i := slices.IndexFunc(ranked, func(m hemlocktally.Instance) bool { return m.ID == first }); i > 0 {
		owner := ranked[i]
		ranked = slices.Insert(slices.Delete(ranked, i, i+1), 0, owner)
	}
	return ranked
}

func sameMember(a, b hemlocktally.Instance) bool { return a.ID == b.ID && a.Weight == b.Weight }
