package claimer

import (
	"context"
	"errors"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// Client asks the holder of a key's range on behalf of one entry. It implements
// hemlocktally.Claimer.
type Client struct {
	Server *Server // Server knows the table, and is asked directly for its own ranges.
}

const (
	askWait      = 400 * time.Millisecond // askWait is how long a holder may wait for a running call before it answers.
	askTimeout   = 250 * time.Millisecond // askTimeout is how long the answer may take beyond that.
	askPause     = 10 * time.Millisecond
	maxFailures  = 2 // maxFailures is how many askings in a row may fail.
	maxMoves     = 32
	finishTime   = 2 * time.Second
	beginReserve = 20 * time.Millisecond // beginReserve of the deadline is left to answer the caller.
)

// errNoHolder says that the range's holder is not known or not reachable.
var errNoHolder = errors.New("no instance holds the key's range")

// Begin claims the key. It asks again under the same call where an answer was
// lost: the holder gives the same call the same word, and the caller of Begin
// starts its attempt once, after Begin has returned ClaimRun. A call that is
// given up here never runs.
func (c *Client) Begin(ctx context.Context, request hemlocktally.ClaimRequest) (hemlocktally.Claim, error) {
	holder := hemlocktally.InstanceID("")
	failures, moves := 0, 0
	until := request.Deadline.Add(-beginReserve)
	last := refused("the key could not be claimed; retry with the same key")
	for failures < maxFailures && moves < maxMoves && ctx.Err() == nil && time.Now().Before(until) {
		if holder == "" {
			holder = c.Server.Table().Assignments[RangeOf(KeyOf(request))].Holder
		}
		asked := holder
		out, err := c.ask(ctx, holder, request)
		holder = ""
		switch {
		case err != nil:
			failures++
			last = refused(err.Error() + "; retry with the same key")
			pause(ctx, askPause)
		case out.Moved:
			moves++
			holder, last = out.Claim.Holder, out.Claim
			if holder == asked || moves > 1 {
				// Old and new holder point at each other until both have the table.
				pause(ctx, askPause)
			}
		case out.Claim.Verdict == hemlocktally.ClaimRunning:
			last = out.Claim
		default:
			return c.checked(out.Claim), nil
		}
	}
	if last.Verdict == hemlocktally.ClaimRefused {
		c.giveUp(ctx, request)
	}
	last.Request = request
	return last, nil
}

// checked uses no permission after its fence.
func (c *Client) checked(claim hemlocktally.Claim) hemlocktally.Claim {
	if claim.Verdict != hemlocktally.ClaimRun || time.Now().Before(claim.Fence) {
		return claim
	}
	late := refused("the permission to run came after its fence; retry with the same key")
	late.Request = claim.Request
	return late
}

// giveUp tells the holder that the call never runs, so that its key is free.
func (c *Client) giveUp(ctx context.Context, request hemlocktally.ClaimRequest) {
	go func() {
		_ = c.Finish(context.WithoutCancel(ctx), hemlocktally.ClaimResult{
			Claim: hemlocktally.Claim{Request: request}, Outcome: hemlocktally.OutcomeNotRun,
		})
	}()
}

func (c *Client) ask(ctx context.Context, holder hemlocktally.InstanceID, request hemlocktally.ClaimRequest) (AnswerCmd, error) {
	sent := time.Now()
	wait := min(askWait, request.Deadline.Sub(sent))
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	if holder == c.Server.Self.ID {
		return c.Server.beginHere(ctx, request, sent.Add(wait))
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
		// The fence counts from when the request was sent, so that it is over here first.
		Fence: sent.Add(microseconds(out.FenceMicroseconds)), Holder: hemlocktally.InstanceID(out.Holder),
		Kept: keptOf(out.Kept), RetryAfter: microseconds(out.RetryAfterMicroseconds),
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

// Finish tells the present holder of the range what came of the call. It asks
// again until the holder has answered or a time of seconds is over.
func (c *Client) Finish(ctx context.Context, result hemlocktally.ClaimResult) error {
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	holder := hemlocktally.InstanceID("")
	for {
		if holder == "" {
			holder = c.Server.Table().Assignments[RangeOf(KeyOf(result.Claim.Request))].Holder
		}
		out, err := c.tell(ctx, holder, result)
		if err == nil && !out.Moved {
			return nil
		}
		holder = out.Holder
		pause(ctx, askPause)
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
	}
}

func (c *Client) tell(ctx context.Context, holder hemlocktally.InstanceID, result hemlocktally.ClaimResult) (RecordedCmd, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := result.Claim.Request
	if holder == c.Server.Self.ID {
		return c.Server.finishHere(ctx, FinishMsg{
			Call: request.Call, Key: KeyOf(request), Digest: request.Digest, Outcome: result.Outcome, Kept: result.Kept,
		})
	}
	peer, err := c.peer(holder)
	if err != nil {
		return RecordedCmd{}, err
	}
	out, err := peer.Finish(ctx, &messenger.FinishRequest{
		Caller: string(request.Caller), Contract: string(request.Contract), Key: request.Key, Call: string(request.Call),
		Epoch: result.Claim.Epoch, Outcome: string(result.Outcome), Kept: wireAnswer(result.Kept), Digest: request.Digest,
	})
	if err != nil {
		return RecordedCmd{}, err
	}
	return RecordedCmd{Recorded: out.Recorded, Moved: out.Moved, Holder: hemlocktally.InstanceID(out.Holder)}, nil
}
