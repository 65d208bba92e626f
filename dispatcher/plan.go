package dispatcher

import (
	"fmt"
	"net/http"
	"slices"

	"hemlocktally"
)

// Plan decides which attempts are made for one call. Update is a pure state
// transition from a message to commands; the call executes the commands and
// reports their results as further messages. Attempts are numbered from 1.
type Plan struct {
	NonIdempotent bool
	Hedge         bool // Hedge allows one more attempt while the first is slow.
	Nested        bool // Nested is set if the call was made while serving another balanced call.
	MaxAttempts   int  // MaxAttempts bounds all attempts, hedges included.

	// Violation describes the invariant that was broken; empty if none was.
	Violation string

	attempts   []attemptState
	callerGone bool
	completed  bool // completed is set once a response or refusal was chosen.
	handedOver bool // handedOver is set once an attempt was added to be handed over.
	fallback   int  // fallback is the attempt that returned a server error; 0 if none.
	lastError  *hemlocktally.RefusedError
}

type attemptPhase int

const (
	phaseAcquiring attemptPhase = iota
	phaseSending
	phaseEnded
)

// attemptState is the state of one attempt.
type attemptState struct {
	kind        hemlocktally.AttemptKind
	phase       attemptPhase
	target      hemlocktally.TargetName
	retryTarget bool // retryTarget allows another attempt on the same target.
	crashed     bool // crashed is set if the target crashed under the call.
	possiblyRun bool // possiblyRun is set if the target may have run the call.
}

// Messages to Plan.Update.
type (
	// StartMsg starts the call. It is the first message.
	StartMsg struct{}
	// GrantedMsg reports that an attempt has a grant on a target.
	GrantedMsg struct {
		Attempt int
		Target  hemlocktally.TargetName
	}
	// HandedOverMsg reports that an attempt is handed over to another instance, which makes its
	// own second attempts.
	HandedOverMsg struct{ Attempt int }
	// GrantRefusedMsg reports that an attempt got no grant, which ends it.
	GrantRefusedMsg struct {
		Attempt int
		Error   *hemlocktally.RefusedError
	}
	// HedgeDueMsg reports that the hedge timer has fired.
	HedgeDueMsg struct{}
	// ResponseMsg reports that an attempt received a response.
	ResponseMsg struct {
		Attempt  int
		Status   int
		Buffered bool // Buffered is set if the complete response is in memory.
		Final    bool // Final is set if another instance has made further attempts already.
	}
	// FailedMsg reports that an attempt ended without a response to forward.
	FailedMsg struct {
		Attempt        int
		Error          *hemlocktally.RefusedError
		Sent           bool // Sent is set if a byte may have reached the target.
		DeclaredNotRun bool // DeclaredNotRun is set if the target stated that it did not run the call.
		BodyConsumed   bool // BodyConsumed is set if the request body can't be sent again.
		Final          bool // Final is set if no further attempt may be made: another instance has made its own.
		// HandOver is set if the next attempt is handed over to another instance.
		HandOver bool
		Crashed  bool // Crashed is set if the target crashed after the call was sent to it.
	}
	// ConnectionSilentMsg reports that the connection of an attempt seems to be
	// dead. The attempt continues, because the target may only be slow.
	ConnectionSilentMsg struct{ Attempt int }
	// CallerGoneMsg reports that the caller has cancelled or disconnected.
	CallerGoneMsg struct{}
)

// Commands returned by Plan.Update.
type (
	// StartAttemptCmd starts an attempt on a target that is not in Exclude.
	StartAttemptCmd struct {
		Attempt int
		Kind    hemlocktally.AttemptKind
		Exclude []hemlocktally.TargetName
		// TargetsLeft is how many targets the attempt may be sent to, if another instance makes it.
		TargetsLeft int
	}
	// StartHedgeTimerCmd asks for a HedgeDueMsg once the first attempt is slow: it
	// has taken longer than the moving p95 of its contract or than a part of the
	// contract's objective.
	StartHedgeTimerCmd struct{}
	// CancelAttemptCmd cancels an attempt.
	CancelAttemptCmd struct{ Attempt int }
	// ForwardResponseCmd sends the response of an attempt to the caller.
	ForwardResponseCmd struct{ Attempt int }
	// RefuseCmd refuses the call.
	RefuseCmd struct{ Error *hemlocktally.RefusedError }
)

// Update processes one message and returns the commands to execute, in order.
func (p *Plan) Update(msg any) []any {
	switch msg := msg.(type) {
	case StartMsg:
		return p.startAttempt(hemlocktally.AttemptFirst)
	case GrantedMsg:
		return p.handleGranted(msg)
	case HandedOverMsg:
		p.attempts[msg.Attempt-1].phase = phaseSending
		return nil
	case GrantRefusedMsg:
		return p.handleGrantRefused(msg)
	case HedgeDueMsg:
		return p.handleHedgeDue()
	case ResponseMsg:
		return p.handleResponse(msg)
	case FailedMsg:
		return p.handleFailed(msg)
	case ConnectionSilentMsg:
		return p.handleConnectionSilent(msg)
	case CallerGoneMsg:
		return p.handleCallerGone()
	default:
		p.Violation = fmt.Sprintf("unknown message %T", msg)
		return nil
	}
}

func (p *Plan) startAttempt(kind hemlocktally.AttemptKind) []any {
	if p.NonIdempotent && p.mayHaveRun() {
		p.Violation = "second attempt at a non-idempotent call that may have run"
		return p.refuse(p.lastError)
	}
	cmd := StartAttemptCmd{Kind: kind, Exclude: p.excludedTargets(), TargetsLeft: p.targetsLeft()}
	p.attempts = append(p.attempts, attemptState{kind: kind})
	cmd.Attempt = len(p.attempts)
	return []any{cmd}
}

// targetsLeft returns how many targets the call may still be sent to, at least one.
func (p *Plan) targetsLeft() int {
	left := p.MaxAttempts
	for _, attempt := range p.attempts {
		if attempt.possiblyRun || attempt.phase == phaseSending {
			left--
		}
	}
	return max(1, left)
}

// excludedTargets returns the targets that must not be tried again.
func (p *Plan) excludedTargets() []hemlocktally.TargetName {
	var names []hemlocktally.TargetName
	for _, attempt := range p.attempts {
		if attempt.target != "" && !attempt.retryTarget && !slices.Contains(names, attempt.target) {
			names = append(names, attempt.target)
		}
	}
	return names
}

func (p *Plan) handleGranted(msg GrantedMsg) []any {
	attempt := &p.attempts[msg.Attempt-1]
	attempt.phase = phaseSending
	attempt.target = msg.Target
	if p.Hedge && !p.NonIdempotent && !p.Nested && attempt.kind == hemlocktally.AttemptFirst {
		return []any{StartHedgeTimerCmd{}}
	}
	return nil
}

func (p *Plan) handleHedgeDue() []any {
	if p.completed || p.callerGone || p.fallback != 0 || len(p.attempts) != 1 || p.activeAttempts() != 1 || len(p.attempts) >= p.MaxAttempts {
		return nil
	}
	return p.startAttempt(hemlocktally.AttemptHedge)
}

// handleConnectionSilent starts another attempt in parallel to one whose
// connection seems dead. The target may be healthy, so it may be tried again on
// another connection.
func (p *Plan) handleConnectionSilent(msg ConnectionSilentMsg) []any {
	p.attempts[msg.Attempt-1].retryTarget = true
	if p.completed || p.callerGone || p.NonIdempotent || p.Nested || p.activeAttempts() != 1 || len(p.attempts) >= p.MaxAttempts {
		return nil
	}
	return p.startAttempt(hemlocktally.AttemptRetry)
}

func (p *Plan) handleResponse(msg ResponseMsg) []any {
	p.attempts[msg.Attempt-1].phase = phaseEnded
	p.attempts[msg.Attempt-1].possiblyRun = true
	if p.completed {
		return []any{CancelAttemptCmd{Attempt: msg.Attempt}}
	}
	if p.shouldRetryResponse(msg) {
		p.fallback = msg.Attempt
		return p.proceed(true)
	}
	return p.forwardResponse(msg.Attempt)
}

// shouldRetryResponse reports whether a response is a server error to an
// idempotent call, which another target may serve without an error.
func (p *Plan) shouldRetryResponse(msg ResponseMsg) bool {
	return !msg.Final && msg.Buffered && msg.Status >= http.StatusInternalServerError && !p.NonIdempotent && !p.Nested && !p.callerGone
}

// forwardResponse forwards the response of one attempt and cancels the others.
func (p *Plan) forwardResponse(attempt int) []any {
	p.markCompleted()
	commands := []any{ForwardResponseCmd{Attempt: attempt}}
	for i := range p.attempts {
		if p.attempts[i].phase != phaseEnded {
			commands = append(commands, CancelAttemptCmd{Attempt: i + 1})
		}
	}
	return commands
}

func (p *Plan) handleFailed(msg FailedMsg) []any {
	attempt := &p.attempts[msg.Attempt-1]
	attempt.phase = phaseEnded
	attempt.possiblyRun = msg.Sent && !msg.DeclaredNotRun
	attempt.crashed = msg.Crashed
	p.lastError = msg.Error
	if p.completed {
		return nil
	}
	if msg.HandOver && !p.handedOver && !p.mayHaveRun() {
		// Targets that could not be reached don't count.
		p.handedOver = true
		p.MaxAttempts = max(p.MaxAttempts, len(p.attempts)+1)
	}
	return p.proceed(p.mayRetry(msg))
}

// mayRetry reports whether another attempt is safe and allowed: the call is
// idempotent or certainly did not run. A nested call leaves the retry of a
// request that was sent to the outermost call, so that retries don't multiply.
func (p *Plan) mayRetry(msg FailedMsg) bool {
	reason := msg.Error.Reason
	if reason != hemlocktally.ReasonTargetFailed && reason != hemlocktally.ReasonAnswerBroken {
		return false
	}
	if msg.Final || msg.BodyConsumed || (p.Nested && msg.Sent) || p.crashes() >= maxCrashes {
		return false
	}
	return !p.NonIdempotent || !msg.Sent || msg.DeclaredNotRun
}

// proceed continues after an attempt that ended without a response to forward.
func (p *Plan) proceed(mayRetry bool) []any {
	switch {
	case p.activeAttempts() > 0:
		return nil
	case mayRetry && !p.callerGone && len(p.attempts) < p.MaxAttempts:
		return p.startAttempt(hemlocktally.AttemptRetry)
	case p.fallback != 0:
		return p.forwardResponse(p.fallback)
	default:
		return p.refuse(p.lastError)
	}
}

func (p *Plan) handleGrantRefused(msg GrantRefusedMsg) []any {
	p.attempts[msg.Attempt-1].phase = phaseEnded
	if p.lastError == nil {
		p.lastError = msg.Error
	}
	if p.completed {
		return nil
	}
	return p.proceed(false)
}

func (p *Plan) handleCallerGone() []any {
	p.callerGone = true
	if p.completed {
		return nil
	}
	var commands []any
	for i := range p.attempts {
		attempt := p.attempts[i]
		if attempt.phase == phaseAcquiring || (attempt.phase == phaseSending && !p.NonIdempotent) {
			commands = append(commands, CancelAttemptCmd{Attempt: i + 1})
		}
	}
	if p.activeAttempts() == 0 {
		return append(commands, p.proceed(false)...)
	}
	return commands
}

// refuse refuses the call. The outcome is NotRun only if no attempt may have run.
func (p *Plan) refuse(cause *hemlocktally.RefusedError) []any {
	p.markCompleted()
	refused := hemlocktally.RefusedError{Reason: hemlocktally.ReasonTargetFailed, Detail: "no attempt was made"}
	if cause != nil {
		refused = *cause
	}
	refused.Outcome = hemlocktally.OutcomeNotRun
	if p.mayHaveRun() {
		refused.Outcome = hemlocktally.OutcomeUnknown
	}
	return []any{RefuseCmd{Error: &refused}}
}

func (p *Plan) markCompleted() {
	if p.completed {
		p.Violation = "second response to one call"
	}
	p.completed = true
}

// maxCrashes is the number of crashed targets after which a call is not tried on another one:
// the call itself is the likely cause.
const maxCrashes = 2

func (p *Plan) crashes() int {
	n := 0
	for _, attempt := range p.attempts {
		if attempt.crashed {
			n++
		}
	}
	return n
}

func (p *Plan) activeAttempts() int {
	n := 0
	for _, attempt := range p.attempts {
		if attempt.phase != phaseEnded {
			n++
		}
	}
	return n
}

func (p *Plan) mayHaveRun() bool {
	return slices.ContainsFunc(p.attempts, func(t attemptState) bool { return t.possiblyRun || t.phase == phaseSending })
}
