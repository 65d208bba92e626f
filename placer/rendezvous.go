package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// Ranked returns the members sorted by descending preference as the owner of the service. It
// uses weighted rendezvous hashing: when a member joins or leaves, only its own share of the
// services moves.
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

// score returns the weighted rendezvous hash of a member. Each member gets the highest score
// with a probability in proportion to its weight.
func score(service hemlocktally.ServiceName, member hemlocktally.Instance) float64 {
	const mantissaBits = 53
	hash := xxhash.Sum64String(string(service) + "\x00" + string(member.ID))
	uniform := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	weight := member.Weight
	if weight <= 0 {
		weight = 1
	}
	return -weight / math.Log(uniform)
}
