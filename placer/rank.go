package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// Ranked orders the members by how well they suit as the owner of the service:
// weighted rendezvous hashing, so that a member that comes or goes moves its
// own share and nothing else.
func Ranked(service hemlocktally.ServiceName, members []hemlocktally.Instance) []hemlocktally.Instance {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b hemlocktally.Instance) int {
		if c := cmp.Compare(score(service, b), score(service, a)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked
}

// RankedFor orders the members as owners of a large service for the calls of one
// zone: a member of the zone itself comes first, and the zones of others are
// dealt among the rest.
func RankedFor(service hemlocktally.ServiceName, zone hemlocktally.ZoneName, members []hemlocktally.Instance) []hemlocktally.Instance {
	ranked := Ranked(service+"@"+hemlocktally.ServiceName(zone), members)
	slices.SortStableFunc(ranked, func(a, b hemlocktally.Instance) int {
		switch {
		case (a.Zone == zone) == (b.Zone == zone):
			return 0
		case a.Zone == zone:
			return -1
		default:
			return 1
		}
	})
	return ranked
}

// Owners orders the members as owners of the service for the calls of a zone.
func Owners(service hemlocktally.ServiceName, zone hemlocktally.ZoneName, view hemlocktally.View) []hemlocktally.Instance {
	if view.Split[service] {
		return RankedFor(service, zone, view.Serving())
	}
	return Ranked(service, view.Serving())
}

// Share is a member's part of the decisions on one service.
func Share(service hemlocktally.ServiceName, self hemlocktally.InstanceID, zones []hemlocktally.ZoneName, view hemlocktally.View) OwnerShare {
	if !view.Split[service] {
		return OwnerShare{}
	}
	share := OwnerShare{Owners: len(view.Serving()), Zones: map[hemlocktally.ZoneName]bool{}}
	for _, zone := range zones {
		if ranked := RankedFor(service, zone, view.Serving()); len(ranked) > 0 && ranked[0].ID == self {
			share.Zones[zone] = true
		}
	}
	return share
}

// score is higher for members of more weight, in proportion.
func score(service hemlocktally.ServiceName, member hemlocktally.Instance) float64 {
	const mantissa = 53
	hash := xxhash.Sum64String(string(service) + "\x00" + string(member.ID))
	unit := (float64(hash>>(64-mantissa)) + 0.5) / (1 << mantissa)
	weight := member.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(unit)
}
