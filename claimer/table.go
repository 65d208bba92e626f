package claimer

import (
	"cmp"
	"encoding/json"
	"slices"

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

// rankOf returns at which place of the range's rendezvous order the instance
// stands among the members; zero is the first choice.
func rankOf(id hemlocktally.InstanceID, r RangeID, members []hemlocktally.Instance) int {
	order := rendezvous(r, members)
	return slices.IndexFunc(order, func(m hemlocktally.Instance) bool { return m.ID == id })
}

// rendezvous orders the members by their hash with the range, so that a member
// that comes or goes moves only its own ranges.
func rendezvous(r RangeID, members []hemlocktally.Instance) []hemlocktally.Instance {
	order := slices.Clone(members)
	score := func(m hemlocktally.Instance) uint64 {
		return xxhash.Sum64(append([]byte(m.ID), '/', byte(r)))
	}
	slices.SortFunc(order, func(a, b hemlocktally.Instance) int { return cmp.Compare(score(b), score(a)) })
	return order
}
