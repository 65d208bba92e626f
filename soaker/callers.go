package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/imitator"
)

// work is one thing that a caller wants done.
type work struct {
	name  string
	path  string
	read  bool
	key   string // key is empty for a call that is made once.
	pairs bool   // pairs makes two attempts at the same time.
}

const (
	maxTries    = 8
	retryPause  = 150 * time.Millisecond
	callTimeout = 12 * time.Second
)

// call starts works at the soak's rate until the context ends, and waits for
// all of them.
func (s *Soak) call(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 32))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	var works sync.WaitGroup
	defer works.Wait()
	next := time.Now()
	for n := 1; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		w := drawWork(random, n)
		r := rand.New(rand.NewPCG(s.Seed, uint64(n)<<8))
		s.mu.Lock()
		s.report.Works++
		s.mu.Unlock()
		works.Go(func() { (&caller{soak: s, work: w, client: client, random: r}).run(context.WithoutCancel(ctx)) })
	}
}

// drawWork draws reads, works with a key that carries its time, works with a
// plain key, and works without a key.
func drawWork(random *rand.Rand, n int) work {
	w := work{name: fmt.Sprintf("%s%d", experimenter.NonIdempotentWork, n), path: fmt.Sprintf("/holds/%d", n)}
	if random.IntN(3) == 0 {
		w.path = fmt.Sprintf("/deposits/%d", n)
	}
	switch draw := random.IntN(10); {
	case draw < 3:
		return work{name: fmt.Sprintf("read-%d", n), path: fmt.Sprintf("/catalogue/%d", n), read: true}
	case draw < 4:
		return w
	case draw < 5:
		w.key = w.name
	default:
		w.key = ulid.Make().String()
	}
	w.pairs = random.IntN(4) == 0
	return w
}

type caller struct {
	soak   *Soak
	work   work
	client *http.Client
	random *rand.Rand
}

// run makes attempts through any instance, with the same key, until the work is
// done, as a patient caller does. While every answer was that nothing ran, it
// takes a new key each time: a false NotRun then shows as doubled work.
func (c *caller) run(ctx context.Context) {
	tries := maxTries
	if c.work.key == "" && !c.work.read {
		tries = 1
	}
	onlyNotRun := !c.work.pairs && !c.work.read
	for n := 1; n <= tries; n++ {
		if n == 1 && c.work.pairs {
			var other sync.WaitGroup
			instance, attempt := c.pick(), c.soak.ledger.next(c.work)
			other.Go(func() { c.attempt(ctx, instance, attempt) })
			defer other.Wait()
		}
		outcome := c.attempt(ctx, c.pick(), c.soak.ledger.next(c.work))
		if outcome == hemlocktally.OutcomeDone {
			return
		}
		onlyNotRun = onlyNotRun && outcome == hemlocktally.OutcomeNotRun
		if onlyNotRun {
			c.work.key = ulid.Make().String()
			tries = maxTries
		}
		time.Sleep(retryPause + time.Duration(c.random.Int64N(int64(retryPause)*int64(n))))
	}
	c.soak.mu.Lock()
	defer c.soak.mu.Unlock()
	c.soak.report.Abandoned++
}

// pick draws an instance that the platform's balancer would choose.
func (c *caller) pick() *slot {
	s := c.soak
	s.mu.Lock()
	defer s.mu.Unlock()
	at := c.random.IntN(len(s.slots))
	for i := range s.slots {
		x := s.slots[(at+i)%len(s.slots)]
		if !x.gone && s.daemon(x).Accepting() {
			return x
		}
	}
	return s.slots[len(s.slots)-1]
}

func (c *caller) attempt(ctx context.Context, x *slot, a *attempt) hemlocktally.Outcome {
	s := c.soak
	method := http.MethodPost
	if c.work.read {
		method = http.MethodGet
	}
	s.mu.Lock()
	address := s.daemon(x).Self().CallerAddress
	s.mu.Unlock()
	body := "body of " + c.work.name
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.work.path, strings.NewReader(body))
	if err != nil {
		return ""
	}
	request.Header.Set(imitator.HeaderWork, a.name)
	if c.work.key != "" {
		request.Header.Set(hemlocktally.HeaderIdempotencyKey, c.work.key)
	}
	a.began = time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		c.cut(x, a, err)
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		c.cut(x, a, err)
		return ""
	}
	a.outcome = hemlocktally.Outcome(response.Header.Get(hemlocktally.HeaderOutcome))
	a.ended = time.Now()
	c.read(response, a, method, body, string(answer))
	return a.outcome
}

// read checks an answer and counts it.
func (c *caller) read(response *http.Response, a *attempt, method, body, answer string) {
	s := c.soak
	if a.outcome == hemlocktally.OutcomeDone && response.StatusCode < http.StatusInternalServerError {
		head, rest, _ := strings.Cut(answer, "\n")
		prefix := method + " " + c.work.path + " " + c.work.name + "#"
		ranAs, isOwn := strings.CutPrefix(head, prefix)
		if !isOwn || rest != body {
			s.broke(&s.report.Wrong, 1, fmt.Sprintf("work %s got the answer %q", a.name, answer))
		}
		a.ranAs = c.work.name + "#" + ranAs
	}
	var refusal hemlocktally.Refusal
	refused := a.outcome != hemlocktally.OutcomeDone && json.Unmarshal([]byte(answer), &refusal) == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		s.report.Reasons[string(refusal.Outcome)+" "+string(refusal.Reason)]++
	}
	switch a.outcome {
	case hemlocktally.OutcomeDone:
		s.report.Done++
		if a.ranAs != a.name {
			s.report.Replayed++
		}
	case hemlocktally.OutcomeNotRun:
		s.report.NotRun++
	default:
		s.report.Unknown++
	}
}

// cut counts an attempt that brought no whole answer. Only crashes, pauses and
// broken answers of targets explain one.
func (c *caller) cut(x *slot, a *attempt, cause error) {
	a.ended = time.Now()
	s := c.soak
	s.mu.Lock()
	s.report.Broken++
	planned := x.stopping && !x.crashed
	halted := x.halted
	s.mu.Unlock()
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(cause, &timeout) && timeout.Timeout()
	counter := &s.report.Cut
	if halted {
		counter = &s.report.CutPaused
	}
	if planned && !timedOut {
		s.broke(counter, 1, fmt.Sprintf("attempt %s at stopping instance %d: %v", a.name, x.index+1, cause))
	}
}
