package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// traffic sends requests at a steady rate, each to an instance in rotation, and retries as
// the platform's clients do: a few times within the deadline, on a new connection, a request
// that must not be repeated only after a promise.
type traffic struct {
	fleet    *fleet
	record   *record
	method   string
	host     string
	path     string
	deadline time.Duration
	safe     bool
	retries  int
	paths    func(n int) string   // paths returns the path of the n-th request; nil means path.
	only     func(*instance) bool // only says which instances get requests; nil means all.
	count    int

	mu      sync.Mutex
	sent    map[string]time.Time // sent is when each request was sent, by its ID.
	to      map[string]string    // to is the instance to which it was sent.
	answers map[string]int       // answers counts how requests ended.
	wrong   []string
	clients map[string]*http.Client
	group   sync.WaitGroup
}

func newTraffic(f *fleet, host, path string, deadline time.Duration) *traffic {
	t := &traffic{
		fleet: f, record: f.record, method: http.MethodGet, host: host, path: path, deadline: deadline, safe: true, retries: 1,
		sent: map[string]time.Time{}, to: map[string]string{}, answers: map[string]int{}, clients: map[string]*http.Client{},
	}
	for _, i := range f.instances {
		t.clients[i.id] = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 32, DisableCompression: true, IdleConnTimeout: 12 * time.Second,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}}
	}
	return t
}

// run sends perSecond requests a second until the context ends, and waits for their ends.
func (t *traffic) run(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			t.group.Go(t.request)
		case <-ctx.Done():
		}
	}
	t.group.Wait()
}

// pick returns an instance in rotation other than the one given.
func (t *traffic) pick(not *instance) *instance {
	var list []*instance
	for _, i := range t.fleet.instances {
		if (t.only == nil || t.only(i)) && i.inRotation.Load() && i != not {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		list = t.fleet.instances
	}
	return list[rand.IntN(len(list))]
}

func (t *traffic) request() {
	end, path := time.Now().Add(t.deadline), t.path
	t.mu.Lock()
	t.count++
	if t.paths != nil {
		path = t.paths(t.count)
	}
	t.mu.Unlock()
	var last *instance
	for n := 0; n <= t.retries; n++ {
		last = t.pick(last)
		again, wait := t.try(last, path, end)
		if !again || time.Now().Add(wait).After(end) {
			return
		}
		time.Sleep(wait)
	}
}

// try sends one request with its own ID. It reports whether it may be retried, and after
// which time.
func (t *traffic) try(i *instance, path string, end time.Time) (again bool, wait time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	id, left := newRequestID(), time.Until(end)
	request, err := http.NewRequestWithContext(ctx, t.method, "http://"+i.front+path, nil)
	if err != nil {
		return false, 0
	}
	request.Host = t.host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	t.mu.Lock()
	t.sent[id], t.to[id] = time.Now(), i.id
	t.mu.Unlock()
	t.record.add("request %s is sent to %s", id, i.id)
	response, err := t.clients[i.id].Do(request)
	if err != nil {
		t.note(id, "no answer: "+shortCause(ctx, err))
		return t.safe, 10 * time.Millisecond
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		t.note(id, "an answer that ends early")
		return t.safe, 10 * time.Millisecond
	}
	t.note(id, strconv.Itoa(response.StatusCode))
	if response.StatusCode < 300 {
		t.check(id, response, body)
		return false, 0
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return true, min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3)
	}
	return t.safe && response.StatusCode >= 500, 10 * time.Millisecond
}

func shortCause(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "the deadline has passed"
	}
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+2:]
}

func (t *traffic) note(id, how string) {
	t.mu.Lock()
	t.answers[how]++
	t.mu.Unlock()
	t.record.add("request %s ends: %s", id, how)
}

func (t *traffic) check(id string, response *http.Response, body []byte) {
	wrong := ""
	switch {
	case response.Header.Get("Request-Id") != id:
		wrong = "the answer of another request"
	case !strings.HasSuffix(response.Header.Get("Response-Seal"), id):
		wrong = "no seal"
	case !bytes.Equal(body, bodyOf(id, len(body))):
		wrong = "another body"
	default:
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong = append(t.wrong, fmt.Sprintf("request %s: %s", id, wrong))
}

func (t *traffic) sentAt(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent[id]
}

func (t *traffic) sentTo(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.to[id]
}
