package allocator

import (
	"context"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// Owner is the task that holds the State of one service.
type Owner struct {
	Started time.Time

	inbox    chan any
	done     chan struct{}
	cancel   context.CancelFunc
	effects  *effects
	standing atomic.Pointer[StandingMsg]
	board    atomic.Pointer[board]
	rank     atomic.Pointer[rank]
}

// rank tells whether a view names this instance as the owner.
type rank struct {
	view uint64
	mine bool
}

// mine reports whether the view names the instance as the owner of the service.
// It is worked out once a view, because there are many owners.
func (o *Owner) mine(name hemlocktally.ServiceName, self hemlocktally.InstanceID, view ranking) bool {
	if known := o.rank.Load(); known != nil && known.view == view.hash {
		return known.mine
	}
	owner, _ := OwnerOf(name, view.serving)
	o.rank.Store(&rank{view: view.hash, mine: owner.ID == self})
	return owner.ID == self
}

// ranking is a view with what owners are worked out from.
type ranking struct {
	hemlocktally.View
	hash    uint64
	serving []hemlocktally.Instance
}

func rankingOf(view hemlocktally.View) ranking {
	return ranking{View: view, hash: HashView(view), serving: view.Serving()}
}

// board is what an owner shows to its instance without being asked.
type board struct {
	version  uint64
	warm     []hemlocktally.TargetName
	unheard  []hemlocktally.TargetName
	needs    bool // needs is set while a target is cold, so that the standing counts.
	inFlight int
	askedAt  time.Time // askedAt is the time of the last request.
}

// effects is what the commands of all owners of an instance act on.
type effects struct {
	log      logger.Logger
	measurer hemlocktally.Measurer
	broken   atomic.Uint64
	changed  chan struct{} // changed wakes the server after a change of a target's state.
}

// wake makes the server look at its owners at once.
func (e *effects) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

type answer struct {
	grant hemlocktally.Grant
	err   error
}

type acquireCall struct {
	request hemlocktally.GrantRequest
	from    hemlocktally.InstanceID
	answer  chan answer
	ticket  chan uint64
}

type statusCall struct {
	answer chan ownerStatus
}

type ownerStatus struct {
	targets []hemlocktally.TargetStatus
	budget  hemlocktally.BudgetStatus
}

const ownerInbox = 1024

// startOwner starts the task; it ends with the context.
func startOwner(ctx context.Context, state *State, effects *effects) *Owner {
	ctx, cancel := context.WithCancel(ctx)
	o := &Owner{
		Started: time.Now(), inbox: make(chan any, ownerInbox), done: make(chan struct{}), cancel: cancel, effects: effects,
	}
	o.board.Store(&board{askedAt: o.Started})
	go o.run(ctx, state)
	return o
}

// Send hands the task a message; it returns false once the task has ended.
func (o *Owner) Send(ctx context.Context, msg any) bool {
	select {
	case o.inbox <- msg:
		return true
	case <-o.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Acquire waits for a turn.
func (o *Owner) Acquire(ctx context.Context, from hemlocktally.InstanceID, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	call := acquireCall{request: request, from: from, answer: make(chan answer, 1), ticket: make(chan uint64, 1)}
	if !o.Send(ctx, call) {
		return hemlocktally.Grant{}, leaving()
	}
	select {
	case a := <-call.answer:
		return a.grant, a.err
	case <-o.done:
		return hemlocktally.Grant{}, leaving()
	case <-ctx.Done():
		return o.withdraw(ctx, call)
	}
}

// withdraw gives up a waiting request. A turn that was granted meanwhile is
// given back at once.
func (o *Owner) withdraw(ctx context.Context, call acquireCall) (hemlocktally.Grant, error) {
	background := context.WithoutCancel(ctx)
	select {
	case ticket := <-call.ticket:
		o.Send(background, withdrawal{ticket: ticket, answer: call.answer})
	case <-o.done:
	}
	return hemlocktally.Grant{}, ctx.Err()
}

// withdrawal cancels a ticket, or gives back the turn that it got.
type withdrawal struct {
	ticket uint64
	answer chan answer
}

func leaving() error {
	return &hemlocktally.RefusedError{
		Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonLeaving, Detail: "the owner is stopping",
	}
}

// ownerRun is the state of the task itself.
type ownerRun struct {
	*Owner
	state   *State
	waiting map[uint64]chan answer
	last    uint64
	stands  StandingMsg
	askedAt time.Time
	version uint64
}

func (o *Owner) run(ctx context.Context, state *State) {
	defer close(o.done)
	r := &ownerRun{Owner: o, state: state, waiting: map[uint64]chan answer{}, askedAt: o.Started}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var msg any
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			msg = TickMsg{}
		case msg = <-o.inbox:
		}
		r.step(ctx, msg, time.Now())
		wake := time.Hour
		if at := state.wake(); !at.IsZero() {
			wake = max(0, time.Until(at))
		}
		timer.Reset(wake)
	}
}

func (r *ownerRun) step(ctx context.Context, msg any, now time.Time) {
	switch call := msg.(type) {
	case acquireCall:
		r.last++
		r.askedAt = now
		r.waiting[r.last] = call.answer
		call.ticket <- r.last
		msg = AcquireMsg{Ticket: r.last, Request: call.request, From: call.from}
	case withdrawal:
		delete(r.waiting, call.ticket)
		msg = call.message()
	case statusCall:
		call.answer <- ownerStatus{targets: r.state.statuses(now), budget: r.state.budgetStatuses()}
		return
	}
	if standing := r.standing.Load(); standing != nil && *standing != r.stands {
		r.stands = *standing
		r.act(ctx, r.state.Update(r.stands, now))
	}
	r.act(ctx, r.state.Update(msg, now))
	r.show()
}

func (w withdrawal) message() any {
	select {
	case a := <-w.answer:
		if a.err == nil {
			return ResultMsg{Grant: a.grant.ID, Target: a.grant.Target.Name, Outcome: hemlocktally.AttemptUnused}
		}
	default:
	}
	return CancelMsg{Ticket: w.ticket}
}

// show renews the board where something on it changed.
func (r *ownerRun) show() {
	present := r.board.Load()
	needs := r.state.needsStanding()
	if present.version == r.version && present.needs == needs && r.askedAt.Sub(present.askedAt) < time.Second {
		return
	}
	inFlight := 0
	for _, t := range r.state.targets {
		inFlight += len(t.inFlight)
	}
	r.board.Store(&board{version: r.version, warm: r.state.warmTargets(), unheard: r.state.unheardTargets(), needs: needs, inFlight: inFlight, askedAt: r.askedAt})
	r.effects.wake()
}

func (r *ownerRun) act(ctx context.Context, commands []Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			r.deliver(command.Ticket, answer{grant: command.Grant})
		case RefuseCmd:
			r.deliver(command.Ticket, answer{err: command.Error})
		case ProbeCmd:
			go r.probe(ctx, command)
		case StateCmd:
			r.version++
			r.effects.log.Log(logger.EventTargetState, logger.Fields{
				"Service": r.state.Service, "Target": command.Target, "State": command.State, "Reason": command.Reason,
			})
		case BrokenCmd:
			r.effects.broken.Add(1)
			r.effects.log.Log(logger.EventInvariantBroken, logger.Fields{
				"Service": r.state.Service, "Invariant": command.Invariant, "Detail": command.Detail,
			})
		}
	}
}

func (r *ownerRun) deliver(ticket uint64, a answer) {
	if waiting, ok := r.waiting[ticket]; ok {
		waiting <- a
		delete(r.waiting, ticket)
	}
}

// probe measures a target beside the task; its number is bounded by the budget.
func (o *Owner) probe(ctx context.Context, command ProbeCmd) {
	m := hemlocktally.Measurement{Failed: true}
	if o.effects.measurer != nil {
		m = o.effects.measurer.Measure(ctx, command.Target, command.Path)
	}
	o.Send(ctx, ProbeMsg{
		Target: command.Target.Name, Latency: m.Latency, Failed: m.Failed, State: m.State,
		InFlight: m.InFlight, Reported: m.Reported,
	})
}

// status asks the task for what it knows.
func (o *Owner) status(ctx context.Context) ownerStatus {
	call := statusCall{answer: make(chan ownerStatus, 1)}
	if !o.Send(ctx, call) {
		return ownerStatus{}
	}
	select {
	case s := <-call.answer:
		return s
	case <-o.done:
		return ownerStatus{}
	case <-ctx.Done():
		return ownerStatus{}
	}
}
