package claimer

import (
	"time"

	"hemlocktally"
)

// memoryTracker counts the records of a holder and the bytes of their kept answers.
// Both lists are in the order of insertion, for expiry and eviction of the oldest.
type memoryTracker struct {
	records    int
	keptBytes  int
	byAge      []trackedRecord
	withAnswer []*Record
}

type trackedRecord struct {
	rangeID RangeID
	record  *Record
}

func (m *memoryTracker) track(id RangeID, r *Record) {
	m.records++
	m.byAge = append(m.byAge, trackedRecord{id, r})
	if r.Kept != nil {
		m.keptBytes += keptBytes(r.Kept)
		m.withAnswer = append(m.withAnswer, r)
	}
}

// storeAnswer attaches an answer to a record and evicts the oldest answers beyond
// the limit in bytes. Their keys stay done.
func (m *memoryTracker) storeAnswer(r *Record, kept *hemlocktally.StoredResponse, limit int) {
	if kept == nil || keptBytes(kept) > maxKeptAnswerBytes {
		return
	}
	r.Kept = kept
	m.keptBytes += keptBytes(kept)
	m.withAnswer = append(m.withAnswer, r)
	for m.keptBytes > limit && len(m.withAnswer) > 0 {
		m.evictAnswer(m.withAnswer[0])
		m.withAnswer = m.withAnswer[1:]
	}
}

func (m *memoryTracker) evictAnswer(r *Record) {
	m.keptBytes -= keptBytes(r.Kept)
	r.Kept = nil
}

// remove stops counting a record and evicts its answer.
func (m *memoryTracker) remove(r *Record) {
	m.records--
	m.evictAnswer(r)
}

// expire removes the records whose lifetime is over. A key with a time in it still
// can't run again, because a key of that age without a record is never run.
func (s *State) expire(now time.Time) {
	m := &s.memory
	for len(m.byAge) > 0 {
		first := m.byAge[0]
		h := s.ranges[first.rangeID]
		present := h != nil && h.records[first.record.Key] == first.record
		if present && (now.Sub(first.record.Created) < KeyLifetime || first.record.State == RecordRunning) {
			return
		}
		m.byAge = m.byAge[1:]
		if present {
			delete(h.records, first.record.Key)
			m.remove(first.record)
		}
	}
}

// dropRange removes a range and all of its records.
func (s *State) dropRange(h *rangeState) {
	for _, r := range h.records {
		s.memory.remove(r)
	}
	s.ranges[h.id] = nil
}
