package allocator

import (
	"context"
	"time"

	"hemlocktally"
)

// Owner is the task that holds the State of one service.
type Owner struct {
	inbox chan any
	done  chan struct{}
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

const (
	ownerInbox = 1024
	ownerTick  = 5 * time.Millisecond
)

// StartOwner starts the task; it ends with the context.
func StartOwner(ctx context.Context, self hemlocktally.InstanceID) *Owner {
	o := &Owner{inbox: make(chan any, ownerInbox), done: make(chan struct{})}
	go o.run(ctx, &State{Owner: self})
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
		o.Send(background, CancelMsg{Ticket: ticket})
	case <-o.done:
	}
	select {
	case a := <-call.answer:
		if a.err == nil {
			o.Send(background, ResultMsg{Grant: a.grant.ID, Target: a.grant.Target.Name, Outcome: hemlocktally.AttemptUnused})
		}
	default:
	}
	return hemlocktally.Grant{}, ctx.Err()
}

func leaving() error {
	return &hemlocktally.RefusedError{
		Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonLeaving, Detail: "the owner is stopping",
	}
}

func (o *Owner) run(ctx context.Context, state *State) {
	defer close(o.done)
	ticker := time.NewTicker(ownerTick)
	defer ticker.Stop()
	waiting := map[uint64]chan answer{}
	last := uint64(0)
	for {
		var msg any
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			msg = TickMsg{}
		case msg = <-o.inbox:
		}
		if call, ok := msg.(acquireCall); ok {
			last++
			waiting[last] = call.answer
			call.ticket <- last
			msg = AcquireMsg{Ticket: last, Request: call.request, From: call.from}
		}
		if cancel, ok := msg.(CancelMsg); ok {
			delete(waiting, cancel.Ticket)
		}
		for _, command := range state.Update(msg, time.Now()) {
			deliver(waiting, command)
		}
	}
}

func deliver(waiting map[uint64]chan answer, command Command) {
	switch command := command.(type) {
	case GrantCmd:
		waiting[command.Ticket] <- answer{grant: command.Grant}
		delete(waiting, command.Ticket)
	case RefuseCmd:
		waiting[command.Ticket] <- answer{err: command.Error}
		delete(waiting, command.Ticket)
	}
}
