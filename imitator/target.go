package imitator

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hemlocktally"
)

// HeaderWork names one piece of work of a stand-in caller; a target counts how
// often it ran each.
const HeaderWork = "Work"

// TargetFaults are the faults of a target.
type TargetFaults struct {
	Slow        float64 // Slow multiplies the time of each call; zero means 1.
	Cold        bool    // Cold starts the target cold again when it is set.
	Draining    bool
	FailFast    bool          // FailFast answers at once with an error.
	BreakAnswer bool          // BreakAnswer cuts the connection in the middle of an answer.
	LoseAnswer  bool          // LoseAnswer runs the call and cuts the connection before the answer.
	LieIdle     bool          // LieIdle makes the load endpoint report an idle target.
	LoadLag     time.Duration // LoadLag makes the load endpoint report the past.
	SilentLinks bool          // SilentLinks silences the connections that are open when it is set.
}

// TargetCounters are what a target counted.
type TargetCounters struct {
	Started      uint64
	Completed    uint64
	Cancelled    uint64
	Shed         uint64
	Probes       uint64
	ColdBreaches uint64 // ColdBreaches counts calls above what it bears while cold.
	// ToldColdBreaches are the ColdBreaches of calls that arrived a moment after
	// an answer had said that the target is cold.
	ToldColdBreaches uint64
	MaxInFlight      int
	Connections      int
	RefusedLinks     uint64
	Doubled          uint64 // Doubled counts work that was started more than once.
	StartedByPath    map[string]uint64
}

// Target imitates one upstream: a few slots, a queue, a cold start. Its zero
// value serves with the default slots and a mean of 10 ms.
type Target struct {
	Name           string
	Seed           uint64
	Slots          int
	MaxConnections int
	QueueLimit     int           // QueueLimit bounds its queue; zero means 64.
	Mean           time.Duration // Mean is the mean time of a call; zero means 10 ms.
	Sigma          float64       // Sigma is the spread of the log-normal times; zero means 0.5.
	ColdCalls      int           // ColdCalls are needed to get warm; zero means 30.
	StartCold      bool

	once     sync.Once
	slots    chan struct{}
	mu       sync.Mutex
	random   *rand.Rand
	faults   TargetFaults
	counters TargetCounters
	inFlight int
	cold     int       // cold is how many more calls it needs to get warm.
	toldCold time.Time // toldCold is when an answer first said that it is cold.
	works    map[string]int
	links    map[*link]struct{}
}

const (
	targetQueueLimit = 64
	targetMean       = 10 * time.Millisecond
	targetSigma      = 0.5
	targetColdCalls  = 30
	coldBearable     = 1
	coldSlowdown     = 3.0
	collapseSlowdown = 12.0
	probeTime        = 6 * time.Millisecond
	toldGrace        = 50 * time.Millisecond // toldGrace is the time for an answer's word to reach the fleet.
)

func (t *Target) init() {
	t.once.Do(func() {
		setDefault(&t.Slots, hemlocktally.DefaultSlots)
		setDefault(&t.MaxConnections, hemlocktally.DefaultMaxConnections)
		setDefault(&t.QueueLimit, targetQueueLimit)
		setDefault(&t.Mean, targetMean)
		setDefault(&t.Sigma, targetSigma)
		setDefault(&t.ColdCalls, targetColdCalls)
		t.slots = make(chan struct{}, t.Slots)
		t.random = rand.New(rand.NewPCG(t.Seed, 2))
		t.works = map[string]int{}
		t.links = map[*link]struct{}{}
		t.counters.StartedByPath = map[string]uint64{}
		if t.StartCold {
			t.cold = t.ColdCalls
		}
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Serve answers on the listener until the context ends.
func (t *Target) Serve(ctx context.Context, listener net.Listener) error {
	t.init()
	return serve(ctx, &linkListener{Listener: listener, target: t}, t.Handler())
}

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(faults TargetFaults) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	if faults.Cold && !t.faults.Cold {
		t.cold = t.ColdCalls
		t.toldCold = time.Time{}
	}
	if faults.SilentLinks && !t.faults.SilentLinks {
		for l := range t.links {
			l.silence()
		}
	}
	t.faults = faults
}

// Counters returns what was counted so far.
func (t *Target) Counters() TargetCounters {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	counters := t.counters
	counters.Connections = len(t.links)
	counters.StartedByPath = map[string]uint64{}
	for path, n := range t.counters.StartedByPath {
		counters.StartedByPath[path] = n
	}
	return counters
}

// Runs returns how often the work was started.
func (t *Target) Runs(work string) int {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.works[work]
}

// Works returns how often each piece of work was started.
func (t *Target) Works() map[string]int {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.works))
	for work, n := range t.works {
		out[work] = n
	}
	return out
}

// Handler returns the HTTP interface: every path is work, but /load, /probe and
// those below /imitator/.
func (t *Target) Handler() http.Handler {
	t.init()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /probe", t.serveProbe)
	mux.HandleFunc("GET /imitator/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Counters())
	})
	mux.HandleFunc("PUT /imitator/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults TargetFaults
		if readJSON(w, r, &faults) {
			t.SetFaults(faults)
		}
	})
	mux.HandleFunc("/", t.serveWork)
	return mux
}

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	faults, ok := t.arrive()
	w.Header().Set(hemlocktally.HeaderCall, r.Header.Get(hemlocktally.HeaderCall))
	if !ok {
		t.leave()
		refuse(w, "shed")
		return
	}
	defer t.leave()
	state := t.state()
	w.Header().Set(hemlocktally.HeaderTargetState, string(state))
	if faults.FailFast {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		t.countCancelled()
		return
	}
	defer func() { <-t.slots }()
	t.start(r)
	if !t.run(r.Context(), faults, state) {
		return
	}
	t.answer(w, r, faults, body)
}

func refuse(w http.ResponseWriter, detail string) {
	w.Header().Set(hemlocktally.HeaderNotRun, "true")
	http.Error(w, detail, http.StatusServiceUnavailable)
}

// arrive counts a call in; it returns false where the call is shed.
func (t *Target) arrive() (TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	t.counters.MaxInFlight = max(t.counters.MaxInFlight, t.inFlight)
	if t.cold > 0 && t.inFlight > coldBearable {
		t.counters.ColdBreaches++
		if !t.toldCold.IsZero() && time.Since(t.toldCold) > toldGrace {
			t.counters.ToldColdBreaches++
		}
	}
	if t.inFlight > t.Slots+t.QueueLimit {
		t.counters.Shed++
		return t.faults, false
	}
	return t.faults, true
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *Target) countCancelled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Cancelled++
}

func (t *Target) state() hemlocktally.TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.faults.Draining:
		return hemlocktally.TargetDraining
	case t.cold > 0:
		return hemlocktally.TargetCold
	default:
		return hemlocktally.TargetWarm
	}
}

// start notes that a piece of work begins to run.
func (t *Target) start(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Started++
	t.counters.StartedByPath[r.URL.Path]++
	work := r.Header.Get(HeaderWork)
	if work == "" {
		return
	}
	t.works[work]++
	if t.works[work] > 1 {
		t.counters.Doubled++
	}
}

// run spends the time of one call; it returns false where the call is
// cancelled.
func (t *Target) run(ctx context.Context, faults TargetFaults, said hemlocktally.TargetState) bool {
	timer := time.NewTimer(t.duration(faults))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		t.countCancelled()
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Completed++
	if t.cold > 0 {
		t.cold--
		if t.toldCold.IsZero() && said == hemlocktally.TargetCold {
			t.toldCold = time.Now()
		}
	}
	return true
}

// duration draws the time of one call.
func (t *Target) duration(faults TargetFaults) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	mu := math.Log(float64(t.Mean)) - t.Sigma*t.Sigma/2
	d := math.Exp(mu + t.Sigma*t.random.NormFloat64())
	if faults.Slow > 0 {
		d *= faults.Slow
	}
	if t.cold > 0 {
		d *= coldSlowdown
		if t.inFlight > coldBearable {
			d *= collapseSlowdown / coldSlowdown
			t.cold = t.ColdCalls
		}
	}
	return time.Duration(d)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, faults TargetFaults, body []byte) {
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Target", t.Name)
	if size, err := strconv.Atoi(r.URL.Query().Get("Size")); err == nil {
		writeSized(w, size, faults)
		return
	}
	answer := []byte(r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get(HeaderWork) + "\n")
	answer = append(answer, body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if faults.BreakAnswer {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// writeSized answers with the given number of bytes in a known pattern.
func writeSized(w http.ResponseWriter, size int, faults TargetFaults) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, 32<<10)
	for i := range chunk {
		chunk[i] = byte('a' + i%26)
	}
	for sent := 0; sent < size; {
		if faults.BreakAnswer && sent >= size/2 {
			panic(http.ErrAbortHandler)
		}
		n := min(len(chunk), size-sent)
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		sent += n
	}
}

// LoadReport is what a target says of its own load.
type LoadReport struct {
	InFlight int
	Slots    int
	State    string
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	t.serveProbe(w, r)
}

func (t *Target) serveProbe(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.counters.Probes++
	report := LoadReport{InFlight: t.inFlight, Slots: t.Slots}
	faults := t.faults
	t.mu.Unlock()
	report.State = string(t.state())
	if faults.LieIdle {
		report = LoadReport{Slots: t.Slots, State: string(hemlocktally.TargetWarm)}
	}
	select {
	case <-time.After(probeTime + faults.LoadLag):
	case <-r.Context().Done():
		return
	}
	writeJSON(w, http.StatusOK, report)
}
