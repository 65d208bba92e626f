package registrar

import (
	"context"
	"sync"
	"time"

	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// task owns the State and runs the commands of its steps.
type task struct {
	registrar *Registrar
	state     *State
	ctx       context.Context //nolint:containedctx // The commands end with the task's run.
	running   sync.WaitGroup
	shownAt   time.Time
	members   int
}

// step takes one message and runs what follows from it.
func (t *task) step(msg Msg) {
	var answer chan *messenger.BeatMessage
	if call, ok := msg.(beatCall); ok {
		answer, msg = call.answer, call.msg
	}
	now := time.Now()
	cmds := t.state.Update(msg, now)
	t.show(now)
	for _, cmd := range cmds {
		if reply, ok := cmd.(ReplyCmd); ok {
			answer <- reply.Beat
			continue
		}
		t.run(cmd)
	}
}

// show publishes lease and view.
func (t *task) show(now time.Time) {
	lease := t.state.Lease()
	t.registrar.lease.Store(&lease)
	if !t.state.changed && now.Sub(t.shownAt) < showInterval {
		return
	}
	view, _ := t.state.View()
	t.shownAt = now
	t.registrar.view.Store(&view)
	if len(view.Members) != t.members && t.registrar.Sized != nil {
		t.registrar.Sized(len(view.Members))
	}
	t.members = len(view.Members)
}

func (t *task) run(cmd Cmd) {
	r := t.registrar
	switch cmd := cmd.(type) {
	case ChangedCmd:
		r.Log.Log(logger.EventMemberState, logger.Fields{
			"Member": cmd.Member.ID, "Incarnation": cmd.Member.Incarnation, "From": cmd.From, "To": cmd.To, "Cause": cmd.Cause,
		})
	case BeatCmd:
		t.running.Go(func() { r.send(r.beat(t.ctx, cmd)) })
	case RegisterCmd:
		t.running.Go(func() { r.send(r.register(t.ctx, cmd.Record)) })
	case RenewCmd:
		t.running.Go(func() { r.send(r.renew(t.ctx, cmd.Lease)) })
	case RelayCmd:
		t.running.Go(func() { r.send(r.relay(t.ctx, cmd)) })
	case ListCmd:
		t.running.Go(func() { r.list(t.ctx) })
	case HintsCmd:
		t.running.Go(func() { r.hints(t.ctx) })
	}
}

// leave tells some peers that the instance is gone, then revokes the lease, so
// that the record goes last.
func (t *task) leave() error {
	const limit = time.Second
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	lease := t.state.Lease()
	var told sync.WaitGroup
	for _, cmd := range t.state.Update(DepartMsg{}, time.Now()) {
		if beat, ok := cmd.(BeatCmd); ok {
			told.Go(func() { t.registrar.beat(ctx, beat) })
		}
	}
	told.Wait()
	t.show(time.Now())
	if lease.id != "" {
		// The lease ends by itself where the store does not answer.
		_ = t.registrar.Store.Revoke(ctx, lease.id)
	}
	return nil
}
