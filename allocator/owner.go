package allocator

import (
	"context"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// Owner is the task that owns the State of one service. Its methods are safe
// for concurrent use.
type Owner struct {
	Started time.Time

	inbox       chan any
	done        chan struct{}
	cancel      context.CancelFunc
	environment *environment
	exclusivity atomic.Pointer[ExclusivityMsg]
	summary     atomic.Pointer[summary]
	ownership   atomic.Pointer[ownership]
}

// ownership caches whether a view makes this instance the owner.
type ownership struct {
	viewHash uint64
	owned    bool
}

// ownsService reports whether the view makes the instance the owner of the
// service. The result is cached for the view, because there are many owners.
func (o *Owner) ownsService(name hemlocktally.ServiceName, self hemlocktally.InstanceID, view ownerView) bool {
	if known := o.ownership.Load(); known != nil && known.viewHash == view.viewHash {
		return known.owned
	}
	owner, _ := OwnerOf(name, view.serving)
	o.ownership.Store(&ownership{viewHash: view.viewHash, owned: owner.ID == self})
	return owner.ID == self
}

// ownerView is a view with its hash and its serving members, from which owners
// are computed.
type ownerView struct {
	hemlocktally.View
	viewHash uint64
	serving  []hemlocktally.Instance
}

func newOwnerView(view hemlocktally.View) ownerView {
	return ownerView{View: view, viewHash: HashView(view), serving: view.Serving()}
}

// summary is what an owner publishes to the server of its instance, which reads
// it without a message to the task.
type summary struct {
	version          uint64
	warm             []hemlocktally.TargetName
	unobserved       []hemlocktally.TargetName
	needsExclusivity bool // needsExclusivity is set while a target in service is not warm.
	inFlight         int
	lastRequestAt    time.Time // lastRequestAt is the time of the last request, or the start of the task.
}

// environment holds what the owners of an instance share to execute commands.
type environment struct {
	log              logger.Logger
	measurer         hemlocktally.Prober
	brokenInvariants atomic.Uint64
	stateChanged     chan struct{} // stateChanged wakes the server's Run loop.
}

// wakeServer makes the server check its owners at once. It does not block.
func (e *environment) wakeServer() {
	select {
	case e.stateChanged <- struct{}{}:
	default:
	}
}

type reply struct {
	grant hemlocktally.Grant
	err   error
}

type acquireCall struct {
	request   hemlocktally.GrantRequest
	requester hemlocktally.InstanceID
	reply     chan reply
	ticket    chan uint64
}

type statusCall struct {
	reply chan ownerStatus
}

type ownerStatus struct {
	targets []hemlocktally.TargetStatus
	budget  hemlocktally.BudgetStatus
}

const inboxSize = 1024

// startOwner starts the task, which takes over the state. It ends with the
// context.
func startOwner(ctx context.Context, state *State, environment *environment) *Owner {
	ctx, cancel := context.WithCancel(ctx)
	o := &Owner{
		Started: time.Now(), inbox: make(chan any, inboxSize), done: make(chan struct{}), cancel: cancel, environment: environment,
	}
	o.summary.Store(&summary{lastRequestAt: o.Started})
	go o.run(ctx, state)
	return o
}

// Send sends the task a message. It waits while the inbox is full, and returns
// false if the task or the context ends first.
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

// Acquire waits for a grant. The error is a *hemlocktally.RefusedError, or the
// context's error if the context ends first.
func (o *Owner) Acquire(ctx context.Context, requester hemlocktally.InstanceID, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	call := acquireCall{request: request, requester: requester, reply: make(chan reply, 1), ticket: make(chan uint64, 1)}
	if !o.Send(ctx, call) {
		return hemlocktally.Grant{}, stoppingError()
	}
	select {
	case a := <-call.reply:
		return a.grant, a.err
	case <-o.done:
		return hemlocktally.Grant{}, stoppingError()
	case <-ctx.Done():
		return o.cancelAcquire(ctx, call)
	}
}

// cancelAcquire cancels a waiting request. A grant that was issued meanwhile is
// returned at once.
func (o *Owner) cancelAcquire(ctx context.Context, call acquireCall) (hemlocktally.Grant, error) {
	background := context.WithoutCancel(ctx)
	select {
	case ticket := <-call.ticket:
		o.Send(background, acquireCancellation{ticket: ticket, reply: call.reply})
	case <-o.done:
	}
	return hemlocktally.Grant{}, ctx.Err()
}

// acquireCancellation cancels a ticket, or returns the grant that it got.
type acquireCancellation struct {
	ticket uint64
	reply  chan reply
}

func stoppingError() error {
	return &hemlocktally.RefusedError{
		Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonLeaving, Detail: "the owner is stopping",
	}
}

// ownerLoop holds the data that only the task's goroutine uses.
type ownerLoop struct {
	*Owner
	state           *State
	waiting         map[uint64]chan reply
	lastTicket      uint64
	exclusivitySeen ExclusivityMsg
	lastRequestAt   time.Time
	stateVersion    uint64
}

func (o *Owner) run(ctx context.Context, state *State) {
	defer close(o.done)
	r := &ownerLoop{Owner: o, state: state, waiting: map[uint64]chan reply{}, lastRequestAt: o.Started}
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
		if at := state.nextWakeup(); !at.IsZero() {
			wake = max(0, time.Until(at))
		}
		timer.Reset(wake)
	}
}

func (r *ownerLoop) step(ctx context.Context, msg any, now time.Time) {
	switch call := msg.(type) {
	case acquireCall:
		r.lastTicket++
		r.lastRequestAt = now
		r.waiting[r.lastTicket] = call.reply
		call.ticket <- r.lastTicket
		msg = AcquireMsg{Ticket: r.lastTicket, Request: call.request, Requester: call.requester}
	case acquireCancellation:
		delete(r.waiting, call.ticket)
		msg = call.toMessage()
	case statusCall:
		call.reply <- ownerStatus{targets: r.state.statuses(now), budget: r.state.budgetStatuses()}
		return
	}
	if exclusivity := r.exclusivity.Load(); exclusivity != nil && *exclusivity != r.exclusivitySeen {
		r.exclusivitySeen = *exclusivity
		r.execute(ctx, r.state.Update(r.exclusivitySeen, now))
	}
	r.execute(ctx, r.state.Update(msg, now))
	r.publishSummary()
}

func (w acquireCancellation) toMessage() any {
	select {
	case a := <-w.reply:
		if a.err == nil {
			return ResultMsg{Grant: a.grant.ID, Target: a.grant.Target.Name, Outcome: hemlocktally.AttemptUnused}
		}
	default:
	}
	return CancelMsg{Ticket: w.ticket}
}

// publishSummary publishes a new summary if a target's state or the need for
// exclusivity changed, or if the last request is a second or more newer.
func (r *ownerLoop) publishSummary() {
	published := r.summary.Load()
	needsExclusivity := r.state.needsExclusivity()
	if published.version == r.stateVersion && published.needsExclusivity == needsExclusivity && r.lastRequestAt.Sub(published.lastRequestAt) < time.Second {
		return
	}
	inFlight := 0
	for _, t := range r.state.targets {
		inFlight += len(t.inFlight)
	}
	r.summary.Store(&summary{version: r.stateVersion, warm: r.state.warmTargets(), unobserved: r.state.unobservedTargets(), needsExclusivity: needsExclusivity, inFlight: inFlight, lastRequestAt: r.lastRequestAt})
	r.environment.wakeServer()
}

func (r *ownerLoop) execute(ctx context.Context, commands []Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			r.deliver(command.Ticket, reply{grant: command.Grant})
		case RefuseCmd:
			r.deliver(command.Ticket, reply{err: command.Error})
		case ProbeCmd:
			go r.probe(ctx, command)
		case StateChangeCmd:
			r.stateVersion++
			r.environment.log.Log(logger.EventTargetState, logger.Fields{
				"Service": r.state.Service, "Target": command.Target, "State": command.State, "Reason": command.Reason,
			})
		case InvariantBrokenCmd:
			r.environment.brokenInvariants.Add(1)
			r.environment.log.Log(logger.EventOwnerInvariant, logger.Fields{
				"Service": r.state.Service, "Invariant": command.Invariant, "Detail": command.Detail,
			})
		}
	}
}

func (r *ownerLoop) deliver(ticket uint64, a reply) {
	if waiting, ok := r.waiting[ticket]; ok {
		waiting <- a
		delete(r.waiting, ticket)
	}
}

// probe measures a target in its own goroutine and sends the result to the task.
// The probe budget limits how many run.
func (o *Owner) probe(ctx context.Context, command ProbeCmd) {
	m := hemlocktally.ProbeResult{Failed: true}
	if o.environment.measurer != nil {
		m = o.environment.measurer.Probe(ctx, command.Target, command.Path)
	}
	o.Send(ctx, ProbeMsg{
		Target: command.Target.Name, Latency: m.Latency, Failed: m.Failed, State: m.State,
		InFlight: m.InFlight, Reported: m.Reported,
	})
}

// status returns the state of targets and budgets, or the zero value if the task
// or the context has ended.
func (o *Owner) status(ctx context.Context) ownerStatus {
	call := statusCall{reply: make(chan ownerStatus, 1)}
	if !o.Send(ctx, call) {
		return ownerStatus{}
	}
	select {
	case s := <-call.reply:
		return s
	case <-o.done:
		return ownerStatus{}
	case <-ctx.Done():
		return ownerStatus{}
	}
}
