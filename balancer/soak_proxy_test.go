package balancer_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards loopback connections to one address. It can delay, reset or
// silence them.
type proxy struct {
	listener net.Listener
	upstream string
	mu       sync.Mutex
	delay    time.Duration
	silent   bool // silent drops all data from the upstream, as a one-way network partition does.
	conns    map[net.Conn]bool
}

func newProxy(t *testing.T, upstream string) *proxy {
	t.Helper()
	p := &proxy{listener: listen(t), upstream: upstream, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = p.listener.Close(); p.reset() })
	go func() {
		for {
			client, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.forward(client)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setFaults(delay time.Duration, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silent = delay, silent
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = map[net.Conn]bool{}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(server, client, false) })
	group.Go(func() { p.copy(client, server, true) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, fromUpstream bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			delay, silent := p.delay, p.silent && fromUpstream
			p.mu.Unlock()
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
