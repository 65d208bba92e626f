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

// grants gives every call a turn with names of the usual length.
type grants struct{}

func (grants) Place(context.Context, *messenger.PlaceRequest) (*messenger.PlaceResponse, error) {
	return &messenger.PlaceResponse{
		Grant: "entry-north-12/2R3P4W5X/4711", Target: "t-046c624ea2", Address: "10.3.64.130:8081",
		TargetZone: "north", Connections: 220, Revision: 25,
	}, nil
}

func (grants) EndTurn(context.Context, *messenger.EndTurnRequest) (*messenger.EndTurnResponse, error) {
	return &messenger.EndTurnResponse{}, nil
}

// meteredListener counts the bytes of its connections, and can make those that
// are open fall silent.
type meteredListener struct {
	net.Listener
	bytes  atomic.Int64
	silent atomic.Int64 // silent is up to which number connections pass nothing on.
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

func (c *meteredConn) mute() bool { return c.number <= c.listener.silent.Load() }

func (c *meteredConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.listener.bytes.Add(int64(n))
		if err != nil || !c.mute() {
			return n, err
		}
	}
}

func (c *meteredConn) Write(p []byte) (int, error) {
	if c.mute() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// peersUnder serves grants and returns a client for them.
func peersUnder(t *testing.T, server *http.Server, transport *http.Transport) (*meteredListener, messenger.Placement) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	metered := &meteredListener{Listener: listener}
	mux := http.NewServeMux()
	mux.Handle(messenger.PlacementPathPrefix, messenger.NewPlacementServer(grants{}))
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

func takeTurn(ctx context.Context, client messenger.Placement) error {
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

// bytesOfTurns returns what a turn costs, both ways, on a connection in use.
func bytesOfTurns(t *testing.T, server *http.Server, transport *http.Transport) int64 {
	t.Helper()
	metered, client := peersUnder(t, server, transport)
	const turns = 100
	qt.Assert(t, takeTurn(t.Context(), client), qt.IsNil)
	before := metered.bytes.Load()
	for range turns {
		qt.Assert(t, takeTurn(t.Context(), client), qt.IsNil)
	}
	return (metered.bytes.Load() - before) / turns
}

// Two of three turns are asked for across zones: their headers must not cost
// more than what they say.
func TestTurnsOfPeersCostFewBytes(t *testing.T) {
	plain := bytesOfTurns(t, plainServer(nil), transport(8, peerIdleTimeout, peerDialTimeout))
	small := bytesOfTurns(t, peerServer(nil), peerTransport())
	t.Logf("%d bytes a turn in HTTP/1.1, %d between instances", plain, small)
	qt.Check(t, 2*small < plain, qt.IsTrue)
}

// A connection that falls silent is replaced within the time for which an owner
// that did not answer is left alone.
func TestSilentLinkToAPeerIsReplaced(t *testing.T) {
	metered, client := peersUnder(t, peerServer(nil), peerTransport())
	qt.Assert(t, takeTurn(t.Context(), client), qt.IsNil)
	metered.silent.Store(metered.opened.Load())
	fell := time.Now()
	for time.Since(fell) < 5*time.Second {
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		err := takeTurn(ctx, client)
		cancel()
		if err == nil {
			break
		}
	}
	qt.Check(t, time.Since(fell) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(fell)))
}
