package claimer

import (
	"bytes"
	"fmt"
	"time"

	"hemlocktally"
)

// begin decides whether a call may run under its key.
func (s *State) begin(m BeginMsg, now time.Time) []Cmd {
	key := KeyOf(m.Request)
	id := RangeOf(key)
	h := s.ranges[id]
	switch {
	case key.Key == "" || len(key.Key) > maxKeyBytes:
		return answerCmds(m, refused(fmt.Sprintf("a key must have 1 to %d bytes", maxKeyBytes)))
	case !s.valid(h, now):
		return []Cmd{s.notHolder(m, id)}
	case h.frozen:
		return s.queue(h, m)
	case !now.Before(m.Request.Deadline):
		return answerCmds(m, refused("the deadline has passed"))
	}
	r := h.records[key]
	if r == nil {
		return s.beginNew(h, m, now)
	}
	if !bytes.Equal(r.Digest, m.Request.Digest) {
		return answerCmds(m, hemlocktally.Claim{Verdict: hemlocktally.ClaimDiffers, Detail: "the key was used for another request"})
	}
	return s.beginRecorded(h, r, m, now)
}

func (s *State) beginNew(h *rangeState, m BeginMsg, now time.Time) []Cmd {
	if detail := s.futureKeyReason(m.Request.Key, now); detail != "" {
		return answerCmds(m, refused(detail))
	}
	if detail := seenBeforeReason(h, m.Request.Key, now); detail != "" {
		return answerCmds(m, hemlocktally.Claim{Verdict: hemlocktally.ClaimUnknown, Detail: detail})
	}
	if s.memory.records >= s.Limits.Records {
		return answerCmds(m, refused("the holder has reached its limit of recorded keys"))
	}
	r := &Record{Key: KeyOf(m.Request), Digest: m.Request.Digest, State: RecordFree, Created: now}
	h.records[r.Key] = r
	s.memory.track(h.id, r)
	return s.grantRun(h, r, m, now)
}

// futureKeyReason returns why a key whose time lies in the future is refused, or an
// empty string. After a takeover such a key could not be told from one made later.
func (s *State) futureKeyReason(key string, now time.Time) string {
	made, ok := KeyTime(key)
	if !ok || !made.After(now.Add(ClockMargin)) {
		return ""
	}
	return fmt.Sprintf("the key's time is %s ahead of this instance's clock", made.Sub(now).Round(time.Millisecond))
}

// seenBeforeReason returns why a key without a record may have been used before, or
// an empty string if it can't have been.
func seenBeforeReason(h *rangeState, key string, now time.Time) string {
	made, ok := KeyTime(key)
	switch {
	case !ok && now.Before(h.taintEnd):
		return "an earlier holder may have seen this key, which carries no time"
	case ok && !made.After(h.horizon):
		return "an earlier holder may have seen this key"
	case ok && !made.After(now.Add(2*ClockMargin-KeyLifetime)):
		return "the key is older than the lifetime of recorded keys"
	default:
		return ""
	}
}

func (s *State) beginRecorded(h *rangeState, r *Record, m BeginMsg, now time.Time) []Cmd {
	cmds := s.applyFence(h, r, now)
	switch {
	case r.State == RecordFree && r.Call == m.Request.Call:
		return append(cmds, answerCmds(m, refused("the call was abandoned by its instance"))...)
	case r.State == RecordFree:
		return append(cmds, s.grantRun(h, r, m, now)...)
	case r.State == RecordRunning && r.Call == m.Request.Call:
		// The first answer was lost. The client starts its attempt once, whichever
		// answer reaches it, so the same call may get the same verdict again.
		return append(cmds, answerCmds(m, runClaim(h, r))...)
	case r.State == RecordRunning:
		r.waiters = append(r.waiters, m)
		return cmds
	default:
		return append(cmds, answerCmds(m, finalClaim(r))...)
	}
}

// grantRun lets the call run once, until the earlier of its deadline and the end of
// the lease.
func (s *State) grantRun(h *rangeState, r *Record, m BeginMsg, now time.Time) []Cmd {
	if s.lease.End.Before(m.Request.Deadline) && s.lease.End.Sub(now) < minRunTime {
		return answerCmds(m, refused("the lease of the key's range ends too soon; retry with the same key"))
	}
	if !s.transition(h, r, eventRun) {
		return []Cmd{InvariantCmd{Detail: fmt.Sprintf("call %s may not run under a key that is %s", m.Request.Call, r.State)}}
	}
	r.Call = m.Request.Call
	r.Fence = m.Request.Deadline
	if s.lease.End.Before(r.Fence) {
		r.Fence = s.lease.End
	}
	return answerCmds(m, runClaim(h, r))
}

func runClaim(h *rangeState, r *Record) hemlocktally.Claim {
	return hemlocktally.Claim{Verdict: hemlocktally.ClaimRun, Epoch: h.epoch, Fence: r.Fence}
}

// finalClaim returns the verdict on a key that is done or unknown.
func finalClaim(r *Record) hemlocktally.Claim {
	switch {
	case r.State == RecordDone && r.Kept != nil:
		return hemlocktally.Claim{Verdict: hemlocktally.ClaimDone, Response: r.Kept}
	case r.State == RecordDone:
		return hemlocktally.Claim{Verdict: hemlocktally.ClaimUnknown, Detail: "an earlier call ran; its answer is no longer kept"}
	default:
		return hemlocktally.Claim{Verdict: hemlocktally.ClaimUnknown, Detail: "an earlier call may have run"}
	}
}

func refused(detail string) hemlocktally.Claim {
	return hemlocktally.Claim{Verdict: hemlocktally.ClaimRefused, Detail: detail, RetryAfter: defaultRetryAfter}
}

func answerCmds(m BeginMsg, claim hemlocktally.Claim) []Cmd {
	return []Cmd{AnswerCmd{RequestID: m.RequestID, Claim: claim}}
}

// queue holds a message back until the hand-over of its range has ended.
func (s *State) queue(h *rangeState, msg Msg) []Cmd {
	if len(h.queued) >= maxQueued {
		return []Cmd{s.notHolder(msg, h.id)}
	}
	h.queued = append(h.queued, msg)
	return nil
}

// applyFence makes a running key unknown once its fence has passed and no outcome
// was reported.
func (s *State) applyFence(h *rangeState, r *Record, now time.Time) []Cmd {
	if r.State != RecordRunning || now.Before(r.Fence) {
		return nil
	}
	s.transition(h, r, eventLose)
	return s.answerWaiters(r)
}

func (s *State) answerWaiters(r *Record) []Cmd {
	var cmds []Cmd
	for _, w := range r.waiters {
		cmds = append(cmds, answerCmds(w, finalClaim(r))...)
	}
	r.waiters = nil
	return cmds
}

// applyTimeouts applies fences and answers the requests whose wait is over.
func (s *State) applyTimeouts(h *rangeState, now time.Time) []Cmd {
	var cmds []Cmd
	for _, r := range h.running {
		cmds = append(cmds, s.applyFence(h, r, now)...)
		var late []BeginMsg
		r.waiters, late = splitLate(r.waiters, now)
		for _, w := range late {
			cmds = append(cmds, answerCmds(w, hemlocktally.Claim{
				Verdict: hemlocktally.ClaimRunning, Detail: "an earlier call under this key is still running",
			})...)
		}
	}
	var queued []Msg
	for _, msg := range h.queued {
		m, ok := msg.(BeginMsg)
		if !ok || now.Before(m.WaitUntil) {
			queued = append(queued, msg)
			continue
		}
		claim := refused("the key's range is moving to another instance; retry with the same key")
		claim.Holder = s.Self.ID
		cmds = append(cmds, AnswerCmd{RequestID: m.RequestID, Claim: claim, Moved: true})
	}
	h.queued = queued
	return cmds
}

// splitLate separates the waiters whose wait is over from the others.
func splitLate(waiters []BeginMsg, now time.Time) (still, late []BeginMsg) {
	for _, w := range waiters {
		if now.Before(w.WaitUntil) {
			still = append(still, w)
		} else {
			late = append(late, w)
		}
	}
	return still, late
}

func (s *State) cancel(m CancelMsg) {
	for _, h := range s.ranges {
		if h == nil {
			continue
		}
		for _, r := range h.running {
			for i, w := range r.waiters {
				if w.RequestID == m.RequestID {
					r.waiters = append(r.waiters[:i:i], r.waiters[i+1:]...)
					return
				}
			}
		}
	}
}
