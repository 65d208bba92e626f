package claimer

import (
	"time"

	"hemlocktally"
)

// memory counts what all records of a holder use, oldest first.
type memory struct {
	records   int
	keptBytes int
	order     []remembered
	kept      []*Record
}

type remembered struct {
	id     RangeID
	record *Record
}

func (m *memory) add(id RangeID, r *Record) {
	m.records++
	m.order = append(m.order, remembered{id, r})
	if r.Kept != nil {
		m.keptBytes += keptBytes(r.Kept)
		m.kept = append(m.kept, r)
	}
}

// keep keeps an answer and lets the oldest answers go beyond the limit. Their
// keys stay done.
func (m *memory) keep(r *Record, kept *hemlocktally.KeptAnswer, limit int) {
	if kept == nil || keptBytes(kept) > maxKeptAnswerBytes {
		return
	}
	r.Kept = kept
	m.keptBytes += keptBytes(kept)
	m.kept = append(m.kept, r)
	for m.keptBytes > limit && len(m.kept) > 0 {
		m.discard(m.kept[0])
		m.kept = m.kept[1:]
	}
}

func (m *memory) discard(r *Record) {
	m.keptBytes -= keptBytes(r.Kept)
	r.Kept = nil
}

// forget stops counting a record.
func (m *memory) forget(r *Record) {
	m.records--
	m.discard(r)
}

// expire forgets the keys whose lifetime is over. Keys with a time in them stay
// safe, because an unseen key of that age is never run.
func (s *State) expire(now time.Time) {
	m := &s.memory
	for len(m.order) > 0 {
		first := m.order[0]
		h := s.ranges[first.id]
		present := h != nil && h.records[first.record.Key] == first.record
		if present && (now.Sub(first.record.Created) < KeyLifetime || first.record.State == RecordRunning) {
			return
		}
		m.order = m.order[1:]
		if present {
			delete(h.records, first.record.Key)
			m.forget(first.record)
		}
	}
}

// drop forgets a whole range.
func (s *State) drop(h *held) {
	for _, r := range h.records {
		s.memory.forget(r)
	}
	s.ranges[h.id] = nil
}
