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
	claimWaitLimit     = time.Second           // claimWaitLimit bounds the wait for an instance that holds the key's range.
	claimRetryDelay    = 20 * time.Millisecond // claimRetryDelay is the delay before the first retry; it doubles with each.
	claimFinishTimeout = 2 * time.Second
)

// activeClaim is a claim that allowed the call to run. The holder waits for its
// result until finished is set.
type activeClaim struct {
	claim    hemlocktally.Claim
	finished bool
}

// needsClaim reports whether the call may only run under a claim on its
// idempotency key.
func (c *call) needsClaim() bool {
	return c.contract.NonIdempotent && c.idempotencyKey != "" && c.dispatcher.Claimer != nil
}

// serveClaimed asks the instance that holds the key's range for a claim, and runs
// the call only if the verdict allows it.
func (c *call) serveClaimed(ctx context.Context) {
	claim, err := c.beginClaim(ctx)
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
		c.refuse(withRetryAfter(unknownOutcomeError(hemlocktally.ReasonClaimHeld, "another call with this key is still running")))
	case hemlocktally.ClaimDiffers:
		c.refuse(notRunError(hemlocktally.ReasonClaimDiffers, "the key was already used for a different request"))
	case hemlocktally.ClaimRefused:
		c.refuse(withRetryAfter(notRunError(hemlocktally.ReasonClaimNoLease, claim.Detail)))
	default:
		c.refuse(unknownOutcomeError(hemlocktally.ReasonClaimUnknown, claim.Detail))
	}
}

// beginClaim requests the claim. It retries for up to claimWaitLimit while no
// instance holds the key's range, as during a handover; the call does not run
// meanwhile. Each request has a new call ID, because the message that abandons an
// earlier request may still be in flight, and must not release the key of a later
// request that was allowed to run.
func (c *call) beginClaim(ctx context.Context) (hemlocktally.Claim, error) {
	request := hemlocktally.ClaimRequest{
		Call: c.record.Call, Caller: c.record.Caller, Contract: c.contract.Name, Key: c.idempotencyKey,
		Digest: c.digest(), Deadline: c.deadline,
	}
	giveUpAt := time.Now().Add(min(claimWaitLimit, c.contract.EffectiveQueueLimit()))
	for delay := claimRetryDelay; ; delay *= 2 {
		claim, err := c.dispatcher.Claimer.Begin(ctx, request)
		if err != nil || claim.Verdict != hemlocktally.ClaimRefused || time.Now().Add(delay).After(giveUpAt) {
			return claim, err
		}
		select {
		case <-time.After(delay):
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
	return withRetryAfter(notRunError(hemlocktally.ReasonClaimNoLease, err.Error()))
}

func withRetryAfter(refused *hemlocktally.RefusedError) *hemlocktally.RefusedError {
	refused.RetryAfter = claimRetryAfter
	return refused
}

// runClaimed runs the call with the fence of the claim as its latest deadline. It
// reports the result to the holder exactly once, on every path.
func (c *call) runClaimed(ctx context.Context, claim hemlocktally.Claim) {
	c.claim = &activeClaim{claim: claim}
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
	if c.keptResponse != nil {
		// The caller receives the response before the holder is informed.
		_ = c.controller.Flush()
	}
}

func (c *call) claimPending() bool { return c.claim != nil && !c.claim.finished }

// finishClaim reports the outcome to the holder. A call that ended without an
// outcome, as by a panic, is reported as Unknown.
func (c *call) finishClaim() {
	if !c.claimPending() {
		return
	}
	c.claim.finished = true
	result := hemlocktally.ClaimResult{Claim: c.claim.claim, Outcome: c.record.Outcome, Response: c.keptResponse}
	if result.Outcome == "" {
		result.Outcome = hemlocktally.OutcomeUnknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.request.Context()), claimFinishTimeout)
	defer cancel()
	if err := c.dispatcher.Claimer.Finish(ctx, result); err != nil {
		c.dispatcher.Log.Log(logger.EventClaimOutcomeUnreported, logger.Fields{
			"Call": c.record.Call, "Outcome": result.Outcome, "Cause": err.Error(),
		})
	}
}

// replay sends the stored response of an earlier call with the same key.
func (c *call) replay(claim hemlocktally.Claim) {
	if claim.Response == nil {
		c.refuse(unknownOutcomeError(hemlocktally.ReasonClaimUnknown, "an earlier call with this key is done, but its response is no longer stored"))
		return
	}
	c.record.Outcome = hemlocktally.OutcomeDone
	c.record.Status = claim.Response.Status
	c.extendWriteDeadline()
	c.writer.Header().Set(hemlocktally.HeaderReplayed, "true")
	length := int64(len(claim.Response.Body))
	if c.request.Method == http.MethodHead {
		length = -1
	}
	c.writeHeader(claim.Response.Status, claim.Response.Header, length)
	if _, err := c.writer.Write(claim.Response.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		c.callerWriteFailed(err)
	}
}

// digest returns a SHA-256 hash of method, path, query and body. Of a streamed
// body it covers only the buffered beginning and the declared length.
func (c *call) digest() []byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(c.request.Method), []byte(c.request.URL.RequestURI()), c.body.buffered} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	binary.BigEndian.PutUint64(size[:], uint64(c.body.length))
	h.Write(size[:])
	return h.Sum(nil)
}
