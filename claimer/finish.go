package claimer

import (
	"fmt"
	"time"

	"hemlocktally"
)

// finish records the outcome of a call. After the fence, a report that the call was
// done is still accepted; a report that it did not run is not.
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
		return s.finishSuperseded(r, m)
	}
	cmds := s.applyFence(h, r, now)
	recorded := false
	switch m.Outcome {
	case hemlocktally.OutcomeDone:
		recorded = s.finishDone(h, r, m)
		if !recorded {
			cmds = append(cmds, InvariantCmd{Detail: fmt.Sprintf("call %s ran under a key that is %s", m.Call, r.State)})
		}
		cmds = append(cmds, s.answerWaiters(r)...)
	case hemlocktally.OutcomeNotRun:
		recorded = s.transition(h, r, eventRelease)
		if recorded {
			cmds = append(cmds, s.grantNextWaiter(h, r, now)...)
		}
	default:
		recorded = s.transition(h, r, eventLose)
		cmds = append(cmds, s.answerWaiters(r)...)
	}
	return append(cmds, RecordedCmd{RequestID: m.RequestID, Recorded: recorded})
}

func (s *State) finishDone(h *rangeState, r *Record, m FinishMsg) bool {
	if r.State == RecordDone {
		return true
	}
	if !s.transition(h, r, eventFinish) {
		return false
	}
	s.memory.storeAnswer(r, m.Kept, s.Limits.KeptBytes)
	return true
}

// finishUnrecorded accepts the report that a call granted by an earlier holder was
// done. All other outcomes add no information.
func (s *State) finishUnrecorded(h *rangeState, m FinishMsg, now time.Time) []Cmd {
	recorded := RecordedCmd{RequestID: m.RequestID}
	if m.Outcome != hemlocktally.OutcomeDone || len(m.Digest) == 0 || s.memory.records >= s.Limits.Records {
		return []Cmd{recorded}
	}
	r := &Record{Key: m.Key, Digest: m.Digest, Call: m.Call, State: RecordUnknown, Created: now}
	h.records[r.Key] = r
	s.memory.track(h.id, r)
	recorded.Recorded = s.finishDone(h, r, m)
	return []Cmd{recorded}
}

// finishSuperseded handles the outcome of a call that is not the key's last one.
func (s *State) finishSuperseded(r *Record, m FinishMsg) []Cmd {
	recorded := RecordedCmd{RequestID: m.RequestID}
	if m.Outcome != hemlocktally.OutcomeDone || r.State == RecordFree {
		return []Cmd{recorded}
	}
	detail := fmt.Sprintf("call %s ran under a key for which call %s is %s", m.Call, r.Call, r.State)
	return []Cmd{recorded, InvariantCmd{Detail: detail}}
}

// grantNextWaiter grants the first waiting call after the running one was reported
// as not run. The others wait again. If the range is no longer held, all are
// rejected.
func (s *State) grantNextWaiter(h *rangeState, r *Record, now time.Time) []Cmd {
	waiters := r.waiters
	r.waiters = nil
	var cmds []Cmd
	for _, w := range waiters {
		if !s.valid(h, now) {
			cmds = append(cmds, s.notHolder(w, h.id))
			continue
		}
		cmds = append(cmds, s.beginRecorded(h, r, w, now)...)
	}
	return cmds
}
