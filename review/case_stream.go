package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case: some upstreams break off a few of their answers, which are large, while
// clients send further safe requests before the first has been answered.
const (
	streamHost     = "jepu9.example"
	streamPath     = "/archive/"
	streamSize     = 400 << 10
	streamDeadline = 5 * time.Second
	garbleShare    = 3    // garbleShare is how many of the six upstreams break answers off.
	garbleRate     = 0.03 // garbleRate is the share of their answers that break off.
	streamFor      = 40 * time.Second
	lostAllowed    = 3
)

// broken holds the requests whose answers an upstream has broken off.
type brokenOff struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (b *brokenOff) add(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids[id] = true
}

func (b *brokenOff) has(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ids[id]
}

func caseStream(s *scene) (int, error) {
	zones := []string{"steyr", "wels", "gmunden"}
	f, err := newFleet(s.program, s.folder, zones, 1, s.record)
	if err != nil {
		return exitNotRun, err
	}
	running = f
	defer f.stop()
	f.configure(2, []route{{name: "r-archive", host: streamHost, prefix: streamPath, kind: "safe", service: "acervo", timeout: streamDeadline, aim: time.Second, attempts: 2}},
		[]string{"acervo"}, 3*time.Second, 17)
	broken := &brokenOff{ids: map[string]bool{}}
	var ran sync.Map
	for n := range 6 {
		garbles := n < garbleShare && s.trouble
		u := &upstream{
			service: "acervo", zone: zones[n%3], slots: 6, queue: 12, coldStart: 3 * time.Second, record: s.record, store: f.store,
			work: func(string) (time.Duration, int) {
				return time.Duration(30+rand.IntN(60)) * time.Millisecond, streamSize
			},
			breakOff: func(r *http.Request) bool {
				id := r.Header.Get("Request-Id")
				if garbles && rand.Float64() < garbleRate {
					broken.add(id)
					return true
				}
				ran.Store(id, true)
				return false
			},
		}
		if err := u.start(false); err != nil {
			return exitNotRun, err
		}
	}
	if err := f.startAll(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), streamFor)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []*conn
	for n := range 6 {
		group.Go(func() {
			for ctx.Err() == nil {
				c := pipelineFour(ctx, f.instances[n%3])
				if c != nil {
					mu.Lock()
					all = append(all, c)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	lost, answered, brokenSeen := 0, 0, 0
	for _, c := range all {
		for n, t := range c.tries {
			_, sound := ran.Load(t.id)
			switch {
			case t.failure == "":
				answered++
			case broken.has(t.id):
				brokenSeen++
			case n > 0 && sound:
				lost++
				s.record.say("LOST: %s: request %s, which a sound upstream ran, gets %s", c.name, t.id, t.failure)
			}
		}
	}
	s.record.say("answered %d; broken off by an upstream %d; others that an upstream ran and nobody answered: %d (bound %d)", answered, brokenSeen, lost, lostAllowed)
	if lost > lostAllowed {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// pipelineFour opens a connection and sends four requests at a time on it until it ends.
func pipelineFour(ctx context.Context, i *instance) *conn {
	c, err := dial("client of "+i.id, i.front, i.record)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(streamFor + 10*time.Second))
	for ctx.Err() == nil {
		first := len(c.tries)
		for range 4 {
			if _, err := c.send(http.MethodGet, streamHost, streamPath+"x", streamDeadline); err != nil {
				return c
			}
		}
		for n, t := range c.tries[first:] {
			if !c.receive(t) && t.failure != "" {
				for _, rest := range c.tries[first+n+1:] {
					c.receive(rest)
				}
				return c
			}
		}
	}
	return c
}
