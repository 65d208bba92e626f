package claimer

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// Assignment names the holder of one range. The epoch rises with each change.
type Assignment struct {
	Holder      hemlocktally.InstanceID
	Incarnation string
	Lease       string // Lease is the store lease under which the range is held.
	Epoch       uint64 // Epoch is 0 if the range never had a holder.
	Transfer    string `json:",omitempty"` // Transfer is the ID of the transfer that carried the range's records, or empty.
}

// Table holds the assignments of all ranges, with the store's version of it.
type Table struct {
	Version     hemlocktally.StoreVersion `json:"-"`
	Assignments [Ranges]Assignment
}

// Encode returns the table as the JSON that the store holds.
func (t Table) Encode() ([]byte, error) { return json.Marshal(t) }

// DecodeTable parses the JSON that the store holds and sets the table's version.
func DecodeTable(value []byte, version hemlocktally.StoreVersion) (Table, error) {
	table := Table{}
	err := json.Unmarshal(value, &table)
	table.Version = version
	return table, err
}

// rankOf returns the position, from 0, of an instance among the members ordered by
// descending score for the range. It returns -1 if the instance is not a member.
func rankOf(id hemlocktally.InstanceID, r RangeID, members []hemlocktally.Instance) int {
	own := rendezvousScore(id, r)
	rank, found := 0, false
	for i := range members {
		switch other := members[i].ID; {
		case other == id:
			found = true
		case rendezvousScore(other, r) > own:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// preferredHolder returns the member with the highest score for the range, and
// false if there are no members.
func preferredHolder(r RangeID, members []hemlocktally.Instance) (hemlocktally.Instance, bool) {
	best, bestScore := -1, uint64(0)
	for i := range members {
		if score := rendezvousScore(members[i].ID, r); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return hemlocktally.Instance{}, false
	}
	return members[best], true
}

// rendezvousScore hashes a member with the range (rendezvous hashing), so that a
// member that joins or leaves moves only its own ranges.
func rendezvousScore(id hemlocktally.InstanceID, r RangeID) uint64 {
	const usualLength = 64
	var buffer [usualLength]byte
	return xxhash.Sum64(append(append(buffer[:0], id...), '/', byte(r)))
}
