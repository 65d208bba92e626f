package imitator

import (
	"net"
	"sync"
)

// linkListener bounds the connections of a target and can silence them.
type linkListener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection, closing those above the limit.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.target.admitLink(conn); accepted != nil {
			return accepted, nil
		}
		_ = conn.Close()
	}
}

func (t *Target) admitLink(conn net.Conn) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.links) >= t.MaxConnections {
		t.counters.RefusedLinks++
		return nil
	}
	l := &link{Conn: conn, target: t, silent: make(chan struct{}), closed: make(chan struct{})}
	t.links[l] = struct{}{}
	return l
}

// link is a connection that can go silent: it stays open, but nothing that it
// is sent arrives any more.
type link struct {
	net.Conn
	target      *Target
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

func (l *link) silence() { l.silenceOnce.Do(func() { close(l.silent) }) }

// Read returns nothing more once the link is silent.
func (l *link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	select {
	case <-l.silent:
		<-l.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write discards what is written to a silent link.
func (l *link) Write(p []byte) (int, error) {
	select {
	case <-l.silent:
		return len(p), nil
	default:
		return l.Conn.Write(p)
	}
}

// Close closes the connection.
func (l *link) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.target.mu.Lock()
		delete(l.target.links, l)
		l.target.mu.Unlock()
	})
	return l.Conn.Close()
}
