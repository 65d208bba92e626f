package runner

import (
	"context"
	"net"
	"sync/atomic"
)

// trafficCounter counts the bytes of the connections that it made or accepted.
// Its zero value is ready.
type trafficCounter struct {
	in, out atomic.Uint64
}

// Bytes returns what was read and what was written.
func (t *trafficCounter) Bytes() (in, out uint64) { return t.in.Load(), t.out.Load() }

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// through returns a dial function whose connections are counted.
func (t *trafficCounter) through(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: t}, nil
	}
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept waits for the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *trafficCounter
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(uint64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(uint64(n))
	return n, err
}

// Traffic is what an instance exchanged since its start.
type Traffic struct {
	PeerBytes  uint64 // PeerBytes counts both directions.
	StoreBytes uint64 // StoreBytes counts both directions.
	StoreCalls uint64
}

// Traffic returns what the instance exchanged with peers and store.
func (d *Daemon) Traffic() Traffic {
	peerIn, peerOut := d.peerTraffic.Bytes()
	storeIn, storeOut := d.storeTraffic.Bytes()
	return Traffic{PeerBytes: peerIn + peerOut, StoreBytes: storeIn + storeOut, StoreCalls: d.store.Calls()}
}
