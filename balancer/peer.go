package balancer

import (
	"context"
	"net"
	"net/http"

	"hemlocktally"
	"hemlocktally/messenger"
	"hemlocktally/validator"
)

// peerTransport returns the HTTP/2 transport below peerRoundTripper.
func peerTransport() *http.Transport {
	t := transport(1, peerIdleTimeout, peerDialTimeout)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
			// A connection without a response to its pings is closed. What is in its send
			// buffer, calls that were handed over too, must not be delivered after that.
			err = tcp.SetLinger(0)
		}
		return conn, err
	}
	messenger.ConfigureTransport(t)
	return t
}

// peerRoundTripper returns the transport for calls to other instances.
func peerRoundTripper() http.RoundTripper {
	return validator.Transport{RoundTripper: peerTransport()}
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
	mux.Handle(messenger.QuotaPathPrefix, messenger.NewQuotaServer(b.quotas))
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
