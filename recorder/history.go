package recorder

import (
	"slices"

	"hemlocktally"
)

const (
	maxRecentCalls  = 256
	maxSlowCalls    = 128
	maxRefusedCalls = 256
	// maxTextBytes limits the Path and Detail of a kept record.
	maxTextBytes = 256
)

// callHistory holds the records of recent, slow and refused calls in separate ring
// buffers, so that a flood of successful calls evicts no refusals.
type callHistory struct {
	recent  ringBuffer
	slow    ringBuffer
	refused ringBuffer
}

type ringBuffer struct {
	records []hemlocktally.CallRecord
	next    int
}

func (r *ringBuffer) push(record hemlocktally.CallRecord, size int) {
	if len(r.records) < size {
		r.records = append(r.records, record)
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % size
}

func (h *callHistory) add(record *hemlocktally.CallRecord, slow bool) {
	kept := *record
	kept.Path = truncate(kept.Path)
	kept.Detail = truncate(kept.Detail)
	switch {
	case kept.Outcome != hemlocktally.OutcomeDone:
		h.refused.push(kept, maxRefusedCalls)
	case slow:
		h.slow.push(kept, maxSlowCalls)
	default:
		h.recent.push(kept, maxRecentCalls)
	}
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes]
}

// all returns the kept records, newest first by start time.
func (h *callHistory) all() []hemlocktally.CallRecord {
	records := slices.Concat(h.recent.records, h.slow.records, h.refused.records)
	slices.SortFunc(records, func(a, b hemlocktally.CallRecord) int { return b.Started.Compare(a.Started) })
	return records
}
