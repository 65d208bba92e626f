package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often an upstream writes its entry.
const heartbeat = 1500 * time.Millisecond

// arrival is a request that reached an upstream, health checks and 421 left aside.
type arrival struct {
	id   string
	at   time.Time
	cold bool // cold is set if the upstream was cold.
}

// upstream runs slots requests at once and queues some more. It registers itself in the store.
type upstream struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	coldFactor        float64 // coldFactor is how many times as long work takes while the upstream is cold.
	crashPerSecond    int     // crashPerSecond is the rate above which it crashes while it is cold; zero means never.
	log               *record

	mu        sync.Mutex
	store     *store
	address   string
	born      int64
	sequence  int
	running   int
	waiting   int
	free      chan struct{}
	leaving   bool
	silent    bool // silent is set once the upstream writes no entry any more.
	coldUntil time.Time
	arrivals  []arrival
	crashed   time.Time
	cut       int // cut counts the requests that were at work when it crashed.
	server    *http.Server
	runs      map[string]int
	spoils    float64 // spoils is the share of its answers that are no response.
	spoiled   int
}

// start serves on an own address and registers.
func (u *upstream) start(ctx context.Context, s *store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.store, u.address, u.born = s, listener.Addr().String(), time.Now().UnixMilli()
	u.free, u.runs = make(chan struct{}, u.slots), map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.health)
	mux.HandleFunc("/", u.serve)
	u.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = u.server.Close() })
	u.beat()
	go u.beats(ctx)
	return nil
}

func (u *upstream) beats(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.beat()
		}
	}
}

// beat writes the entry, unless the upstream has left or crashed.
func (u *upstream) beat() {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	silent := u.silent || !u.crashed.IsZero()
	entry, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"coldRemaining": fmt.Sprintf("%dms", max(0, time.Until(u.coldUntil).Milliseconds())), "seq": u.sequence, "born": u.born,
	})
	u.mu.Unlock()
	if !silent {
		u.store.put("servers/"+u.id, string(entry))
	}
}

// leave lets the upstream leave without a word: its entry is removed, and it serves on. It
// returns when the store had removed the entry.
func (u *upstream) leave() time.Time {
	u.mu.Lock()
	u.leaving, u.silent = true, true
	u.mu.Unlock()
	return u.store.remove("servers/" + u.id)
}

// turnCold makes the upstream cold for a while.
func (u *upstream) turnCold(span time.Duration) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.coldUntil = now.Add(span)
	return now
}

func (u *upstream) isCold(now time.Time) bool { return now.Before(u.coldUntil) }

func (u *upstream) report(header http.Header) {
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots))
	if u.leaving {
		header.Set("Connection", "close")
	}
}

func (u *upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Instance-Id", u.id)
	if left := time.Until(u.coldUntil); left > 0 {
		w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds()+1, 10))
	}
	u.report(w.Header())
	if u.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if wanted := r.Header.Get("Expect-Instance"); wanted != "" && wanted != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	full := u.arrive(id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	limit, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		limit = 60000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(limit)*time.Millisecond)
	defer cancel()
	w.Header().Set("Request-Id", id)
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !u.run(ctx, id) {
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	if u.spoilsThis() {
		writeRaw(w, fmt.Sprintf(spoiled, id))
		return
	}
	text := u.id + " did " + id + " " + strconv.Itoa(len(body))
	u.mu.Lock()
	u.report(w.Header())
	u.mu.Unlock()
	w.Header().Set("Response-Seal", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// arrive records a request. It reports whether the queue is full, and crashes the upstream if
// it is cold and gets far too much.
func (u *upstream) arrive(id string) (full bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.arrivals = append(u.arrivals, arrival{id: id, at: now, cold: u.isCold(now)})
	if u.crashPerSecond > 0 && u.crashed.IsZero() && u.coldWithin(now, time.Second) > u.crashPerSecond {
		u.crashed, u.cut = now, u.running
		go func() { _ = u.server.Close() }()
	}
	return u.running >= u.slots && u.waiting >= u.queue
}

// coldWithin counts the arrivals of the last span that came while the upstream was cold.
func (u *upstream) coldWithin(now time.Time, span time.Duration) int {
	n := 0
	for i := len(u.arrivals) - 1; i >= 0 && now.Sub(u.arrivals[i].at) < span; i-- {
		if u.arrivals[i].cold {
			n++
		}
	}
	return n
}

// run waits for a slot and works. It reports whether the work was finished.
func (u *upstream) run(ctx context.Context, id string) bool {
	u.count(&u.waiting, 1)
	select {
	case u.free <- struct{}{}:
		u.count(&u.waiting, -1)
	case <-ctx.Done():
		u.count(&u.waiting, -1)
		return false
	}
	defer func() { <-u.free }()
	u.count(&u.running, 1)
	defer u.count(&u.running, -1)
	u.mu.Lock()
	u.runs[id]++
	took := u.work
	if u.isCold(time.Now()) {
		took = time.Duration(u.coldFactor * float64(took))
	}
	u.mu.Unlock()
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *upstream) count(figure *int, by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*figure += by
}

// seen returns the arrivals so far.
func (u *upstream) seen() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// allRuns returns how often each request was begun.
func (u *upstream) allRuns() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// spoil makes a share of the answers something that is no response.
func (u *upstream) spoil(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.spoils = share
}

func (u *upstream) spoilsThis() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if rand.Float64() >= u.spoils {
		return false
	}
	u.spoiled++
	return true
}

func (u *upstream) spoiledCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.spoiled
}

// writeRaw writes bytes in place of an answer and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}
