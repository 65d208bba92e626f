package imitator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// UpstreamFaults are the faults of an Upstream.
type UpstreamFaults struct {
	Pace       float64 // Pace is how much longer work takes than usual; zero means as usual.
	Shed       bool    // Shed turns every request away as not run.
	LoseAnswer bool    // LoseAnswer runs requests and cuts their connections.
	Foreign    bool    // Foreign answers with the ID of another request.
	// Leaving says in each answer that the upstream leaves. It is no part of its
	// entry, which goes on saying that it is ready.
	Leaving bool
	// Limit is the limit that each answer names, in requests a second; "" for none.
	Limit string
	// StayAway turns every request away and wants nothing of the asker for so long.
	StayAway time.Duration
	// ResetFull resets the connection of a request that finds no place in the queue.
	ResetFull bool
	// CrashPath is the path of requests that, without a body, crash the upstream at the end of
	// their work; "" for none.
	CrashPath string
	// Bytes is what else than plain answers comes over the connections.
	Bytes UpstreamBytes
}

func (f UpstreamFaults) nameLimit(header http.Header) {
	header.Del("Server-Limit")
	if f.Limit != "" {
		header.Set("Server-Limit", f.Limit)
	}
}

// NamesLimit reports whether an answer of an Upstream names a limit.
func NamesLimit(header http.Header) bool { return header.Get("Server-Limit") != "" }

// Arrival is a request that came to an Upstream.
type Arrival struct {
	ID string
	At time.Time
}

// Upstream imitates a target of the users' platform: it runs Slots requests at
// once, queues a few, reports its load, registers itself in a Directory, and
// keeps what it ran.
type Upstream struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Queue   int           // Queue is how many requests wait; one more is never answered.
	Work    time.Duration // Work is how long a request takes.
	// Version is the version in its entry; "" means v1.
	Version string
	// Registered is the address in its entry, where that is not its own.
	Registered string

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{}
	runs     map[string]int
	once     map[string]int // once counts the runs of requests that must not be repeated.
	faults   UpstreamFaults
	draining bool
	address  string
	sequence int
	started  int64
	arrivals []Arrival
	crash    context.CancelCauseFunc // crash ends the current Start without an answer to anyone.
	late     int                     // late counts requests that came after the upstream should have been left.
	leftBy   time.Time
}

// Start serves on the listener until the context ends or a request crashes the upstream, and
// registers.
func (u *Upstream) Start(ctx context.Context, listener net.Listener, d *Directory) error {
	ctx, crash := context.WithCancelCause(ctx)
	defer crash(nil)
	u.mu.Lock()
	u.crash, u.running, u.waiting = crash, 0, 0
	u.address, u.started = listener.Addr().String(), time.Now().UnixMilli()
	if u.Registered != "" {
		u.address = u.Registered
	}
	u.free = make(chan struct{}, u.Slots)
	u.runs, u.once = map[string]int{}, map[string]int{}
	u.mu.Unlock()
	u.Beat(d)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", u.health)
	mux.HandleFunc("/", u.work)
	return serve(ctx, listener, mux)
}

// Beat writes the upstream's entry.
func (u *Upstream) Beat(d *Directory) {
	u.mu.Lock()
	u.sequence++
	state := "ready"
	if u.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": u.Service, "address": u.address, "zone": u.Zone, "version": cmp.Or(u.Version, "v1"), "slots": u.Slots, "state": state,
		"coldRemaining": "0ms", "seq": u.sequence, "born": u.started,
	})
	u.mu.Unlock()
	if err == nil {
		d.Put("servers/"+u.ID, string(entry))
	}
}

// Drain reports that the upstream leaves. Requests that come later than the
// bound are counted by Late.
func (u *Upstream) Drain(d *Directory, bound time.Duration) {
	u.mu.Lock()
	u.draining, u.leftBy = true, time.Now().Add(bound)
	u.mu.Unlock()
	u.Beat(d)
}

// SetFaults puts faults in force from now on.
func (u *Upstream) SetFaults(faults UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// ChangeFaults changes some of the faults in force.
func (u *Upstream) ChangeFaults(change func(*UpstreamFaults)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.faults)
}

// Runs returns how often each request ran, by its ID.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for id, n := range u.runs {
		runs[id] = n
	}
	return runs
}

// UnrepeatableRuns returns how often each request with another method than GET
// ran, by its ID.
func (u *Upstream) UnrepeatableRuns() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.once))
	for id, n := range u.once {
		runs[id] = n
	}
	return runs
}

// Late returns how many requests came after the upstream should have been left.
func (u *Upstream) Late() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.late
}

// Arrivals returns how many requests came, health checks left aside.
func (u *Upstream) Arrivals() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

// ArrivalList returns the requests that came, in order, health checks left aside.
func (u *Upstream) ArrivalList() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// MostArrivals returns the most of the arrivals, which are in order, in any window of the given
// length that ends after the given time.
func MostArrivals(arrivals []Arrival, after time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, arrival := range arrivals {
		for arrival.At.Sub(arrivals[first].At) >= window {
			first++
		}
		if arrival.At.After(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// text is the body of the answer to a request.
func (u *Upstream) text(id, body string) string { return u.ID + " answers " + id + ": " + body }

// report writes the load header. The upstream is locked.
func (u *Upstream) report(header http.Header) {
	pace := 100
	if u.faults.Pace > 0 {
		pace = int(100 * u.faults.Pace)
	}
	if u.faults.Leaving {
		header.Set("Server-Leaving", "1")
	}
	u.faults.nameLimit(header)
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d,%d", u.running, u.waiting, u.Slots, pace))
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Instance-Id", u.ID)
	u.report(w.Header())
	if u.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) work(w http.ResponseWriter, r *http.Request) {
	if wanted := r.Header.Get("Expect-Instance"); wanted != "" && wanted != u.ID {
		w.Header().Set("Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	faults, hang := u.enter(id)
	faults.nameLimit(w.Header())
	switch {
	case faults.Bytes != BytesPlain:
		u.answerRaw(w, r, faults, string(body))
		return
	case faults.StayAway > 0:
		w.Header().Set("Retry-After", strconv.FormatFloat(faults.StayAway.Seconds(), 'f', 3, 64))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hang && faults.ResetFull:
		reset(w)
		return
	case faults.Shed:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hang:
		<-r.Context().Done()
		return
	}
	crashes := faults.CrashPath != "" && r.URL.Path == faults.CrashPath && len(body) == 0
	if !u.run(r, id, faults) {
		return
	}
	if crashes {
		u.crash(errCrashed)
		<-r.Context().Done()
		return
	}
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	u.answer(w, id, faults, string(body))
}

// enter counts a request in; hang is set where it finds no place in the queue.
func (u *Upstream) enter(id string) (faults UpstreamFaults, hang bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, Arrival{ID: id, At: time.Now()})
	if !u.leftBy.IsZero() && time.Now().After(u.leftBy) {
		u.late++
	}
	return u.faults, u.running >= u.Slots && u.waiting >= u.Queue
}

// run waits for a slot and works. It reports whether the work was finished.
func (u *Upstream) run(r *http.Request, id string, faults UpstreamFaults) bool {
	u.count(&u.waiting, 1)
	select {
	case u.free <- struct{}{}:
		u.count(&u.waiting, -1)
	case <-r.Context().Done():
		u.count(&u.waiting, -1)
		return false
	}
	defer func() { <-u.free }()
	u.count(&u.running, 1)
	defer u.count(&u.running, -1)
	u.mu.Lock()
	u.runs[id]++
	if r.Method != http.MethodGet {
		u.once[id]++
	}
	u.mu.Unlock()
	took := u.Work
	if faults.Pace > 0 {
		took = time.Duration(faults.Pace * float64(took))
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *Upstream) count(figure *int, by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*figure += by
}

func (u *Upstream) answer(w http.ResponseWriter, id string, faults UpstreamFaults, body string) {
	if faults.Foreign {
		id = strings.ToUpper(id) + "-other"
	}
	text := u.text(id, body)
	header := w.Header()
	header.Set("Request-Id", id)
	header.Set("Response-Seal", strconv.Itoa(len(text)))
	u.mu.Lock()
	u.report(header)
	u.mu.Unlock()
	_, _ = io.WriteString(w, text)
}
