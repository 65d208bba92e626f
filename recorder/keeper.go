package recorder

import (
	"slices"

	"hemlocktally"
)

const (
	recentCalls = 256
	slowCalls   = 128
	failedCalls = 256
	// maxTextBytes bounds each text of a kept record.
	maxTextBytes = 256
)

// keeper holds the records of recent, slow and refused calls in rings, so that
// a flood of good calls pushes no refusal out.
type keeper struct {
	recent ring
	slow   ring
	failed ring
}

type ring struct {
	records []hemlocktally.CallRecord
	next    int
}

func (r *ring) push(record hemlocktally.CallRecord, size int) {
	if len(r.records) < size {
		r.records = append(r.records, record)
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % size
}

func (k *keeper) keep(record *hemlocktally.CallRecord, slow bool) {
	kept := *record
	kept.Path = clip(kept.Path)
	kept.Detail = clip(kept.Detail)
	switch {
	case kept.Outcome != hemlocktally.OutcomeDone:
		k.failed.push(kept, failedCalls)
	case slow:
		k.slow.push(kept, slowCalls)
	default:
		k.recent.push(kept, recentCalls)
	}
}

func clip(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes]
}

// all returns the kept records, the newest first.
func (k *keeper) all() []hemlocktally.CallRecord {
	records := slices.Concat(k.recent.records, k.slow.records, k.failed.records)
	slices.SortFunc(records, func(a, b hemlocktally.CallRecord) int { return b.Started.Compare(a.Started) })
	return records
}
