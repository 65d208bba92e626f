package registrar

import (
	"context"

	"github.com/twitchtv/twirp"

	"hemlocktally/messenger"
)

// Beat answers the heartbeat of a peer.
func (r *Registrar) Beat(ctx context.Context, in *messenger.BeatMessage) (*messenger.BeatMessage, error) {
	r.init()
	call := beatCall{msg: BeatMsg{Beat: in}, answer: make(chan *messenger.BeatMessage, 1)}
	select {
	case r.inbox <- call:
	case <-r.done:
		return nil, leaving()
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the heartbeat was given up")
	}
	select {
	case answer := <-call.answer:
		r.count(in, answer)
		return answer, nil
	case <-r.done:
		return nil, leaving()
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the heartbeat was given up")
	}
}

func leaving() error { return twirp.NewError(twirp.Unavailable, "the instance has left") }

// Relay renews a lease in the store for a peer.
func (r *Registrar) Relay(ctx context.Context, in *messenger.RelayRequest) (*messenger.RelayResponse, error) {
	msg := r.renew(ctx, in.GetLease())
	return &messenger.RelayResponse{Renewed: msg.Result == RenewDone, Lapsed: msg.Result == RenewLapsed}, nil
}
