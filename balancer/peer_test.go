package balancer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/messenger"
)

// stubPlacement answers every request with a grant; its names have the usual length.
type stubPlacement struct{}

func (stubPlacement) Place(context.Context, *messenger.PlaceRequest) (*messenger.PlaceResponse, error) {
	return &messenger.PlaceResponse{
		Grant: "entry-north-12/2R3P4W5X/4711", Target: "t-046c624ea2", Address: "10.3.64.130:8081",
		TargetZone: "north", Connections: 220, Revision: 25,
	}, nil
}

func (stubPlacement) EndTurn(context.Context, *messenger.EndTurnRequest) (*messenger.EndTurnResponse, error) {
	return &messenger.EndTurnResponse{}, nil
}

// meteredListener counts the bytes of its connections. It can make open
// connections stop passing data.
type meteredListener struct {
	net.Listener
	bytes  atomic.Int64
	silent atomic.Int64 // silent is the number of the last connection that passes no data.
	opened atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &meteredConn{Conn: conn, listener: l, number: l.opened.Add(1)}, err
}

type meteredConn struct {
	net.Conn
	listener *meteredListener
	number   int64
}

func (c *meteredConn) muted() bool { return c.number <= c.listener.silent.Load() }

func (c *meteredConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.listener.bytes.Add(int64(n))
		if err != nil || !c.muted() {
			return n, err
		}
	}
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if c.muted() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// newPlacementClient starts a placement server on a metered listener and returns a
// client for it.
func newPlacementClient(t *testing.T, server *http.Server, transport *http.Transport) (*meteredListener, messenger.Placement) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	metered := &meteredListener{Listener: listener}
	mux := http.NewServeMux()
	mux.Handle(messenger.PlacementPathPrefix, messenger.NewPlacementServer(stubPlacement{}))
	server.Handler = mux
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- serve(ctx, metered, server) }()
	t.Cleanup(func() {
		cancel()
		transport.CloseIdleConnections()
		qt.Check(t, <-done, qt.IsNil)
	})
	return metered, messenger.NewPlacementProtobufClient("http://"+listener.Addr().String(), &http.Client{Transport: transport})
}

func placeAndEnd(ctx context.Context, client messenger.Placement) error {
	granted, err := client.Place(ctx, &messenger.PlaceRequest{
		Ticket: "entry-south-4/2R3P4W6X/815", Service: "fida99a", Contract: "wuhu14", Zone: "south",
		Instance: "entry-south-4", DeadlineMicroseconds: 1_900_000, ObjectiveMicroseconds: 240_000,
	})
	if err != nil {
		return err
	}
	_, err = client.EndTurn(ctx, &messenger.EndTurnRequest{
		Grant: granted.GetGrant(), Service: "fida99a", Target: granted.GetTarget(), Contract: "wuhu14", LatencyMicroseconds: 97_000,
		Load: &messenger.TargetLoad{Running: 1, Slots: 2, PacePercent: 130},
	})
	return err
}

// bytesPerGrant returns how many bytes one grant costs, in both directions, on an
// established connection.
func bytesPerGrant(t *testing.T, server *http.Server, transport *http.Transport) int64 {
	t.Helper()
	metered, client := newPlacementClient(t, server, transport)
	const grants = 100
	qt.Assert(t, placeAndEnd(t.Context(), client), qt.IsNil)
	before := metered.bytes.Load()
	for range grants {
		qt.Assert(t, placeAndEnd(t.Context(), client), qt.IsNil)
	}
	return (metered.bytes.Load() - before) / grants
}

// Two thirds of the grants are requested across zones, so headers must not cost
// more than the messages themselves.
func TestGrantsBetweenInstancesCostFewBytes(t *testing.T) {
	http1Bytes := bytesPerGrant(t, plainServer(nil), transport(8, peerIdleTimeout, peerDialTimeout))
	peerBytes := bytesPerGrant(t, peerServer(nil), peerTransport())
	t.Logf("%d bytes per grant with HTTP/1.1, %d with the transport between instances", http1Bytes, peerBytes)
	qt.Check(t, 2*peerBytes < http1Bytes, qt.IsTrue)
}

// A connection that stops passing data is replaced within the time for which an
// owner that did not respond is not asked again.
func TestSilentPeerConnectionIsReplaced(t *testing.T) {
	metered, client := newPlacementClient(t, peerServer(nil), peerTransport())
	qt.Assert(t, placeAndEnd(t.Context(), client), qt.IsNil)
	metered.silent.Store(metered.opened.Load())
	silentSince := time.Now()
	for time.Since(silentSince) < 5*time.Second {
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		err := placeAndEnd(ctx, client)
		cancel()
		if err == nil {
			break
		}
	}
	qt.Check(t, time.Since(silentSince) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(silentSince)))
}
