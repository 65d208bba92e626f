package registrar

import (
	"context"
	"sync"
	"time"

	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// task owns the State and runs the commands that its updates return.
type task struct {
	registrar   *Registrar
	state       *State
	ctx         context.Context //nolint:containedctx // Commands end when Run does.
	running     sync.WaitGroup
	publishedAt time.Time
	memberCount int
}

// step applies one message and runs the resulting commands.
func (t *task) step(msg Msg) {
	var replies chan *messenger.BeatMessage
	if call, ok := msg.(heartbeatCall); ok {
		replies, msg = call.reply, call.msg
	}
	now := time.Now()
	cmds := t.state.Update(msg, now)
	t.publish(now)
	for _, cmd := range cmds {
		if reply, ok := cmd.(ReplyCmd); ok {
			replies <- reply.Heartbeat
			continue
		}
		t.run(cmd)
	}
}

// publish stores the lease, and the view if it changed or is publishInterval old.
func (t *task) publish(now time.Time) {
	lease := t.state.Lease()
	t.registrar.lease.Store(&lease)
	if !t.state.viewChanged && now.Sub(t.publishedAt) < publishInterval {
		return
	}
	view, _ := t.state.View()
	t.publishedAt = now
	t.registrar.view.Store(&view)
	if len(view.Members) != t.memberCount && t.registrar.OnSizeChange != nil {
		t.registrar.OnSizeChange(len(view.Members))
	}
	t.memberCount = len(view.Members)
}

func (t *task) run(cmd Cmd) {
	r := t.registrar
	switch cmd := cmd.(type) {
	case StateChangedCmd:
		r.Log.Log(logger.EventMemberState, logger.Fields{
			"Member": cmd.Member.ID, "Incarnation": cmd.Member.Incarnation, "From": cmd.From, "To": cmd.To, "Cause": cmd.Cause,
		})
	case HeartbeatCmd:
		t.running.Go(func() { r.send(r.sendHeartbeat(t.ctx, cmd)) })
	case RegisterCmd:
		t.running.Go(func() { r.send(r.register(t.ctx, cmd.Record)) })
	case RenewCmd:
		t.running.Go(func() { r.send(r.renew(t.ctx, cmd.Lease)) })
	case RelayCmd:
		t.running.Go(func() { r.send(r.relay(t.ctx, cmd)) })
	case ListRecordsCmd:
		t.running.Go(func() { r.listRecords(t.ctx) })
	case ListInstancesCmd:
		t.running.Go(func() { r.listInstances(t.ctx) })
	}
}

// leave tells some peers that the instance is gone, then revokes the lease, so that
// the record is removed last.
func (t *task) leave() error {
	const limit = time.Second
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	lease := t.state.Lease()
	var notices sync.WaitGroup
	for _, cmd := range t.state.Update(DepartMsg{}, time.Now()) {
		if heartbeat, ok := cmd.(HeartbeatCmd); ok {
			notices.Go(func() { t.registrar.sendHeartbeat(ctx, heartbeat) })
		}
	}
	notices.Wait()
	t.publish(time.Now())
	if lease.id != "" {
		// If the store does not answer, the lease expires by itself.
		_ = t.registrar.Store.Revoke(ctx, lease.id)
	}
	return nil
}
