package runner

import (
	"net"
	"sync"
)

// gate holds the traffic of an instance back, so that tests and the soak can
// pause it, or cut it off from single addresses. Its zero value is open.
type gate struct {
	mu      sync.Mutex
	paused  bool
	cut     map[string]bool
	changed chan struct{}
}

// wait returns once traffic with the address may pass, or the connection is
// closed.
func (g *gate) wait(address string, closed <-chan struct{}) {
	for {
		g.mu.Lock()
		if g.changed == nil {
			g.changed = make(chan struct{})
		}
		changed, blocked := g.changed, g.paused || g.cut[address]
		g.mu.Unlock()
		if !blocked {
			return
		}
		select {
		case <-changed:
		case <-closed:
			return
		}
	}
}

func (g *gate) change(set func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	set()
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}

// Pause holds back all that the instance sends and receives until Resume, as a
// paused process would. What it has decided before goes out afterwards.
func (d *Daemon) Pause() { d.sockets.gate.change(func() { d.sockets.gate.paused = true }) }

// Resume lets all traffic pass again.
func (d *Daemon) Resume() { d.sockets.gate.change(func() { d.sockets.gate.paused = false }) }

// Cut holds back what the instance sends to an address, and the answers, until
// Join.
func (d *Daemon) Cut(address string) {
	d.sockets.gate.change(func() {
		if d.sockets.gate.cut == nil {
			d.sockets.gate.cut = map[string]bool{}
		}
		d.sockets.gate.cut[address] = true
	})
}

// Join lets the traffic with the address pass again.
func (d *Daemon) Join(address string) {
	d.sockets.gate.change(func() { delete(d.sockets.gate.cut, address) })
}

// gatedConn passes its traffic through the instance's gate.
type gatedConn struct {
	net.Conn
	gate    *gate
	address string // address is what was dialled; it is empty for accepted connections.
	closed  chan struct{}
	once    sync.Once
}

func newGatedConn(conn net.Conn, g *gate, address string) *gatedConn {
	return &gatedConn{Conn: conn, gate: g, address: address, closed: make(chan struct{})}
}

// Read holds what has arrived until the gate is open.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait(c.address, c.closed)
	return n, err
}

// Write waits until the gate is open.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.wait(c.address, c.closed)
	return c.Conn.Write(p)
}

// Close closes the connection, also while its traffic is held back.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
