package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

const (
	claimRetryAfter    = time.Second
	claimPatience      = time.Second // claimPatience bounds the wait for a holder.
	claimPause         = 20 * time.Millisecond
	claimFinishTimeout = 2 * time.Second
)

// heldClaim is a claim that let the call run and awaits its result.
type heldClaim struct {
	claim    hemlocktally.Claim
	finished bool
}

// claimed reports whether the call runs under a claim on its key.
func (c *call) claimed() bool {
	return c.contract.NonIdempotent && c.key != "" && c.dispatcher.Claimer != nil
}

// serveClaimed asks the holder of the key's range, and runs the call only where
// the holder lets it.
func (c *call) serveClaimed(ctx context.Context) {
	claim, err := c.begin(ctx)
	if err != nil {
		c.refuse(claimError(err))
		return
	}
	switch claim.Verdict {
	case hemlocktally.ClaimRun:
		c.runClaimed(ctx, claim)
	case hemlocktally.ClaimDone:
		c.replay(claim)
	case hemlocktally.ClaimRunning:
		c.refuse(comeBack(unknown(hemlocktally.ReasonClaimHeld, "a call with this key is running")))
	case hemlocktally.ClaimDiffers:
		c.refuse(notRun(hemlocktally.ReasonClaimDiffers, "the key was used for another request"))
	case hemlocktally.ClaimRefused:
		c.refuse(comeBack(notRun(hemlocktally.ReasonClaimNoLease, claim.Detail)))
	default:
		c.refuse(unknown(hemlocktally.ReasonClaimUnknown, claim.Detail))
	}
}

// begin asks for the claim. While no instance holds the key's range, as in a
// hand-over, it asks again for a while; nothing runs meanwhile. Each asking is a
// call of its own to the holder: the word that an earlier one was given up may
// still be on its way, and must not free the key of one that was let run.
func (c *call) begin(ctx context.Context) (hemlocktally.Claim, error) {
	request := hemlocktally.ClaimRequest{
		Call: c.record.Call, Caller: c.record.Caller, Contract: c.contract.Name, Key: c.key,
		Digest: c.digest(), Deadline: c.deadline,
	}
	until := time.Now().Add(min(claimPatience, c.contract.QueueBound()))
	for pause := claimPause; ; pause *= 2 {
		claim, err := c.dispatcher.Claimer.Begin(ctx, request)
		if err != nil || claim.Verdict != hemlocktally.ClaimRefused || time.Now().Add(pause).After(until) {
			return claim, err
		}
		select {
		case <-time.After(pause):
		case <-c.request.Context().Done():
			return claim, nil
		}
		request.Call = newCallID()
	}
}

func claimError(err error) *hemlocktally.RefusedError {
	var refused *hemlocktally.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return comeBack(notRun(hemlocktally.ReasonClaimNoLease, err.Error()))
}

func comeBack(refused *hemlocktally.RefusedError) *hemlocktally.RefusedError {
	refused.RetryAfter = claimRetryAfter
	return refused
}

// runClaimed makes the attempts before the fence and tells the holder what came
// of them, once and on every path.
func (c *call) runClaimed(ctx context.Context, claim hemlocktally.Claim) {
	c.claim = &heldClaim{claim: claim}
	defer c.finishClaim()
	if !claim.Fence.IsZero() {
		c.fence = claim.Fence
		if claim.Fence.Before(c.deadline) {
			c.deadline = claim.Fence
		}
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.run(ctx)
	if c.kept != nil {
		// The caller has its answer before the holder is told.
		_ = c.control.Flush()
	}
}

func (c *call) claimHeld() bool { return c.claim != nil && !c.claim.finished }

// finishClaim tells the holder the outcome. It says Unknown where the call ended
// without one, as in a panic.
func (c *call) finishClaim() {
	if !c.claimHeld() {
		return
	}
	c.claim.finished = true
	result := hemlocktally.ClaimResult{Claim: c.claim.claim, Outcome: c.record.Outcome, Kept: c.kept}
	if result.Outcome == "" {
		result.Outcome = hemlocktally.OutcomeUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), claimFinishTimeout)
	defer cancel()
	if err := c.dispatcher.Claimer.Finish(ctx, result); err != nil {
		c.dispatcher.Log.Log(logger.EventClaimUnfinished, logger.Fields{
			"Call": c.record.Call, "Outcome": result.Outcome, "Cause": err.Error(),
		})
	}
}

// replay passes on the kept answer of an earlier call with the same key.
func (c *call) replay(claim hemlocktally.Claim) {
	if claim.Kept == nil {
		c.refuse(unknown(hemlocktally.ReasonClaimUnknown, "the call is done, but its answer is no longer kept"))
		return
	}
	c.answered = true
	c.record.Outcome = hemlocktally.OutcomeDone
	c.record.Status = claim.Kept.Status
	c.armWrite()
	c.writer.Header().Set(hemlocktally.HeaderReplayed, "true")
	length := int64(len(claim.Kept.Body))
	if c.request.Method == http.MethodHead {
		length = -1
	}
	c.writeHead(claim.Kept.Status, claim.Kept.Header, length)
	if _, err := c.writer.Write(claim.Kept.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.callerFailed(err)
	}
}

// digest covers method, path, query and body. Of a body that is passed on as it
// arrives, it covers the held beginning and the declared length.
func (c *call) digest() []byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(c.request.Method), []byte(c.request.URL.RequestURI()), c.body.held} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	binary.BigEndian.PutUint64(size[:], uint64(c.body.length))
	h.Write(size[:])
	return h.Sum(nil)
}
