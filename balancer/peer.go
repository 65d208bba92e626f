package balancer

import (
	"context"
	"net"
	"net/http"

	"hemlocktally"
	"hemlocktally/messenger"
)

// peerTransport returns the HTTP transport for calls to other instances.
func peerTransport() *http.Transport {
	t := transport(1, peerIdleTimeout, peerDialTimeout)
	messenger.ConfigureTransport(t)
	return t
}

// peerServer returns the HTTP server for calls from other instances.
func peerServer(handler http.Handler) *http.Server {
	server := plainServer(handler)
	server.MaxHeaderBytes = maxPeerHeadBytes
	messenger.ConfigureServer(server)
	return server
}

func (b *Balancer) servePeers(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(messenger.PlacementPathPrefix, messenger.NewPlacementServer(b.owner))
	mux.Handle(messenger.QuarantinePathPrefix, messenger.NewQuarantineServer(b.suspects))
	mux.Handle(messenger.RelayPathPrefix, messenger.NewRelayServer(b.follower))
	messages := http.MaxBytesHandler(mux, maxPeerBodyBytes)
	return serve(ctx, listener, peerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hemlocktally.HeaderForwarded) != "" {
			b.dispatcher.ServeForwarded(w, r)
			return
		}
		messages.ServeHTTP(w, r)
	})))
}
