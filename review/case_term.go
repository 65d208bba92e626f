package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case: a planned stop while clients send further safe requests before the
// first has been answered.
const (
	termHost    = "jepu9.example"
	termPath    = "/register/"
	termWork    = 400 * time.Millisecond
	termTimeout = 2500 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
	grace       = 6 * time.Second
)

// pipelines are the connections of the case.
type pipelines struct {
	mu    sync.Mutex
	conns []*conn
}

func (p *pipelines) open(name string, i *instance) (*conn, error) {
	c, err := dial(name, i.front, i.record)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return c, nil
}

// serveOne sends one request and waits for its answer, so that the connection is a kept one.
func (c *conn) serveOne() error {
	t, err := c.send(http.MethodGet, termHost, termPath+"a", termTimeout)
	if err == nil && !c.receive(t) {
		return errNotReady
	}
	return err
}

// receiveAll reads answers in order until all have come or the connection ends.
func (c *conn) receiveAll(n int) {
	_ = c.SetReadDeadline(time.Now().Add(grace + 2*time.Second))
	for got := 1; got <= n; got++ {
		var t *try
		for t == nil {
			c.mu.Lock()
			if len(c.tries) > got {
				t = c.tries[got]
			}
			c.mu.Unlock()
			time.Sleep(time.Millisecond)
		}
		c.receive(t)
	}
}

func caseTerm(s *scene) (int, error) {
	f, err := newFleet(s.program, s.folder, []string{"steyr", "wels", "gmunden"}, 2, s.record)
	if err != nil {
		return exitNotRun, err
	}
	running = f
	defer f.stop()
	f.configure(2, []route{{name: "r-register", host: termHost, prefix: termPath, kind: "safe", service: "register", timeout: termTimeout, aim: 600 * time.Millisecond, attempts: 2}},
		[]string{"register"}, 3*time.Second, 17)
	for n := range 9 {
		u := &upstream{
			service: "register", zone: f.instances[n%len(f.instances)].zone, slots: 6, queue: 12, coldStart: 3 * time.Second,
			work: func(string) (time.Duration, int) { return termWork, 400 }, record: s.record, store: f.store,
		}
		if err := u.start(false); err != nil {
			return exitNotRun, err
		}
	}
	if err := f.startAll(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Second)
	broken := 0
	for round := range 3 {
		n, err := termRound(s, f, round)
		if err != nil {
			return exitNotRun, err
		}
		broken += n
	}
	s.record.say("requests that the process had read whole and never answered: %d", broken)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// termRound stops one instance while three clients pipeline, and starts it again. It returns
// how many requests were lost.
func termRound(s *scene, f *fleet, round int) (int, error) {
	x := f.instances[2*round+1]
	p := &pipelines{}
	first, err := p.open("client A", x)
	if err != nil {
		return 0, err
	}
	second, err := p.open("client B", x)
	if err != nil {
		return 0, err
	}
	for _, c := range p.conns {
		if err := c.serveOne(); err != nil {
			return 0, err
		}
	}
	var readers sync.WaitGroup
	read := func(c *conn, n int) { readers.Go(func() { c.receiveAll(n) }) }
	const burst = 12
	for range burst {
		if _, err := first.send(http.MethodGet, termHost, termPath+"b", termTimeout); err != nil {
			return 0, err
		}
	}
	read(first, burst)
	if _, err := second.send(http.MethodGet, termHost, termPath+"c", termTimeout); err != nil {
		return 0, err
	}
	read(second, 2)
	time.Sleep(50 * time.Millisecond)
	stoppedAt := time.Now()
	if s.trouble {
		x.signal(syscall.SIGTERM)
	}
	time.Sleep(100 * time.Millisecond)
	if _, err := second.send(http.MethodGet, termHost, termPath+"c", termTimeout); err != nil {
		return 0, err
	}
	readers.Wait()
	if s.trouble {
		<-x.ended
		time.Sleep(300 * time.Millisecond)
		if err := x.start(); err != nil {
			return 0, err
		}
	}
	lost := 0
	for _, c := range p.conns {
		for _, t := range c.tries {
			if t.failure != "" && t.sent.Before(stoppedAt.Add(grace+time.Second)) && t.ended.Sub(t.sent) > lossSlack {
				s.record.say("LOST: %s: request %s gets %s", c.name, t.id, t.failure)
				lost++
			}
		}
		_ = c.Close()
	}
	time.Sleep(time.Second)
	return lost, nil
}
