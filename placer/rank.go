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
