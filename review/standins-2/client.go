package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// outcome is how one client attempt ended.
type outcome struct {
	id       string
	instance string
	sent     time.Time
	took     time.Duration
	status   int // status is 0 if the connection ended without an answer.
	sealed   bool
	kept     bool // kept is set if the connection had carried requests before.
}

// sending is when and to which instance a request was sent.
type sending struct {
	instance string
	at       time.Time
}

// clients send requests, each on a kept connection of its own, one after the other.
type clients struct {
	host, path, method string
	deadline           time.Duration
	pause              time.Duration // pause is how long a client rests after an answer.
	log                *record

	mu       sync.Mutex
	outcomes []outcome
	requests map[string]sending // requests holds what was sent, by ID.
	next     int
}

// run lets n clients of an instance send until the context ends.
func (c *clients) run(ctx context.Context, group *sync.WaitGroup, i *instance, n int) {
	for range n {
		transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
		group.Go(func() {
			defer transport.CloseIdleConnections()
			for ctx.Err() == nil {
				wait := c.send(transport, i)
				select {
				case <-ctx.Done():
				case <-time.After(c.pause + wait):
				}
			}
		})
	}
}

// send sends one request and returns how long the client is told to wait.
func (c *clients) send(transport *http.Transport, i *instance) time.Duration {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%016x", c.next)
	if c.requests == nil {
		c.requests = map[string]sending{}
	}
	c.requests[id] = sending{instance: i.name, at: time.Now()}
	c.mu.Unlock()
	var body io.Reader = http.NoBody
	if c.method != http.MethodGet {
		body = bytes.NewReader([]byte("request " + id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+i.callers+c.path+id, body)
	if err != nil {
		return 0
	}
	request.Host = c.host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	done := outcome{id: id, instance: i.name, sent: time.Now()}
	wait := time.Duration(0)
	response, err := transport.RoundTrip(request)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			done.status = response.StatusCode
			done.sealed = response.Header.Get("Response-Seal") == strconv.Itoa(len(text))
		}
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(seconds*float64(time.Second)), c.deadline/3)
		}
	}
	done.took = time.Since(done.sent)
	c.mu.Lock()
	c.outcomes = append(c.outcomes, done)
	c.mu.Unlock()
	return wait
}

// summary counts the outcomes by status.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, o := range c.outcomes {
		counts[o.status]++
	}
	return fmt.Sprint("answers by status (0: none): ", counts)
}

// instanceOf returns the instance to which a request was sent.
func (c *clients) instanceOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id].instance
}

// sentAt returns when a request was sent.
func (c *clients) sentAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id].at
}
