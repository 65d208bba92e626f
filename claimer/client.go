package claimer

import (
	"context"
	"errors"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// Client sends claims to the holder of the key's range on behalf of an instance
// that received a call. It implements hemlocktally.Claimer.
type Client struct {
	Server *Server // Server provides the table, and is called directly for the ranges it holds.
}

const (
	holderWait     = 400 * time.Millisecond // holderWait is how long a holder may wait for a running call before it answers.
	requestTimeout = 250 * time.Millisecond // requestTimeout is how long the answer may take beyond holderWait.
	retryPause     = 10 * time.Millisecond
	maxFailures    = 2 // maxFailures is the number of failed requests after which Begin gives up.
	maxMoves       = 32
	finishTimeout  = 2 * time.Second
	beginReserve   = 20 * time.Millisecond // beginReserve is the part of the deadline that is left for answering the caller.
)

// errNoHolder is returned when the range has no holder, or the holder is not among
// the members.
var errNoHolder = errors.New("no instance holds the key's range")

// Begin claims the key. If an answer is lost, it repeats the request with the same
// call ID: the holder gives the same call the same verdict, and the caller of Begin
// starts its attempt once, after Begin has returned ClaimRun. A call that is
// abandoned here never runs. The error is always nil: a failure to reach the
// holder is returned as a claim with the verdict ClaimRefused.
func (c *Client) Begin(ctx context.Context, request hemlocktally.ClaimRequest) (hemlocktally.Claim, error) {
	holder := hemlocktally.InstanceID("")
	failures, moves := 0, 0
	giveUpAt := request.Deadline.Add(-beginReserve)
	last := refused("the key could not be claimed; retry with the same key")
	for failures < maxFailures && moves < maxMoves && ctx.Err() == nil && time.Now().Before(giveUpAt) {
		if holder == "" {
			holder = c.Server.Table().Assignments[RangeOf(KeyOf(request))].Holder
		}
		previousHolder := holder
		out, err := c.sendBegin(ctx, holder, request)
		holder = ""
		switch {
		case err != nil:
			failures++
			last = refused(err.Error() + "; retry with the same key")
			pause(ctx, retryPause)
		case out.Moved:
			moves++
			holder, last = out.Claim.Holder, out.Claim
			if holder == previousHolder || moves > 1 {
				// The old and the new holder redirect to each other until both have the new table.
				pause(ctx, retryPause)
			}
		case out.Claim.Verdict == hemlocktally.ClaimRunning:
			last = out.Claim
		default:
			return c.checkFence(out.Claim), nil
		}
	}
	if last.Verdict == hemlocktally.ClaimRefused {
		c.abandon(ctx, request)
	}
	last.Request = request
	return last, nil
}

// checkFence turns a permission to run into a refusal if its fence has passed.
func (c *Client) checkFence(claim hemlocktally.Claim) hemlocktally.Claim {
	if claim.Verdict != hemlocktally.ClaimRun || time.Now().Before(claim.Fence) {
		return claim
	}
	late := refused("the permission to run came after its fence; retry with the same key")
	late.Request = claim.Request
	return late
}

// abandon tells the holder that the call never runs, so that the key becomes free.
func (c *Client) abandon(ctx context.Context, request hemlocktally.ClaimRequest) {
	go func() {
		_ = c.Finish(context.WithoutCancel(ctx), hemlocktally.ClaimResult{
			Claim: hemlocktally.Claim{Request: request}, Outcome: hemlocktally.OutcomeNotRun,
		})
	}()
}

func (c *Client) sendBegin(ctx context.Context, holder hemlocktally.InstanceID, request hemlocktally.ClaimRequest) (AnswerCmd, error) {
	sent := time.Now()
	wait := min(holderWait, request.Deadline.Sub(sent))
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	if holder == c.Server.Self.ID {
		return c.Server.beginLocal(ctx, request, sent.Add(wait))
	}
	peer, err := c.peer(holder)
	if err != nil {
		return AnswerCmd{}, err
	}
	out, err := peer.Begin(ctx, &messenger.BeginRequest{
		Caller: string(request.Caller), Contract: string(request.Contract), Key: request.Key, Digest: request.Digest,
		Call: string(request.Call), Instance: string(c.Server.Self.ID),
		WaitMicroseconds: wait.Microseconds(), DeadlineMicroseconds: request.Deadline.Sub(sent).Microseconds(),
	})
	if err != nil {
		return AnswerCmd{}, err
	}
	return AnswerCmd{Moved: out.Moved, Claim: hemlocktally.Claim{
		Request: request, Verdict: hemlocktally.ClaimVerdict(out.Verdict), Detail: out.Detail, Epoch: out.Epoch,
		// The fence is counted from when the request was sent, so that it passes here
		// before it passes at the holder.
		Fence: sent.Add(messenger.Duration(out.FenceMicroseconds)), Holder: hemlocktally.InstanceID(out.Holder),
		Response: decodeAnswer(out.Kept), RetryAfter: messenger.Duration(out.RetryAfterMicroseconds),
	}}, nil
}

func (c *Client) peer(holder hemlocktally.InstanceID) (messenger.Claims, error) {
	if holder == "" {
		return nil, errNoHolder
	}
	member, ok := c.Server.Members.View().Find(holder)
	if !ok {
		return nil, errNoHolder
	}
	return c.Server.peer(member.PeerAddress), nil
}

// Finish reports the call's outcome to the present holder of the range. It retries
// until the holder has answered or finishTimeout is over; then it returns an error.
func (c *Client) Finish(ctx context.Context, result hemlocktally.ClaimResult) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	holder := hemlocktally.InstanceID("")
	for {
		if holder == "" {
			holder = c.Server.Table().Assignments[RangeOf(KeyOf(result.Claim.Request))].Holder
		}
		out, err := c.sendFinish(ctx, holder, result)
		if err == nil && !out.Moved {
			return nil
		}
		holder = out.Holder
		pause(ctx, retryPause)
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
	}
}

func (c *Client) sendFinish(ctx context.Context, holder hemlocktally.InstanceID, result hemlocktally.ClaimResult) (RecordedCmd, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request := result.Claim.Request
	if holder == c.Server.Self.ID {
		return c.Server.finishLocal(ctx, FinishMsg{
			Call: request.Call, Key: KeyOf(request), Digest: request.Digest, Outcome: result.Outcome, Kept: result.Response,
		})
	}
	peer, err := c.peer(holder)
	if err != nil {
		return RecordedCmd{}, err
	}
	out, err := peer.Finish(ctx, &messenger.FinishRequest{
		Caller: string(request.Caller), Contract: string(request.Contract), Key: request.Key, Call: string(request.Call),
		Epoch: result.Claim.Epoch, Outcome: string(result.Outcome), Kept: encodeAnswer(result.Response), Digest: request.Digest,
	})
	if err != nil {
		return RecordedCmd{}, err
	}
	return RecordedCmd{Recorded: out.Recorded, Moved: out.Moved, Holder: hemlocktally.InstanceID(out.Holder)}, nil
}
