package balancer_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// link is a loopback proxy in front of one address whose traffic can be delayed,
// reset or silenced.
type link struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	delay    time.Duration
	silent   bool // silent forwards nothing from the far end, as a cut of one way.
	conns    map[net.Conn]bool
}

func newLink(t *testing.T, to string) *link {
	t.Helper()
	l := &link{listener: listen(t), to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.listener.Close(); l.reset() })
	go func() {
		for {
			near, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.join(near)
		}
	}()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) set(delay time.Duration, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.silent = delay, silent
}

// reset breaks all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = map[net.Conn]bool{}
}

func (l *link) join(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = near.Close()
		return
	}
	l.mu.Lock()
	l.conns[near], l.conns[far] = true, true
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copy(far, near, false) })
	group.Go(func() { l.copy(near, far, true) })
	group.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
}

func (l *link) copy(to, from net.Conn, back bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.mu.Lock()
			delay, silent := l.delay, l.silent && back
			l.mu.Unlock()
			time.Sleep(delay)
			if silent {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
