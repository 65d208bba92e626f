package balancer

import (
	"context"
	"net"
	"net/http"
	"time"

	"hemlocktally/validator"
)

// Limits that detect a connection whose peer has disappeared without closing it.
const (
	keepAliveIdle      = time.Second
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveCount     = 3
	defaultDialTimeout = 400 * time.Millisecond
	// peerDialTimeout limits the dialing of another instance. Instances without power
	// don't respond, and several may have to be tried until one does.
	peerDialTimeout = 120 * time.Millisecond
)

// dial opens a connection that detects within seconds that its peer has become
// unresponsive.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dialWithTimeout(ctx, defaultDialTimeout, network, address)
}

func dialWithTimeout(ctx context.Context, timeout time.Duration, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return d.DialContext(ctx, network, address)
}

// StoreTransport returns an HTTP transport for calls to the platform's store. Its
// connections detect within seconds that the store has become unresponsive.
func StoreTransport() *http.Transport {
	const maxIdleStoreConns = 4
	t := transport(maxIdleStoreConns, callerIdleTimeout, defaultDialTimeout)
	t.DialContext = validator.Dial(t.DialContext)
	return t
}

// probeTransport returns an HTTP transport for load probes, over connections to targets.
func probeTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	t := transport(1, probeIdleTimeout, defaultDialTimeout)
	t.DialContext = validator.Dial(dial)
	return t
}

func transport(maxIdleConns int, idleTimeout, dialTimeout time.Duration) *http.Transport {
	const (
		bufferBytes            = 4 << 10
		maxResponseHeaderBytes = 64 << 10 // maxResponseHeaderBytes limits the header of a response.
	)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialWithTimeout(ctx, dialTimeout, network, address)
	}
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
		ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
