package registrar

import (
	"context"

	"github.com/twitchtv/twirp"

	"hemlocktally/messenger"
)

// Beat answers a heartbeat from a peer. It implements messenger.Membership.
func (r *Registrar) Beat(ctx context.Context, in *messenger.BeatMessage) (*messenger.BeatMessage, error) {
	r.init()
	call := heartbeatCall{msg: HeartbeatMsg{Heartbeat: in}, reply: make(chan *messenger.BeatMessage, 1)}
	select {
	case r.inbox <- call:
	case <-r.done:
		return nil, errStopped()
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller canceled the heartbeat")
	}
	select {
	case reply := <-call.reply:
		r.countTraffic(in, reply)
		return reply, nil
	case <-r.done:
		return nil, errStopped()
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller canceled the heartbeat")
	}
}

func errStopped() error { return twirp.NewError(twirp.Unavailable, "the instance has stopped") }

// Relay renews a lease in the store on behalf of a peer. It implements
// messenger.Membership.
func (r *Registrar) Relay(ctx context.Context, in *messenger.RelayRequest) (*messenger.RelayResponse, error) {
	msg := r.renew(ctx, in.GetLease())
	return &messenger.RelayResponse{Renewed: msg.Result == RenewDone, Lapsed: msg.Result == RenewLapsed}, nil
}
