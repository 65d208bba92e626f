package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// call is one request of a caller. It executes the commands of its plan, all in
// the goroutine of the HTTP handler.
type call struct {
	dispatcher      *Dispatcher
	config          *hemlocktally.Configuration
	writer          http.ResponseWriter
	controller      *http.ResponseController
	request         *http.Request
	contract        hemlocktally.Contract
	late            bool                  // late is set if the call can't meet its objective any more, counted from its caller's first try.
	customer        hemlocktally.Customer // customer has no name if the call is no customer's.
	idempotencyKey  string
	body            *requestBody
	memory          callMemory
	started         time.Time
	deadline        time.Time
	fence           time.Time // fence is when a claimed call must have ended; zero means no limit.
	depth           int
	record          hemlocktally.CallRecord
	claim           *activeClaim   // claim is nil if the call runs without one.
	forwarded       *forwardedCall // forwarded is set if another instance handed the call over.
	fingerprintOnce sync.Once
	identity        hemlocktally.Fingerprint     // identity is set by fingerprint.
	keptResponse    *hemlocktally.StoredResponse // keptResponse is the complete response, for the claim.
	responseStarted bool                         // responseStarted is set once a response or refusal may have been written.
	countShared     atomic.Bool                  // countShared is set once a further attempt relies on the count of an earlier one against the quota.
	truncated       bool                         // truncated is set if the response could not be forwarded completely.

	plan       Plan
	busyTime   busyTime
	attempts   []*attempt
	messages   chan any // messages receives the reports of the attempts.
	hedgeTimer *time.Timer
}

// messagesPerAttempt is the maximum number of messages of one attempt.
const messagesPerAttempt = 3

// serve runs the call, under a claim if it needs one, and responds.
func (c *call) serve() {
	ctx, cancel := c.callContext()
	defer cancel()
	if c.needsClaim() {
		c.serveClaimed(ctx)
		return
	}
	c.run(ctx)
}

// run drives the plan from StartMsg until the call has been responded to.
func (c *call) run(ctx context.Context) {
	c.plan = Plan{
		NonIdempotent: c.contract.NonIdempotent, Hedge: c.hedgeAllowed(), Nested: c.depth > 0, MaxAttempts: c.attemptLimit(),
	}
	c.messages = make(chan any, (c.contract.AttemptLimit()+1)*messagesPerAttempt)
	defer c.stopAttempts()
	callerGone := c.request.Context().Done()
	var hedgeDue <-chan time.Time
	done := c.handleMessage(ctx, StartMsg{})
	for !done {
		if c.hedgeTimer != nil {
			hedgeDue = c.hedgeTimer.C
		}
		select {
		case msg := <-c.messages:
			done = c.handleMessage(ctx, msg)
		case <-hedgeDue:
			done = c.handleMessage(ctx, HedgeDueMsg{})
		case <-callerGone:
			callerGone = nil
			done = c.handleMessage(ctx, CallerGoneMsg{})
		}
	}
}

// hedgeAllowed reports whether the contract and the body allow a second attempt in
// parallel to the first. A contract with an objective always allows it; the plan
// never hedges a non-idempotent call.
func (c *call) hedgeAllowed() bool {
	contractHedges := c.contract.Hedge && c.contract.Priority >= hemlocktally.PriorityHigh
	return (contractHedges || c.contract.Objective > 0) && !c.body.streamed()
}

// handleMessage records a message, passes it to the plan and executes the
// commands. It returns true once the call has been responded to.
func (c *call) handleMessage(ctx context.Context, msg any) bool {
	c.recordMessage(msg)
	done := false
	for _, command := range c.plan.Update(planMessage(msg)) {
		switch command := command.(type) {
		case StartAttemptCmd:
			c.startAttempt(ctx, command)
		case StartHedgeTimerCmd:
			c.startHedgeTimer()
		case CancelAttemptCmd:
			c.attempts[command.Attempt-1].cancel(errAttemptCancelled)
		case ForwardResponseCmd:
			c.forwardResponse(c.attempts[command.Attempt-1])
			done = true
		case RefuseCmd:
			c.refuseAndFinishClaim(command.Error)
			done = true
		}
	}
	if c.plan.Violation != "" {
		c.dispatcher.reportViolation(c.record.Call, c.plan.Violation)
	}
	return done
}

// hedgeObjectiveFraction is the fraction of the objective after which an
// idempotent call without a response gets a second attempt, if a target could
// still respond in time.
const hedgeObjectiveFraction = 0.5

func (c *call) startHedgeTimer() {
	if c.contract.Objective > 0 {
		if delay, ok := c.earlyHedgeDelay(time.Now()); ok {
			c.hedgeTimer = time.NewTimer(delay)
			return
		}
		delay := c.started.Add(time.Duration(hedgeObjectiveFraction * float64(c.contract.Objective)))
		c.hedgeTimer = time.NewTimer(max(0, time.Until(delay)))
		return
	}
	if delay, ok := c.dispatcher.latencies.percentile95(c.contract.Name, time.Now()); ok {
		c.hedgeTimer = time.NewTimer(delay)
	}
}

// Factors of a contract's median latency for the second attempt of a call.
const (
	// earlyHedgeReserve is the multiple that must be left before the objective: the second
	// attempt takes its own work, on a target that may be full, and the choice of the target.
	earlyHedgeReserve = 2.0
	// minHedgeWork is the multiple that the first attempt gets at least. A call that has waited
	// for its target would otherwise get a second attempt while the first one is on time.
	minHedgeWork = 1.3
)

// earlyHedgeDelay returns when the call gets a second attempt in a configuration that weighs
// the zones, counted from now, when its first one has got a target. Half of the objective is
// too late where the objective is less than about three times the work. It reports false if the
// constant applies.
func (c *call) earlyHedgeDelay(now time.Time) (time.Duration, bool) {
	if !c.dispatcher.EarlyHedges || !c.config.WeighsZones() {
		return 0, false
	}
	median, ok := c.dispatcher.latencies.median(c.contract.Name, now)
	if !ok {
		return 0, false
	}
	return hedgeDelay(c.contract.Objective, now.Sub(c.started), median), true
}

// hedgeDelay returns the time from the grant of the first attempt to the second one. waited is
// the time from the start of the call to that grant.
func hedgeDelay(objective, waited, median time.Duration) time.Duration {
	latest := time.Duration(hedgeObjectiveFraction * float64(objective))
	inTime := objective - time.Duration(earlyHedgeReserve*float64(median))
	return max(min(latest, inTime)-waited, time.Duration(minHedgeWork*float64(median)))
}

func (c *call) startAttempt(ctx context.Context, command StartAttemptCmd) {
	ctx, cancel := context.WithCancelCause(ctx)
	counted := command.Kind != hemlocktally.AttemptFirst && c.plan.mayHaveRun()
	if counted {
		c.countShared.Store(true)
	}
	a := &attempt{call: c, counted: counted, number: command.Attempt, kind: command.Kind, exclude: command.Exclude, targetsLeft: command.TargetsLeft, cancel: cancel, started: time.Now()}
	c.attempts = append(c.attempts, a)
	c.record.Attempts = append(c.record.Attempts, hemlocktally.AttemptRecord{
		Kind: command.Kind, Started: a.started.Sub(c.started), Outcome: hemlocktally.AttemptCancelled,
	})
	go a.runContained(ctx)
}

// stopAttempts cancels all attempts, which then release their grants.
func (c *call) stopAttempts() {
	if c.hedgeTimer != nil {
		c.hedgeTimer.Stop()
	}
	for _, a := range c.attempts {
		a.cancel(errAttemptCancelled)
	}
}

// refuseAndFinishClaim refuses a call whose attempts all failed, and finishes its
// claim before that.
func (c *call) refuseAndFinishClaim(refused *hemlocktally.RefusedError) {
	c.record.Outcome = refused.Outcome
	c.record.Reason = refused.Reason
	c.record.Detail = refused.Detail
	if c.claimPending() {
		c.finishClaim()
	}
	c.refuse(refused)
}

// refuse responds with a refusal. If a response has already been started, the
// call is marked as truncated.
func (c *call) refuse(refused *hemlocktally.RefusedError) {
	c.record.Outcome = refused.Outcome
	c.record.Reason = refused.Reason
	c.record.Detail = refused.Detail
	if c.responseStarted {
		c.truncated = true
		return
	}
	c.responseStarted = true
	if refused.RetryAfter == 0 {
		refused.RetryAfter = retryAfterFor(refused)
	}
	c.extendWriteDeadline()
	c.writeForwardedRefusal(refused)
	c.record.Status = c.dispatcher.writeRefusal(c.writer, refused, hemlocktally.Refusal{
		Outcome: refused.Outcome, Reason: refused.Reason, Detail: refused.Detail,
		Instance: c.dispatcher.InstanceID, Revision: c.config.Revision,
	}, c.record.Call)
}

func notRunError(reason hemlocktally.Reason, detail string) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail}
}

func unknownOutcomeError(reason hemlocktally.Reason, detail string) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeUnknown, Reason: reason, Detail: detail}
}
