package balancer_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// cutMode is what happens to the connections of an instance to the targets.
type cutMode int

const (
	cutNone   cutMode = iota
	cutSilent         // cutSilent lets nothing through, in either direction, open connections included.
	cutReset          // cutReset closes open connections and lets no new one through.
	cutRefuse         // cutRefuse closes open connections and refuses new ones.
	cutNew            // cutNew refuses new connections; open ones live on.
)

func (m cutMode) String() string {
	return [...]string{"None", "Silent", "Reset", "Refuse", "New"}[m]
}

// network is the way of one instance to the targets. Its zero value lets everything through.
type network struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[*cutConn]bool
}

func (n *network) cut(mode cutMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = mode
	if mode == cutReset || mode == cutRefuse {
		for conn := range n.conns {
			_ = conn.Conn.Close()
		}
	}
}

func (n *network) silent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode == cutSilent
}

func (n *network) dial(ctx context.Context, protocol, address string) (net.Conn, error) {
	n.mu.Lock()
	mode := n.mode
	n.mu.Unlock()
	switch mode {
	case cutRefuse, cutNew:
		return nil, &net.OpError{Op: "dial", Net: protocol, Err: syscall.ECONNREFUSED}
	case cutSilent, cutReset:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: protocol, Err: ctx.Err()}
	case cutNone:
	}
	inner, err := (&net.Dialer{}).DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	conn := &cutConn{Conn: inner, network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[*cutConn]bool{}
	}
	n.conns[conn] = true
	return conn, nil
}

// keepAliveEnd is how long a silent connection lives, as with keep-alive probes.
const keepAliveEnd = 2500 * time.Millisecond

// cutConn is a connection of a network.
type cutConn struct {
	net.Conn
	network *network
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.network.silent() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
		_ = c.SetReadDeadline(time.Now().Add(keepAliveEnd)) // What arrived is lost.
	}
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.network.silent() {
		_ = c.SetReadDeadline(time.Now().Add(keepAliveEnd))
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
