package allocator

import (
	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// OwnerOf returns the member that owns the service: the one with the highest
// hash of member and service. It returns false where there is no member.
func OwnerOf(service hemlocktally.ServiceName, members []hemlocktally.Instance) (hemlocktally.Instance, bool) {
	var best hemlocktally.Instance
	var bestScore uint64
	for _, m := range members {
		score := xxhash.Sum64String(string(m.ID) + "/" + string(service))
		if best.ID == "" || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best, best.ID != ""
}
