package allocator

import (
	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// OwnerOf returns the member that owns the service: the one with the highest
// rendezvous hash of member and service. It returns false if there are no
// members.
func OwnerOf(service hemlocktally.ServiceName, members []hemlocktally.Instance) (hemlocktally.Instance, bool) {
	owners := OwnersOf(service, members)
	if len(owners) == 0 {
		return hemlocktally.Instance{}, false
	}
	return owners[0], true
}

// OwnersOf returns the owner of the service, followed by the stand-in that is
// used while the owner does not respond: the members with the two highest
// hashes. It returns fewer if there are fewer members.
func OwnersOf(service hemlocktally.ServiceName, members []hemlocktally.Instance) []hemlocktally.Instance {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i := range members {
		score := score(members[i].ID, service)
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	var owners []hemlocktally.Instance
	for _, i := range []int{first, second} {
		if i >= 0 {
			owners = append(owners, members[i])
		}
	}
	return owners
}

func score(member hemlocktally.InstanceID, service hemlocktally.ServiceName) uint64 {
	return xxhash.Sum64String(string(member) + "/" + string(service))
}
