package experimenter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/imitator"
)

// Stream is one kind of calls, made at a mean rate with random gaps.
type Stream struct {
	Name   string
	Method string
	Path   string
	Key    string // Key identifies the caller; it may be empty.
	Rate   float64
	Keyed  bool // Keyed gives each call an Idempotency-Key.
}

// LoadCounters count what stand-in callers saw.
type LoadCounters struct {
	Sent    atomic.Uint64
	Done    atomic.Uint64
	Refused atomic.Uint64
	Broken  atomic.Uint64 // Broken counts answers that ended early.
	Wrong   atomic.Uint64 // Wrong counts answers to another request.
}

// Load sends the streams to the fleet's instances in turn, as the platform's
// balancer would, until the context ends. It returns when every call has ended.
func Load(ctx context.Context, fleet *Fleet, streams []Stream, seed uint64, counters *LoadCounters) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i, stream := range streams {
		wg.Go(func() {
			g := &generator{fleet: fleet, stream: stream, client: client, counters: counters, random: rand.New(rand.NewPCG(seed, uint64(i)))}
			g.run(ctx)
		})
	}
	wg.Wait()
}

type generator struct {
	fleet    *Fleet
	stream   Stream
	client   *http.Client
	counters *LoadCounters
	random   *rand.Rand
	sent     int
}

func (g *generator) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(g.random.ExpFloat64() / g.stream.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		g.sent++
		n := g.sent
		instance := g.pick()
		calls.Go(func() { g.call(context.WithoutCancel(ctx), instance, n) })
	}
}

// pick draws an instance that accepts calls, as the platform's balancer would.
func (g *generator) pick() hemlocktally.Instance {
	at := g.random.IntN(len(g.fleet.Daemons))
	for i := range g.fleet.Daemons {
		daemon := g.fleet.Daemons[(at+i)%len(g.fleet.Daemons)]
		if daemon.Accepting() {
			return daemon.Self()
		}
	}
	return g.fleet.Daemons[at].Self()
}

const callTimeout = 10 * time.Second

func (g *generator) call(ctx context.Context, instance hemlocktally.Instance, n int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	work := fmt.Sprintf("%s-%d", g.stream.Name, n)
	if g.stream.Method != http.MethodGet {
		work = NonIdempotentWork + work
	}
	path := fmt.Sprintf("%s%d", g.stream.Path, n)
	request, err := http.NewRequestWithContext(ctx, g.stream.Method, "http://"+instance.CallerAddress+path, strings.NewReader(work))
	if err != nil {
		return
	}
	request.Header.Set(imitator.HeaderWork, work)
	if g.stream.Key != "" {
		request.Header.Set("Authorization", "Bearer "+g.stream.Key)
	}
	if g.stream.Keyed {
		request.Header.Set(hemlocktally.HeaderIdempotencyKey, work)
	}
	g.counters.Sent.Add(1)
	response, err := g.client.Do(request)
	if err != nil {
		g.counters.Broken.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		g.counters.Broken.Add(1)
		return
	}
	g.count(response, body, []byte(g.stream.Method+" "+path+" "+work+"\n"+work))
}

func (g *generator) count(response *http.Response, body, want []byte) {
	switch {
	case response.Header.Get(hemlocktally.HeaderOutcome) != string(hemlocktally.OutcomeDone):
		g.counters.Refused.Add(1)
	case !bytes.Equal(body, want):
		g.counters.Wrong.Add(1)
	default:
		g.counters.Done.Add(1)
	}
}
