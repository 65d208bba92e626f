package follower

import (
	"maps"
	"slices"

	"hemlocktally"
)

// enoughInZone is how many targets of a service a zone has to have for its owner to
// decide on the zone's calls. With fewer, calls would often need other zones'
// targets, whose turns that owner does not count.
const enoughInZone = 10

// splitServices lists the services that have enough targets in each zone that has
// a hub. Targets that drain don't count.
func splitServices(targets map[hemlocktally.ServiceName][]hemlocktally.Registration, hubs map[hemlocktally.ZoneName]Hub) []hemlocktally.ServiceName {
	if len(hubs) < 2 {
		return nil
	}
	var split []hemlocktally.ServiceName
	for _, service := range slices.Sorted(maps.Keys(targets)) {
		count := map[hemlocktally.ZoneName]int{}
		for _, t := range targets[service] {
			if !t.Draining {
				count[t.Target.Zone]++
			}
		}
		enough := true
		for zone := range hubs {
			enough = enough && count[zone] >= enoughInZone
		}
		if enough {
			split = append(split, service)
		}
	}
	return split
}

// split returns the services that are split: what a hub finds itself, and what the
// hub says that others follow.
func (f *Follower) split() map[hemlocktally.ServiceName]bool {
	list := f.Picture().Split
	if relayed := f.relayedSplit.Load(); relayed != nil && !f.isHub.Load() {
		list = *relayed
	}
	split := make(map[hemlocktally.ServiceName]bool, len(list))
	for _, service := range list {
		split[service] = true
	}
	return split
}

// noteSplit takes over what a hub says. The view that others have of it is renewed
// with the next picture.
func (f *Follower) noteSplit(services []string) {
	list := make([]hemlocktally.ServiceName, 0, len(services))
	for _, service := range services {
		list = append(list, hemlocktally.ServiceName(service))
	}
	f.relayedSplit.Store(&list)
}

// splitNames are the services of the picture that are split, for the wire.
func (p *Picture) splitNames() []string {
	names := make([]string, 0, len(p.Split))
	for _, service := range p.Split {
		names = append(names, string(service))
	}
	return names
}
