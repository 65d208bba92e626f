package dispatcher

import (
	"fmt"
	"net/http"
	"slices"

	"hemlocktally"
)

// Plan decides on the attempts of one call. Update is a pure step from a message
// to commands; the task of the call runs the commands and sends back what came
// of them.
type Plan struct {
	NonIdempotent bool
	Hedge         bool // Hedge allows one more attempt while the first is slow.
	Deep          bool // Deep is set where another balanced call stands above this one.
	MaxAttempts   int

	// Violation names the invariant that was broken, if any.
	Violation string

	tries      []try
	callerGone bool
	answered   bool // answered is set once the call has its one answer.
	fallback   int  // fallback numbers the attempt that brought a server error.
	last       *hemlocktally.RefusedError
}

type tryState int

const (
	tryAsking tryState = iota
	trySending
	tryEnded
)

// try is what the plan knows of one attempt; attempts are numbered from 1.
type try struct {
	kind   hemlocktally.AttemptKind
	state  tryState
	target hemlocktally.TargetName
	again  bool // again allows another attempt on the same target.
	ran    bool // ran is set where the target may have run the call.
}

// Messages to the plan.
type (
	// StartMsg begins the call.
	StartMsg struct{}
	// GrantedMsg says that an attempt has a turn.
	GrantedMsg struct {
		Attempt int
		Target  hemlocktally.TargetName
	}
	// GrantRefusedMsg says that an attempt got no turn.
	GrantRefusedMsg struct {
		Attempt int
		Error   *hemlocktally.RefusedError
	}
	// SlowMsg says that the first attempt has passed the class's moving p95.
	SlowMsg struct{}
	// AnsweredMsg says that an attempt brought an answer.
	AnsweredMsg struct {
		Attempt int
		Status  int
		Whole   bool // Whole is set where all of it is held.
	}
	// FailedMsg says that an attempt ended without an answer.
	FailedMsg struct {
		Attempt   int
		Error     *hemlocktally.RefusedError
		Sent      bool // Sent is set where a byte may have reached the target.
		Declared  bool // Declared is set where the target said that it ran nothing.
		BodySpent bool // BodySpent is set where the body can't be sent again.
	}
	// SilentMsg says that the link of an attempt seems to have lost its other
	// end. The attempt goes on, since its target may just be slow.
	SilentMsg struct{ Attempt int }
	// CallerGoneMsg says that the caller no longer waits.
	CallerGoneMsg struct{}
)

// Commands of the plan.
type (
	// StartAttemptCmd begins an attempt.
	StartAttemptCmd struct {
		Attempt int
		Kind    hemlocktally.AttemptKind
		Exclude []hemlocktally.TargetName
	}
	// ArmHedgeCmd asks for a SlowMsg once the attempt is slow.
	ArmHedgeCmd struct{}
	// CancelAttemptCmd stops an attempt.
	CancelAttemptCmd struct{ Attempt int }
	// AnswerCmd passes the answer of an attempt to the caller.
	AnswerCmd struct{ Attempt int }
	// GiveUpCmd refuses the call.
	GiveUpCmd struct{ Error *hemlocktally.RefusedError }
)

// Update takes one message and returns what is to be done.
func (p *Plan) Update(msg any) []any {
	switch msg := msg.(type) {
	case StartMsg:
		return p.start(hemlocktally.AttemptFirst)
	case GrantedMsg:
		return p.granted(msg)
	case GrantRefusedMsg:
		return p.grantRefused(msg)
	case SlowMsg:
		return p.slow()
	case AnsweredMsg:
		return p.answer(msg)
	case FailedMsg:
		return p.failed(msg)
	case SilentMsg:
		return p.silent(msg)
	case CallerGoneMsg:
		return p.gone()
	default:
		p.Violation = fmt.Sprintf("unknown message %T", msg)
		return nil
	}
}

func (p *Plan) start(kind hemlocktally.AttemptKind) []any {
	if p.NonIdempotent && p.mayHaveRun() {
		p.Violation = "a second attempt of non-idempotent work that may have run"
		return p.giveUp(p.last)
	}
	exclude := p.tried()
	p.tries = append(p.tries, try{kind: kind})
	return []any{StartAttemptCmd{Attempt: len(p.tries), Kind: kind, Exclude: exclude}}
}

// tried lists the targets that must not be tried again.
func (p *Plan) tried() []hemlocktally.TargetName {
	var names []hemlocktally.TargetName
	for _, t := range p.tries {
		if t.target != "" && !t.again && !slices.Contains(names, t.target) {
			names = append(names, t.target)
		}
	}
	return names
}

func (p *Plan) granted(msg GrantedMsg) []any {
	t := &p.tries[msg.Attempt-1]
	t.state = trySending
	t.target = msg.Target
	if p.Hedge && !p.NonIdempotent && !p.Deep && t.kind == hemlocktally.AttemptFirst {
		return []any{ArmHedgeCmd{}}
	}
	return nil
}

func (p *Plan) slow() []any {
	if p.answered || p.callerGone || p.fallback != 0 || len(p.tries) != 1 || p.running() != 1 || len(p.tries) >= p.MaxAttempts {
		return nil
	}
	return p.start(hemlocktally.AttemptHedge)
}

// silent makes another attempt beside one whose link seems to be silent. The
// target itself is not to blame and may be tried again, on another link.
func (p *Plan) silent(msg SilentMsg) []any {
	p.tries[msg.Attempt-1].again = true
	if p.answered || p.callerGone || p.NonIdempotent || p.Deep || p.running() != 1 || len(p.tries) >= p.MaxAttempts {
		return nil
	}
	return p.start(hemlocktally.AttemptRetry)
}

func (p *Plan) answer(msg AnsweredMsg) []any {
	p.tries[msg.Attempt-1].state = tryEnded
	p.tries[msg.Attempt-1].ran = true
	if p.answered {
		return []any{CancelAttemptCmd{Attempt: msg.Attempt}}
	}
	if p.worthAnother(msg) {
		p.fallback = msg.Attempt
		return p.next(true)
	}
	return p.settle(msg.Attempt)
}

// worthAnother reports whether an answer is a server error of idempotent work
// that another target may do better.
func (p *Plan) worthAnother(msg AnsweredMsg) bool {
	return msg.Whole && msg.Status >= http.StatusInternalServerError && !p.NonIdempotent && !p.Deep && !p.callerGone
}

// settle passes the answer of one attempt on and stops the others.
func (p *Plan) settle(attempt int) []any {
	p.markAnswered()
	commands := []any{AnswerCmd{Attempt: attempt}}
	for i := range p.tries {
		if p.tries[i].state != tryEnded {
			commands = append(commands, CancelAttemptCmd{Attempt: i + 1})
		}
	}
	return commands
}

func (p *Plan) failed(msg FailedMsg) []any {
	t := &p.tries[msg.Attempt-1]
	t.state = tryEnded
	t.ran = msg.Sent && !msg.Declared
	p.last = msg.Error
	if p.answered {
		return nil
	}
	return p.next(p.mayRetry(msg))
}

// mayRetry reports whether another attempt is safe and allowed: where the first
// surely did not run, and for idempotent work. A deep call leaves retries of
// what was sent to the call on top, so that they don't multiply.
func (p *Plan) mayRetry(msg FailedMsg) bool {
	reason := msg.Error.Reason
	if reason != hemlocktally.ReasonTargetFailed && reason != hemlocktally.ReasonAnswerBroken {
		return false
	}
	if msg.BodySpent || (p.Deep && msg.Sent) {
		return false
	}
	return !p.NonIdempotent || !msg.Sent || msg.Declared
}

// next goes on after an attempt that brought no answer to pass on.
func (p *Plan) next(mayRetry bool) []any {
	switch {
	case p.running() > 0:
		return nil
	case mayRetry && !p.callerGone && len(p.tries) < p.MaxAttempts:
		return p.start(hemlocktally.AttemptRetry)
	case p.fallback != 0:
		return p.settle(p.fallback)
	default:
		return p.giveUp(p.last)
	}
}

func (p *Plan) grantRefused(msg GrantRefusedMsg) []any {
	p.tries[msg.Attempt-1].state = tryEnded
	if p.last == nil {
		p.last = msg.Error
	}
	if p.answered {
		return nil
	}
	return p.next(false)
}

func (p *Plan) gone() []any {
	p.callerGone = true
	if p.answered {
		return nil
	}
	var commands []any
	for i := range p.tries {
		t := p.tries[i]
		if t.state == tryAsking || (t.state == trySending && !p.NonIdempotent) {
			commands = append(commands, CancelAttemptCmd{Attempt: i + 1})
		}
	}
	if p.running() == 0 {
		return append(commands, p.next(false)...)
	}
	return commands
}

// giveUp refuses the call. It says NotRun only where no attempt may have run.
func (p *Plan) giveUp(cause *hemlocktally.RefusedError) []any {
	p.markAnswered()
	refused := hemlocktally.RefusedError{Reason: hemlocktally.ReasonTargetFailed, Detail: "no attempt was made"}
	if cause != nil {
		refused = *cause
	}
	refused.Outcome = hemlocktally.OutcomeNotRun
	if p.mayHaveRun() {
		refused.Outcome = hemlocktally.OutcomeUnknown
	}
	return []any{GiveUpCmd{Error: &refused}}
}

func (p *Plan) markAnswered() {
	if p.answered {
		p.Violation = "a second answer to one call"
	}
	p.answered = true
}

func (p *Plan) running() int {
	n := 0
	for _, t := range p.tries {
		if t.state != tryEnded {
			n++
		}
	}
	return n
}

func (p *Plan) mayHaveRun() bool {
	return slices.ContainsFunc(p.tries, func(t try) bool { return t.ran || t.state == trySending })
}
