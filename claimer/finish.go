package claimer

import (
	"fmt"
	"time"

	"hemlocktally"
)

// finish records what came of a call. A late word that a call was done is
// always taken; a late word that it did not run is not.
func (s *State) finish(m FinishMsg, now time.Time) []Cmd {
	id := RangeOf(m.Key)
	h := s.ranges[id]
	switch {
	case h == nil:
		return []Cmd{s.notHolder(m, id)}
	case h.frozen:
		return s.queue(h, m)
	}
	r := h.records[m.Key]
	if r == nil {
		return s.finishUnrecorded(h, m, now)
	}
	if r.Call != m.Call {
		return s.finishOther(r, m)
	}
	cmds := s.passFence(h, r, now)
	recorded := false
	switch m.Outcome {
	case hemlocktally.OutcomeDone:
		recorded = s.finishDone(h, r, m)
		if !recorded {
			cmds = append(cmds, InvariantCmd{Detail: fmt.Sprintf("call %s ran under a key that is %s", m.Call, r.State)})
		}
		cmds = append(cmds, s.settleWaiters(r)...)
	case hemlocktally.OutcomeNotRun:
		recorded = s.step(h, r, eventRelease)
		if recorded {
			cmds = append(cmds, s.letNextRun(h, r, now)...)
		}
	default:
		recorded = s.step(h, r, eventLose)
		cmds = append(cmds, s.settleWaiters(r)...)
	}
	return append(cmds, RecordedCmd{Asker: m.Asker, Recorded: recorded})
}

func (s *State) finishDone(h *held, r *Record, m FinishMsg) bool {
	if r.State == RecordDone {
		return true
	}
	if !s.step(h, r, eventFinish) {
		return false
	}
	s.memory.keep(r, m.Kept, s.Limits.KeptBytes)
	return true
}

// finishUnrecorded takes the word that a call, which an earlier holder let run,
// was done. All other outcomes tell nothing new.
func (s *State) finishUnrecorded(h *held, m FinishMsg, now time.Time) []Cmd {
	recorded := RecordedCmd{Asker: m.Asker}
	if m.Outcome != hemlocktally.OutcomeDone || len(m.Digest) == 0 || s.memory.records >= s.Limits.Records {
		return []Cmd{recorded}
	}
	r := &Record{Key: m.Key, Digest: m.Digest, Call: m.Call, State: RecordUnknown, Created: now}
	h.records[r.Key] = r
	s.memory.add(h.id, r)
	recorded.Recorded = s.finishDone(h, r, m)
	return []Cmd{recorded}
}

// finishOther meets the outcome of a call that is not the key's last one.
func (s *State) finishOther(r *Record, m FinishMsg) []Cmd {
	recorded := RecordedCmd{Asker: m.Asker}
	if m.Outcome != hemlocktally.OutcomeDone || r.State == RecordFree {
		return []Cmd{recorded}
	}
	detail := fmt.Sprintf("call %s ran under a key for which call %s is %s", m.Call, r.Call, r.State)
	return []Cmd{recorded, InvariantCmd{Detail: detail}}
}

// letNextRun lets the first call that waits run in place of one that surely
// did not.
func (s *State) letNextRun(h *held, r *Record, now time.Time) []Cmd {
	waiters := r.waiters
	r.waiters = nil
	var cmds []Cmd
	for _, w := range waiters {
		if !s.valid(h, now) {
			cmds = append(cmds, s.notHolder(w, h.id))
			continue
		}
		cmds = append(cmds, s.beginKnown(h, r, w, now)...)
	}
	return cmds
}
