package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the disruption: two upstreams of six spoil some of their answers, twice.
const (
	spoiledShare = 0.02
	spoilFor     = 5 * time.Second
	spoilTimes   = 2
	faultyCount  = 2
	// lostAllowed is how many requests may be lost by the rule LOST.
	lostAllowed = 3
	// sentAhead is how many requests a client sends before the first one has its answer.
	sentAhead = 4
)

// spoiled is an answer that is no response in the protocol: its status is none. It is otherwise
// whole and names its request.
const spoiled = "HTTP/1.1 020 OK\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"

// status lets an upstream answer with bytes that are no response, to clients that send further
// requests before they have the first answer. It checks the rule LOST.
func status(d *deployment) error {
	zones := []string{"steyr", "wels", "gmunden"}
	spec := serviceSpec{name: "register", coldPerS: 17, routeType: "safe", timeout: "1500ms", target: "400ms", attempts: 2, host: "demi25.example", path: "/tiba612/"}
	d.store.put("op/config", configuration(7, spec))
	var upstreams []*upstream
	const total = 6
	for n := range total {
		u := &upstream{
			id: fmt.Sprintf("i-%08x", n), service: spec.name, zone: zones[n%len(zones)], slots: 6, queue: 12,
			work: 80 * time.Millisecond, coldFactor: 2, log: d.log,
		}
		upstreams = append(upstreams, u)
		if err := u.start(d.ctx, d.store); err != nil {
			return err
		}
	}
	if err := d.startFleet(zones, 2); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	callers := &clients{host: spec.host, path: spec.path, method: http.MethodGet, deadline: 1500 * time.Millisecond, pause: 60 * time.Millisecond, log: d.log}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	const clientsEach = 3
	for _, i := range d.fleet.instances {
		for range clientsEach {
			group.Go(func() { callers.pipeline(ctx, i) })
		}
	}
	if err := d.rest(5 * time.Second); err != nil {
		return err
	}
	for range spoilTimes {
		for _, u := range upstreams[:faultyCount] {
			if d.trouble {
				u.spoil(spoiledShare)
				d.log.note("%s spoils %.0f in 100 of its answers for %s", u.id, 100*spoiledShare, spoilFor)
			}
		}
		if err := d.rest(spoilFor); err != nil {
			return err
		}
		for _, u := range upstreams[:faultyCount] {
			u.spoil(0)
		}
		if err := d.rest(4 * time.Second); err != nil {
			return err
		}
	}
	cancel()
	group.Wait()
	d.log.requests(callers, upstreams)
	lost := judgeLost(d, callers, upstreams[:faultyCount], upstreams[faultyCount:])
	count := 0
	for _, u := range upstreams {
		count += u.spoiledCount()
	}
	d.log.note("%s; %d answers were spoiled, %d requests lost that only sound upstreams got", callers.summary(), count, lost)
	for _, i := range d.fleet.instances {
		for _, line := range d.fleet.lines(i, "panic serving") {
			d.log.detail("%s says: %s", i.name, line)
		}
	}
	if lost > lostAllowed {
		return fmt.Errorf("%w: LOST: %d requests from kept connections were passed on to sound upstreams and have no answer", errBroken, lost)
	}
	return nil
}

// judgeLost counts the requests without an answer that reached sound upstreams alone.
func judgeLost(d *deployment, callers *clients, faulty, sound []*upstream) int {
	reached := map[string]string{}
	for _, u := range sound {
		for _, a := range u.seen() {
			reached[a.id] = u.id
		}
	}
	for _, u := range faulty {
		for _, a := range u.seen() {
			delete(reached, a.id)
		}
	}
	lost := 0
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for _, o := range callers.outcomes {
		if o.status == 0 && o.kept && reached[o.id] != "" {
			lost++
			d.log.detail("lost: %s sent to %s at %.3f, run by %s", o.id, o.instance, d.log.at(o.sent), reached[o.id])
		}
	}
	return lost
}

// pipeline lets one client send several requests at a time, on a kept connection, until the
// context ends.
func (c *clients) pipeline(ctx context.Context, i *instance) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", i.callers, time.Second)
		if err != nil {
			time.Sleep(c.pause)
			continue
		}
		reader := bufio.NewReader(conn)
		for kept := false; ctx.Err() == nil; kept = true {
			if err := c.exchange(conn, reader, i, kept); err != nil {
				break
			}
			time.Sleep(c.pause)
		}
		_ = conn.Close()
	}
}

// exchange sends requests and reads their answers. It returns an error if the connection can't be
// used again.
func (c *clients) exchange(conn net.Conn, reader *bufio.Reader, i *instance, kept bool) error {
	var text strings.Builder
	open := make([]outcome, 0, sentAhead)
	c.mu.Lock()
	for range sentAhead {
		c.next++
		id := fmt.Sprintf("%016x", c.next)
		_, _ = fmt.Fprintf(&text, "GET %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", c.path, id, c.host, id, c.deadline.Milliseconds())
		open = append(open, outcome{id: id, instance: i.name, sent: time.Now(), kept: kept})
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes = append(c.outcomes, open...)
	}()
	_ = conn.SetDeadline(time.Now().Add(2 * c.deadline))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return err
	}
	for n := range open {
		o := &open[n]
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			o.took = time.Since(o.sent)
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		o.took = time.Since(o.sent)
		if err != nil {
			return err
		}
		o.status = response.StatusCode
		o.sealed = response.Header.Get("Response-Seal") == strconv.Itoa(len(body))
		if response.Close {
			// What was sent behind it counts as not read.
			open = open[:n+1]
			return errClosed
		}
	}
	return nil
}

// errClosed says that an answer was the last one of its connection.
var errClosed = errors.New("the connection is closed")
