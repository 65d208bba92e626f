package imitator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// PlatformFaults are the faults of the key-value service and instance list.
type PlatformFaults struct {
	Down             bool
	Delay            time.Duration
	LoseWriteAnswers float64       // LoseWriteAnswers is the share of writes whose answer is lost after they took effect.
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

type storedLease struct {
	ttl time.Duration
	end time.Time
}

const (
	maxValueBytes      = 1 << 20
	leaseSweepInterval = 20 * time.Millisecond
)

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
	p.faults = faults
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

type failure struct {
	Detail string
}

func (p *Platform) get(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	e, ok := p.entries[r.URL.Query().Get("Key")]
	if !ok {
		return http.StatusNotFound, failure{"no such key"}
	}
	return http.StatusOK, e
}

func (p *Platform) swap(r *http.Request) (int, any) {
	var in storedEntry
	if err := decode(r, &in); err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	if len(in.Value) > maxValueBytes {
		return http.StatusRequestEntityTooLarge, failure{"value over 1 MB"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	if in.Lease != "" && p.leases[in.Lease] == nil {
		return http.StatusNotFound, failure{"no such lease"}
	}
	present := p.entries[in.Key]
	if present.Version != in.Version {
		present.Key = in.Key
		return http.StatusConflict, present
	}
	p.sequence++
	in.Version = p.sequence
	in.sequence = p.sequence
	p.entries[in.Key] = in
	p.notify()
	return http.StatusOK, in
}

func (p *Platform) remove(r *http.Request) (int, any) {
	key := r.URL.Query().Get("Key")
	version, err := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	present, ok := p.entries[key]
	if !ok {
		return http.StatusNotFound, failure{"no such key"}
	}
	if present.Version != version {
		return http.StatusConflict, present
	}
	p.drop(key)
	return http.StatusOK, present
}

type listing struct {
	Entries  []storedEntry
	Sequence uint64
}

func (p *Platform) list(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	return http.StatusOK, p.below(r.URL.Query().Get("Prefix"))
}

func (p *Platform) below(prefix string) listing {
	out := listing{Sequence: p.sequence}
	for key, e := range p.entries {
		if strings.HasPrefix(key, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Key < out.Entries[j].Key })
	return out
}

// watch answers once anything below the prefix has changed, deletions included.
func (p *Platform) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	wait, err := strconv.ParseInt(query.Get("WaitMilliseconds"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		found := p.below(query.Get("Prefix"))
		changed := p.changed
		down := p.faults.Down
		p.mu.Unlock()
		if down {
			return http.StatusServiceUnavailable, failure{"the key-value service is down"}
		}
		if found.Sequence > after && p.touched(query.Get("Prefix"), after) {
			return http.StatusOK, found
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, found
		case <-r.Context().Done():
			return http.StatusOK, found
		}
	}
}

// touched reports whether a key below the prefix was written after the
// sequence. Deletions leave no entry, so they count for every prefix.
func (p *Platform) touched(prefix string, after uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := uint64(0)
	for key, e := range p.entries {
		if strings.HasPrefix(key, prefix) && e.sequence > after {
			return true
		}
		newest = max(newest, e.sequence)
	}
	return p.sequence > newest && p.sequence > after
}

func (p *Platform) grant(r *http.Request) (int, any) {
	var in struct{ TTLMilliseconds int64 }
	if err := decode(r, &in); err != nil || in.TTLMilliseconds <= 0 {
		return http.StatusBadRequest, failure{"a lease needs TTLMilliseconds"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := uuid.NewString()
	ttl := time.Duration(in.TTLMilliseconds) * time.Millisecond
	p.leases[id] = &storedLease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, struct{ ID string }{id}
}

func (p *Platform) renew(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	lease := p.leases[r.URL.Query().Get("ID")]
	if lease == nil {
		return http.StatusNotFound, failure{"no such lease"}
	}
	lease.end = time.Now().Add(lease.ttl)
	return http.StatusOK, struct{}{}
}

func (p *Platform) revoke(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.URL.Query().Get("ID")
	if p.leases[id] == nil {
		return http.StatusNotFound, failure{"no such lease"}
	}
	p.endLease(id)
	return http.StatusOK, struct{}{}
}

// EndLease lets the lease lapse now, whoever holds it.
func (p *Platform) EndLease(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.endLease(id)
}

func (p *Platform) sweepLeases(ctx context.Context) {
	ticker := time.NewTicker(leaseSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.mu.Lock()
			p.init()
			p.expire(now)
			p.mu.Unlock()
		}
	}
}

func (p *Platform) expire(now time.Time) {
	for id, lease := range p.leases {
		if now.After(lease.end) {
			p.endLease(id)
		}
	}
}

func (p *Platform) endLease(id string) {
	delete(p.leases, id)
	for key, e := range p.entries {
		if e.Lease == id {
			p.drop(key)
		}
	}
}

func (p *Platform) drop(key string) {
	p.sequence++
	delete(p.entries, key)
	p.notify()
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.init()
	asOf := time.Now().Add(-p.faults.ListLag)
	var lines []ListedInstance
	for _, history := range p.listed {
		for i := len(history) - 1; i >= 0; i-- {
			if !history[i].Since.After(asOf) {
				lines = append(lines, history[i])
				break
			}
		}
	}
	p.mu.Unlock()
	sort.Slice(lines, func(i, j int) bool { return lines[i].Name < lines[j].Name })
	writeJSON(w, http.StatusOK, lines)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var line ListedInstance
	if readJSON(w, r, &line) {
		p.List(line)
	}
}
