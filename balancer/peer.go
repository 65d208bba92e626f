package balancer

import (
	"context"
	"net"
	"net/http"
	"time"

	"hemlocktally/messenger"
)

// Instances speak HTTP/2 to each other: most bytes of a question about a turn
// would be headers, which HTTP/2 sends once a connection. Bytes between
// availability zones are paid for.
const (
	// peerPing is the silence after which a connection is tried. All questions to
	// an instance share one, which may have gone silent for good.
	peerPing        = 500 * time.Millisecond
	peerPingTimeout = 300 * time.Millisecond
)

// peerTransport returns the HTTP transport for calls of other instances.
func peerTransport() *http.Transport {
	t := transport(peerLinks, peerIdleTime, peerDial)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: peerPing, PingTimeout: peerPingTimeout}
	return t
}

// peerServer answers other instances.
func peerServer(handler http.Handler) *http.Server {
	server := plainServer(handler)
	server.Protocols = new(http.Protocols)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

func (b *Balancer) servePeers(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(messenger.PlacementPathPrefix, messenger.NewPlacementServer(b.owner))
	mux.Handle(messenger.RelayPathPrefix, messenger.NewRelayServer(b.follower))
	return serve(ctx, listener, peerServer(mux))
}
