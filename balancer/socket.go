package balancer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Bounds that show a connection whose other end is gone without a word.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	longestDial       = 400 * time.Millisecond
	// peerDial bounds a connection to another instance. Those without power don't
	// answer, and more than one may be asked until one does.
	peerDial = 120 * time.Millisecond
)

// dial opens a connection that notices within seconds when its other end falls
// silent.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialWithin(ctx, longestDial, network, address)
}

func dialWithin(ctx context.Context, limit time.Duration, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         limit,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return d.DialContext(ctx, network, address)
}

// Transport returns an HTTP transport with such connections, for calls of the
// platform's store.
func Transport() *http.Transport {
	const storeLinks = 4
	return transport(storeLinks, callerIdleTime, longestDial)
}

func transport(links int, idle, dialLimit time.Duration) *http.Transport {
	const (
		bufferBytes = 4 << 10
		mostHeader  = 64 << 10 // mostHeader bounds the header of an answer, in bytes.
	)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialWithin(ctx, dialLimit, network, address)
	}
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: links, IdleConnTimeout: idle, DisableCompression: true,
		ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, MaxResponseHeaderBytes: mostHeader,
	}
}
