package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in of one upstream: it runs slots requests at once, queues a few,
// reports its load, registers itself in the store and notes what it ran.
type upstream struct {
	service, zone string
	slots         int
	queue         int
	coldStart     time.Duration
	// work returns how long a request of the path takes and how many bytes its answer has.
	work func(path string) (time.Duration, int)
	// breakOff reports whether the answer to a request breaks off halfway.
	breakOff func(r *http.Request) bool
	record   *record
	store    *store

	mu        sync.Mutex
	id        string
	address   string
	started   time.Time
	coldUntil time.Time
	draining  bool
	drainedAt time.Time // drainedAt is when the store accepted that it drains.
	running   int
	waiting   int
	sequence  int
	free      chan struct{}
	server    *http.Server
	stop      chan struct{}
	arrived   []arrival
}

// arrival is a request that reached an upstream.
type arrival struct {
	request string
	at      time.Time
	cold    bool
	refused bool
}

var incarnations struct {
	sync.Mutex
	n int
}

func newID() string {
	incarnations.Lock()
	defer incarnations.Unlock()
	incarnations.n++
	return fmt.Sprintf("i-%08x", 0x51a0_0000+incarnations.n)
}

// start begins a new incarnation. cold says that it starts during traffic.
func (u *upstream) start(cold bool) error {
	address := u.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.id, u.address, u.started, u.sequence = newID(), listener.Addr().String(), time.Now(), 0
	u.coldUntil = time.Time{}
	if cold {
		u.coldUntil = u.started.Add(u.coldStart)
	}
	u.running, u.waiting, u.draining, u.drainedAt = 0, 0, false, time.Time{}
	u.free, u.stop = make(chan struct{}, u.slots), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.health)
	mux.HandleFunc("/", u.handle)
	u.server = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	server, stop := u.server, u.stop
	u.mu.Unlock()
	u.record.add("upstream %s (%s, %s at %s) starts, cold %v", u.id, u.service, u.zone, u.address, cold)
	go func() { _ = server.Serve(listener) }()
	u.beat()
	go func() {
		ticker := time.NewTicker(1500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				u.beat()
			case <-stop:
				return
			}
		}
	}()
	return nil
}

// crash ends the incarnation: its connections break off. Its entry is removed by the
// platform after three heartbeats of silence, or earlier if it starts again.
func (u *upstream) crash() {
	u.mu.Lock()
	id := u.id
	close(u.stop)
	server := u.server
	u.mu.Unlock()
	_ = server.Close()
	u.record.add("upstream %s crashes", id)
}

// beat writes the upstream's entry.
func (u *upstream) beat() {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	left := max(0, time.Until(u.coldUntil).Milliseconds())
	entry, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"coldRemaining": fmt.Sprintf("%dms", left), "seq": u.sequence, "born": u.started.UnixMilli(),
	})
	id := u.id
	u.mu.Unlock()
	u.store.put("servers/"+id, entry)
}

// drain reports that the upstream leaves. It goes on serving.
func (u *upstream) drain() {
	u.mu.Lock()
	u.draining = true
	u.mu.Unlock()
	u.beat()
	u.mu.Lock()
	u.drainedAt = time.Now()
	u.mu.Unlock()
	u.record.add("upstream %s drains: acknowledged by the store", u.id)
}

// leave ends the incarnation: it has drained, and its entry is removed.
func (u *upstream) leave() {
	u.mu.Lock()
	id, server := u.id, u.server
	close(u.stop)
	u.mu.Unlock()
	u.store.remove("servers/" + id)
	_ = server.Close()
	u.record.add("upstream %s has left", id)
}

func (u *upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.draining
}

func (u *upstream) isCold() (bool, time.Duration) {
	left := time.Until(u.coldUntil)
	return left > 0, left
}

func (u *upstream) loadHeader(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots))
}

func (u *upstream) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", u.id)
	if cold, left := u.isCold(); cold {
		w.Header().Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	u.loadHeader(w.Header())
	if u.isDraining() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *upstream) handle(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	milliseconds, _ := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	deadline := time.Now().Add(time.Duration(milliseconds * float64(time.Millisecond)))
	cold, _ := u.isCold()
	if !u.admit() {
		u.note(request, cold, true)
		w.Header().Set("Not-Executed", "1")
		u.loadHeader(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.note(request, cold, false)
	u.record.add("request %s reaches upstream %s", request, u.id)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case u.free <- struct{}{}:
	case <-timer.C:
		u.leaveQueue()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		u.leaveQueue()
		u.record.add("request %s leaves the queue of upstream %s: its connection has closed", request, u.id)
		return
	}
	u.mu.Lock()
	u.waiting--
	u.running++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
		<-u.free
	}()
	u.run(w, r, request)
}

func (u *upstream) run(w http.ResponseWriter, r *http.Request, request string) {
	work, size := u.work(r.URL.Path)
	if cold, _ := u.isCold(); cold {
		work *= 2
	}
	u.record.add("request %s runs at upstream %s", request, u.id)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		u.record.add("request %s stops at upstream %s: its connection has closed", request, u.id)
		return
	}
	if u.isDraining() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Response-Seal", sealOf(u.id, request))
	u.loadHeader(w.Header())
	w.Header().Set("Content-Length", strconv.Itoa(size))
	body := bodyOf(request, size)
	if u.breakOff != nil && u.breakOff(r) {
		_, _ = w.Write(body[:size*7/8])
		_ = http.NewResponseController(w).Flush()
		u.record.add("request %s: upstream %s breaks its answer off", request, u.id)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
	u.record.add("request %s done at upstream %s", request, u.id)
}

func (u *upstream) admit() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting >= u.queue {
		return false
	}
	u.waiting++
	return true
}

func (u *upstream) leaveQueue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
}

func (u *upstream) note(request string, cold, refused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrived = append(u.arrived, arrival{request: request, at: time.Now(), cold: cold, refused: refused})
}

func sealOf(id, request string) string { return "3e1b." + id + "." + request }

// bodyOf returns the answer of a request: its ID again and again.
func bodyOf(request string, size int) []byte {
	return bytes.Repeat([]byte(request+"\n"), size/(len(request)+1)+1)[:size]
}
