package promoter

import (
	"time"

	"hemlocktally"
)

// write returns the command to write the record, if that is due.
func (s *State) write(now time.Time) []any {
	if !s.known || !s.mine() || s.writing || now.Before(s.retryAt) {
		return nil
	}
	if !s.dirty && !s.writeDue(now) {
		return nil
	}
	s.record.Sequence = max(s.record.Sequence, s.sentSequence) + 1
	s.sentSequence, s.writing, s.dirty, s.wroteAt = s.record.Sequence, true, false, now
	s.record.Calls, s.record.WrittenAtMs = s.calls, now.UnixMilli()
	if isActive(s.record.Phase) {
		s.record.Elapsed = min(max(0, now.Sub(s.startedAt)), hemlocktally.MaxRolloutDuration)
		s.record.Evidence = s.evidence.list()
	}
	s.record.Exposed = s.used
	if s.record.Phase == hemlocktally.RolloutRunning {
		s.record.Exposed += s.ahead(now)
	}
	return []any{WriteCmd{Record: s.record, Expected: s.version}}
}

// writeDue reports whether the record of a running rollout is to be written although nothing was
// decided.
func (s *State) writeDue(now time.Time) bool {
	if !isActive(s.record.Phase) {
		return false
	}
	age := now.Sub(s.wroteAt)
	short := s.record.Phase == hemlocktally.RolloutRunning && s.ceiling-s.used < burst && s.budget() > s.ceiling && !s.proven()
	return age >= writeInterval || (short && age >= urgentWriteInterval)
}

// ahead returns how many calls the next record allows in advance.
func (s *State) ahead(now time.Time) float64 {
	wanted := minAhead + aheadSeconds*s.rate.perSec*s.share(now)
	return max(0, min(wanted, s.budget()+s.Bounds.Share*s.rate.perSec*aheadSeconds-s.used))
}

// confirm takes note of a record that the store has accepted.
func (s *State) confirm(msg WrittenMsg, now time.Time) {
	s.writing, s.failingSince, s.retryAt = false, time.Time{}, time.Time{}
	if msg.Sequence != s.sentSequence {
		return
	}
	s.acked, s.version = msg.Sequence, msg.Version
	if !s.mine() {
		return
	}
	s.ceiling = s.record.Exposed
	if s.record.Phase == hemlocktally.RolloutSwitching && s.switchedAt.IsZero() && !s.dirty {
		s.switchedAt = now
	}
}

// resolve continues from the record that the store holds instead of the expected one.
func (s *State) resolve(msg ConflictMsg, now time.Time) {
	s.writing, s.failingSince, s.retryAt = false, time.Time{}, time.Time{}
	found, err := hemlocktally.DecodeRolloutRecord(msg.Value)
	switch {
	case msg.Version == 0 || err != nil:
		// The entry is missing, as after a restore from a backup, or can't be read.
		s.version, s.dirty = msg.Version, true
	case found.Decider == s.decider() && found.Sequence == s.sentSequence:
		s.confirm(WrittenMsg{Sequence: found.Sequence, Version: msg.Version}, now) // The response of an earlier try was lost.
	case found.Decider == s.decider() || found.Sequence < s.acked || (s.heard.Record != nil && found.Sequence < s.heard.Record.Sequence):
		s.version, s.dirty = msg.Version, true // An earlier record, as from a backup.
	default:
		s.adopt(found, msg.Version, now)
	}
}

// fail takes note of a write without an answer. It may have been done; the next try shows.
func (s *State) fail(now time.Time) {
	s.writing, s.dirty, s.retryAt = false, true, now.Add(retryInterval)
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
}

// statusKey identifies the status that operators are to be told.
func (s *State) statusKey() string {
	phase := s.record.Phase
	if phase == hemlocktally.RolloutSwitching {
		phase = hemlocktally.RolloutRunning
	}
	return string(phase) + " " + string(s.record.Target)
}

// tellStatus returns the command to tell operators the state, once the record with it is written.
func (s *State) tellStatus(now time.Time) []any {
	if s.record.Phase == hemlocktally.RolloutIdle || s.statusDone == s.statusKey() || s.statusSent != "" || now.Before(s.statusRetryAt) {
		return nil
	}
	if s.mine() {
		if s.dirty || s.writing || s.acked != s.record.Sequence {
			return nil
		}
	} else if isActive(s.record.Phase) || !s.orderKnown() {
		return nil
	}
	s.statusSent = s.statusKey()
	return []any{StatusCmd{Phase: s.record.Phase, Version: s.record.Target}}
}

func (s *State) noteStatus(msg StatusMsg, now time.Time) {
	if msg.Written {
		s.statusDone = s.statusSent
	} else {
		s.statusRetryAt = now.Add(retryInterval)
	}
	s.statusSent = ""
}
