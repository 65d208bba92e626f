package imitator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// PlatformFaults are the faults of the key-value service and instance list.
type PlatformFaults struct {
	Down             bool
	Delay            time.Duration
	LoseWriteAnswers float64       // LoseWriteAnswers is the share of writes whose answer is lost after they took effect.
	StaleReads       float64       // StaleReads is the share of reads that a lagging replica answers.
	ReplicaLag       time.Duration // ReplicaLag is how far that replica lags; zero means DefaultReplicaLag.
	ListLag          time.Duration // ListLag is how old the instance list is.
}

// PlatformCounters count the calls of the key-value service.
type PlatformCounters struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Refused uint64
}

// ListedInstance is one line of the instance list.
type ListedInstance struct {
	Name    string
	Service string // Service is empty for entry instances.
	Zone    string
	Address string
	Leaving bool
	Since   time.Time
}

// Platform imitates the platform's key-value service and its instance list.
// Its zero value is an empty, healthy platform.
type Platform struct {
	Seed uint64

	mu       sync.Mutex
	random   *rand.Rand
	entries  map[string]storedEntry
	past     map[string][]pastEntry // past holds the recent history of each key.
	removed  map[string]uint64      // removed holds the sequence at which a key went away.
	leases   map[string]*storedLease
	sequence uint64
	changed  chan struct{}
	faults   PlatformFaults
	counters PlatformCounters
	listed   map[string][]ListedInstance // listed holds the history of each name.
}

type storedEntry struct {
	Key     string
	Value   []byte
	Version uint64
	Lease   string `json:",omitempty"`

	sequence uint64
}

const maxValueBytes = 1 << 20

// Serve answers on the listener until the context ends.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	sweepContext, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.sweepLeases(sweepContext)
	return serve(ctx, listener, p.Handler())
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.faults = faults
	p.notify() // Waiting watches fail at once in an outage.
}

// Counters returns the calls counted so far.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// List puts a line into the instance list.
func (p *Platform) List(line ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if line.Since.IsZero() {
		line.Since = time.Now()
	}
	p.listed[line.Name] = append(p.listed[line.Name], line)
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv", p.call(false, p.get))
	mux.HandleFunc("PUT /kv", p.call(true, p.swap))
	mux.HandleFunc("DELETE /kv", p.call(true, p.remove))
	mux.HandleFunc("GET /list", p.call(false, p.list))
	mux.HandleFunc("GET /watch", p.call(false, p.watch))
	mux.HandleFunc("POST /lease", p.call(true, p.grant))
	mux.HandleFunc("PUT /lease", p.call(true, p.renew))
	mux.HandleFunc("DELETE /lease", p.call(true, p.revoke))
	mux.HandleFunc("GET /instances", p.instances)
	mux.HandleFunc("PUT /instances", p.putInstance)
	mux.HandleFunc("GET /imitator/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counters())
	})
	mux.HandleFunc("DELETE /imitator/lease", func(w http.ResponseWriter, r *http.Request) {
		p.EndLease(r.URL.Query().Get("ID"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT /imitator/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults PlatformFaults
		if readJSON(w, r, &faults) {
			p.SetFaults(faults)
		}
	})
	return mux
}

func (p *Platform) init() {
	if p.entries != nil {
		return
	}
	p.entries = map[string]storedEntry{}
	p.past = map[string][]pastEntry{}
	p.removed = map[string]uint64{}
	p.leases = map[string]*storedLease{}
	p.listed = map[string][]ListedInstance{}
	p.changed = make(chan struct{})
	p.random = rand.New(rand.NewPCG(p.Seed, 1))
}

// call wraps a handler with the faults and the count.
func (p *Platform) call(write bool, handler func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		delay, down, lose := p.admit(write, r.URL.Path == "/watch")
		time.Sleep(delay)
		if down {
			http.Error(w, "the key-value service is down", http.StatusServiceUnavailable)
			return
		}
		status, answer := handler(r)
		if lose {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, status, answer)
	}
}

func (p *Platform) admit(write, watch bool) (delay time.Duration, down, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	switch {
	case p.faults.Down:
		p.counters.Refused++
	case write:
		p.counters.Writes++
		lose = p.random.Float64() < p.faults.LoseWriteAnswers
	case watch:
		p.counters.Watches++
	default:
		p.counters.Reads++
	}
	return p.faults.Delay, p.faults.Down, lose
}
