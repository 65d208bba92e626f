package imitator

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// DirectoryFaults are the faults of a Directory.
type DirectoryFaults struct {
	Busy      bool    // Busy answers every call with 503.
	Silent    bool    // Silent answers no call.
	LoseShare float64 // LoseShare is the share of writes that are done and not answered.
	Deaf      bool    // Deaf lets watches that wait hear nothing.
}

// Directory imitates the users' platform's metadata store by its published
// protocol. Its zero value is an empty, healthy store.
type Directory struct {
	mu       sync.Mutex
	items    map[string]directoryItem
	events   []directoryItem // events is the history, oldest first.
	dropped  uint64          // dropped is the revision up to which the history is gone.
	revision uint64
	leases   map[uint64]directoryLease
	nextID   uint64
	changed  chan struct{}
	faults   DirectoryFaults
	refused  map[string]bool
	calls    map[string]int
	lost     float64
	copy     directoryCopy
	era      uint64  // era counts the returns from a copy.
	namedEra *string // namedEra is what the header says in its place.
}

// directoryItem is one key as it goes over the wire.
type directoryItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type directoryLease struct {
	ttl time.Duration
	end time.Time
}

const directoryPage = 50 // directoryPage is how many items one answer holds.

// Serve answers on the listener until the context ends.
func (d *Directory) Serve(ctx context.Context, listener net.Listener) error {
	return serve(ctx, listener, d.Handler())
}

// Handler answers the calls of the protocol.
func (d *Directory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", d.guard("range", d.serveRange))
	mux.HandleFunc("GET /kv-watch", d.guard("watch", d.serveWatch))
	mux.HandleFunc("POST /kv-txn", d.guard("txn", d.serveTransaction))
	mux.HandleFunc("POST /kv-lease", d.guard("lease", d.serveLease))
	mux.HandleFunc("POST /kv-keep/{lease}", d.guard("keep", d.serveKeep))
	mux.HandleFunc("DELETE /kv-lease-end/{lease}", d.guard("end", d.serveEnd))
	return mux
}

// SetFaults puts faults in force from now on.
func (d *Directory) SetFaults(faults DirectoryFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// Refuse lets the store answer a caller's IP with 503, or no longer.
func (d *Directory) Refuse(ip string, refuse bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refused == nil {
		d.refused = map[string]bool{}
	}
	d.refused[ip] = refuse
}

// DropHistory forgets all changes up to now; what is stored stays.
func (d *Directory) DropHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropped, d.events = d.revision, nil
	d.wake()
}

// Calls returns how many calls of each kind came.
func (d *Directory) Calls() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := make(map[string]int, len(d.calls))
	for kind, n := range d.calls {
		calls[kind] = n
	}
	return calls
}

// Put writes a key without a condition, as operators and targets do.
func (d *Directory) Put(key, value string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(key, base64.StdEncoding.EncodeToString([]byte(value)), 0)
}

// Remove takes a key away.
func (d *Directory) Remove(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(key)
}

// Get returns the value of a key.
func (d *Directory) Get(key string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	item, ok := d.items[key]
	value, err := base64.StdEncoding.DecodeString(item.Value)
	return string(value), ok && err == nil
}

func (d *Directory) put(key, value string, lease uint64) {
	if d.items == nil {
		d.items = map[string]directoryItem{}
	}
	d.revision++
	item := directoryItem{Key: key, Value: value, Revision: d.revision, Created: d.revision, Lease: lease}
	if present, ok := d.items[key]; ok {
		item.Created = present.Created
	}
	d.items[key] = item
	d.events = append(d.events, item)
	d.wake()
}

func (d *Directory) remove(key string) {
	if _, ok := d.items[key]; !ok {
		return
	}
	delete(d.items, key)
	d.revision++
	d.events = append(d.events, directoryItem{Key: key, Revision: d.revision, Deleted: true})
	d.wake()
}

func (d *Directory) wake() {
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (d *Directory) expire() {
	for id, lease := range d.leases {
		if time.Now().After(lease.end) {
			d.endLease(id)
		}
	}
}

func (d *Directory) endLease(id uint64) {
	delete(d.leases, id)
	for key, item := range d.items {
		if item.Lease == id {
			d.remove(key)
		}
	}
}

// guard counts calls and applies the faults that concern all of them.
func (d *Directory) serveRange(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	d.revision = max(1, d.revision) // The counter starts above 0.
	found := []directoryItem{}
	for key, item := range d.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b directoryItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > directoryPage
	if more {
		found = found[:directoryPage]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "hasMore": more, "storeRevision": d.revision})
}

func (d *Directory) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "after and waitMs must be whole numbers"})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := d.eraNow()
	for {
		d.mu.Lock()
		if d.era != era {
			d.mu.Unlock()
			d.nameEra(w) // It is answered by the store that has come back.
			w.WriteHeader(http.StatusGone)
			return
		}
		d.expire()
		found := d.since(r.URL.Query().Get("prefix"), after)
		gone, deaf, revision := after < d.dropped || after > d.revision, d.faults.Deaf, d.revision
		if d.changed == nil {
			d.changed = make(chan struct{})
		}
		changed := d.changed
		d.mu.Unlock()
		d.nameEra(w)
		switch {
		case gone && !deaf:
			w.WriteHeader(http.StatusGone)
			return
		case len(found) > 0 && !deaf:
			writeJSON(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []any{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (d *Directory) since(prefix string, after uint64) []directoryItem {
	var found []directoryItem
	for _, event := range d.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			found = append(found, event)
		}
	}
	return found
}

func (d *Directory) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string
			Revision *uint64
		}
		Puts []struct {
			Key, Value string
			Lease      uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	present := []directoryItem{}
	met := true
	for _, condition := range in.Expect {
		item, ok := d.items[condition.Key]
		if ok {
			present = append(present, item)
		}
		if condition.Revision == nil || *condition.Revision != item.Revision {
			met = false
		}
	}
	if !met {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, put := range in.Puts {
		if _, ok := d.leases[put.Lease]; put.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range in.Puts {
		d.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range in.Remove {
		d.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": d.revision})
}

func (d *Directory) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leases == nil {
		d.leases = map[uint64]directoryLease{}
	}
	d.nextID++
	d.leases[d.nextID] = directoryLease{ttl: ttl, end: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": d.nextID, "ttl_time": in.TTL})
}

func (d *Directory) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	d.mu.Lock()
	defer d.mu.Unlock()
	lease, ok := d.leases[id]
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.end = time.Now().Add(lease.ttl)
	d.leases[id] = lease
	writeJSON(w, http.StatusOK, map[string]any{"ttl_time": lease.ttl.String()})
}

func (d *Directory) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.leases[id]; err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	d.endLease(id)
	w.WriteHeader(http.StatusOK)
}
