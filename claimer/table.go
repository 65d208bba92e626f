package claimer

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// Assignment names the holder of one range. Its epoch rises with each change.
type Assignment struct {
	Holder      hemlocktally.InstanceID
	Incarnation string
	Lease       string // Lease is the lease that bounds the holder.
	Epoch       uint64 // Epoch is zero where the range never had a holder.
	Transfer    string `json:",omitempty"` // Transfer names the records that came with the range.
}

// Table names the holders of all ranges, as the store has it.
type Table struct {
	Version     hemlocktally.StoreVersion `json:"-"`
	Assignments [Ranges]Assignment
}

// Encode returns the table in the form of the store.
func (t Table) Encode() ([]byte, error) { return json.Marshal(t) }

// DecodeTable reads the form of the store.
func DecodeTable(value []byte, version hemlocktally.StoreVersion) (Table, error) {
	table := Table{}
	err := json.Unmarshal(value, &table)
	table.Version = version
	return table, err
}

// rankOf returns the place of an instance in the order of the members by their
// score for the range, from 0, or -1 where it is none of them.
func rankOf(id hemlocktally.InstanceID, r RangeID, members []hemlocktally.Instance) int {
	own := scoreOf(id, r)
	rank, found := 0, false
	for i := range members {
		switch other := members[i].ID; {
		case other == id:
			found = true
		case scoreOf(other, r) > own:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// firstOf returns the member with the highest score for the range.
func firstOf(r RangeID, members []hemlocktally.Instance) (hemlocktally.Instance, bool) {
	best, bestScore := -1, uint64(0)
	for i := range members {
		if score := scoreOf(members[i].ID, r); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return hemlocktally.Instance{}, false
	}
	return members[best], true
}

// scoreOf hashes a member with the range (rendezvous hashing), so that a member
// that comes or goes moves only its own ranges.
func scoreOf(id hemlocktally.InstanceID, r RangeID) uint64 {
	const usualLength = 64
	var buffer [usualLength]byte
	return xxhash.Sum64(append(append(buffer[:0], id...), '/', byte(r)))
}
