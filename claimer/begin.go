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
		return answer(m, refused(fmt.Sprintf("a key has 1 to %d bytes", maxKeyBytes)))
	case !s.valid(h, now):
		return []Cmd{s.notHolder(m, id)}
	case h.frozen:
		return s.queue(h, m)
	case !now.Before(m.Request.Deadline):
		return answer(m, refused("the deadline has passed"))
	}
	r := h.records[key]
	if r == nil {
		return s.beginNew(h, m, now)
	}
	if !bytes.Equal(r.Digest, m.Request.Digest) {
		return answer(m, hemlocktally.Claim{Verdict: hemlocktally.ClaimDiffers, Detail: "the key was used for another request"})
	}
	return s.beginKnown(h, r, m, now)
}

func (s *State) beginNew(h *held, m BeginMsg, now time.Time) []Cmd {
	if detail := s.tooFarAhead(m.Request.Key, now); detail != "" {
		return answer(m, refused(detail))
	}
	if detail := maybeSeen(h, m.Request.Key, now); detail != "" {
		return answer(m, hemlocktally.Claim{Verdict: hemlocktally.ClaimUnknown, Detail: detail})
	}
	if s.memory.records >= s.Limits.Records {
		return answer(m, refused("the holder's memory for keys is full"))
	}
	r := &Record{Key: KeyOf(m.Request), Digest: m.Request.Digest, State: RecordFree, Created: now}
	h.records[r.Key] = r
	s.memory.add(h.id, r)
	return s.letRun(h, r, m, now)
}

// tooFarAhead refuses keys whose time lies ahead: after a takeover they could
// not be told from keys made later.
func (s *State) tooFarAhead(key string, now time.Time) string {
	made, ok := KeyTime(key)
	if !ok || !made.After(now.Add(ClockMargin)) {
		return ""
	}
	return fmt.Sprintf("the key's time is %s ahead of this instance's clock", made.Sub(now).Round(time.Millisecond))
}

// maybeSeen says why an unrecorded key may have been seen before.
func maybeSeen(h *held, key string, now time.Time) string {
	made, ok := KeyTime(key)
	switch {
	case !ok && now.Before(h.taintEnd):
		return "an earlier holder may have seen this key, which carries no time"
	case ok && !made.After(h.horizon):
		return "an earlier holder may have seen this key"
	case ok && !made.After(now.Add(2*ClockMargin-KeyLifetime)):
		return "the key is older than keys are remembered"
	default:
		return ""
	}
}

func (s *State) beginKnown(h *held, r *Record, m BeginMsg, now time.Time) []Cmd {
	cmds := s.passFence(h, r, now)
	switch {
	case r.State == RecordFree && r.Call == m.Request.Call:
		return append(cmds, answer(m, refused("the call was given up"))...)
	case r.State == RecordFree:
		return append(cmds, s.letRun(h, r, m, now)...)
	case r.State == RecordRunning && r.Call == m.Request.Call:
		// The first answer was lost. An entry starts its attempt once, whichever
		// answer it gets, so that the same call gets the same word.
		return append(cmds, answer(m, runClaim(h, r))...)
	case r.State == RecordRunning:
		r.waiters = append(r.waiters, m)
		return cmds
	default:
		return append(cmds, answer(m, settled(r))...)
	}
}

// letRun lets the call run once, until the earlier of its deadline and the end
// of the lease.
func (s *State) letRun(h *held, r *Record, m BeginMsg, now time.Time) []Cmd {
	if s.lease.End.Before(m.Request.Deadline) && s.lease.End.Sub(now) < leastRun {
		return answer(m, refused("the lease of the key's range ends too soon; retry with the same key"))
	}
	if !s.step(h, r, eventRun) {
		return []Cmd{InvariantCmd{Detail: fmt.Sprintf("call %s may not run under a key that is %s", m.Request.Call, r.State)}}
	}
	r.Call = m.Request.Call
	r.Fence = m.Request.Deadline
	if s.lease.End.Before(r.Fence) {
		r.Fence = s.lease.End
	}
	return answer(m, runClaim(h, r))
}

func runClaim(h *held, r *Record) hemlocktally.Claim {
	return hemlocktally.Claim{Verdict: hemlocktally.ClaimRun, Epoch: h.epoch, Fence: r.Fence}
}

// settled is the word on a key that is done or unknown.
func settled(r *Record) hemlocktally.Claim {
	switch {
	case r.State == RecordDone && r.Kept != nil:
		return hemlocktally.Claim{Verdict: hemlocktally.ClaimDone, Kept: r.Kept}
	case r.State == RecordDone:
		return hemlocktally.Claim{Verdict: hemlocktally.ClaimUnknown, Detail: "an earlier call ran; its answer is no longer kept"}
	default:
		return hemlocktally.Claim{Verdict: hemlocktally.ClaimUnknown, Detail: "an earlier call may have run"}
	}
}

func refused(detail string) hemlocktally.Claim {
	return hemlocktally.Claim{Verdict: hemlocktally.ClaimRefused, Detail: detail, RetryAfter: retryAdvice}
}

func answer(m BeginMsg, claim hemlocktally.Claim) []Cmd {
	return []Cmd{AnswerCmd{Asker: m.Asker, Claim: claim}}
}

// queue keeps a message until the hand-over of its range is settled.
func (s *State) queue(h *held, msg Msg) []Cmd {
	if len(h.queued) >= maxQueued {
		return []Cmd{s.notHolder(msg, h.id)}
	}
	h.queued = append(h.queued, msg)
	return nil
}

// passFence makes a running key unknown once its call must have ended.
func (s *State) passFence(h *held, r *Record, now time.Time) []Cmd {
	if r.State != RecordRunning || now.Before(r.Fence) {
		return nil
	}
	s.step(h, r, eventLose)
	return s.settleWaiters(r)
}

func (s *State) settleWaiters(r *Record) []Cmd {
	var cmds []Cmd
	for _, w := range r.waiters {
		cmds = append(cmds, answer(w, settled(r))...)
	}
	r.waiters = nil
	return cmds
}

// passTime applies fences, and answers those that have waited long enough.
func (s *State) passTime(h *held, now time.Time) []Cmd {
	var cmds []Cmd
	for _, r := range h.running {
		cmds = append(cmds, s.passFence(h, r, now)...)
		var late []BeginMsg
		r.waiters, late = splitLate(r.waiters, now)
		for _, w := range late {
			cmds = append(cmds, answer(w, hemlocktally.Claim{
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
		cmds = append(cmds, AnswerCmd{Asker: m.Asker, Claim: claim, Moved: true})
	}
	h.queued = queued
	return cmds
}

// splitLate parts the waiters that have waited long enough from the others.
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
				if w.Asker == m.Asker {
					r.waiters = append(r.waiters[:i:i], r.waiters[i+1:]...)
					return
				}
			}
		}
	}
}
