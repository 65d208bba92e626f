package runner

import (
	"context"
	"errors"
	"net"
	"sync"
)

// sockets keeps every connection of an instance, so that all can be closed at
// once, as a crash of the process would.
type sockets struct {
	mu      sync.Mutex
	aborted bool
	open    map[net.Conn]struct{}
	gate    gate
}

var errAborted = errors.New("the instance has crashed")

func (s *sockets) add(conn net.Conn, address string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted {
		_ = conn.Close()
		return nil, errAborted
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	kept := &keptConn{Conn: newGatedConn(conn, &s.gate, address), sockets: s}
	s.open[kept] = struct{}{}
	return kept, nil
}

func (s *sockets) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	for conn := range s.open {
		_ = conn.(*keptConn).Conn.Close()
	}
}

// dial opens a connection that an abort closes.
func (s *sockets) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.add(conn, address)
}

type keptConn struct {
	net.Conn
	sockets *sockets
}

// Close closes the connection and forgets it.
func (c *keptConn) Close() error {
	c.sockets.mu.Lock()
	delete(c.sockets.open, c)
	c.sockets.mu.Unlock()
	return c.Conn.Close()
}

type keptListener struct {
	net.Listener
	sockets *sockets
}

// Accept returns the next connection, kept for an abort.
func (l *keptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.sockets.add(conn, "")
}

// Abort closes every socket of the instance at once, with no handover, so that
// tests and the bench can see a crash. The tasks end with the context of Run.
func (d *Daemon) Abort() {
	d.sockets.abort()
	d.Listeners.Close()
}

// keepListeners makes the instance's sockets known to Abort.
func (d *Daemon) keepListeners() {
	for _, listener := range []*net.Listener{&d.Listeners.Callers, &d.Listeners.Peers, &d.Listeners.Operators} {
		*listener = &keptListener{Listener: *listener, sockets: &d.sockets}
	}
}
