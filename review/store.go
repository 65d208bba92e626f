package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeItem is one key of the store.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store; its keys are removed when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It
// answers every call in about 4 ms and is never down.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeItem
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
}

const storeDelay = 4 * time.Millisecond

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, leases: map[int64]*lease{}, nextID: 7000, changed: make(chan struct{})}
}

// serve listens on a loopback port and returns its address. While refused is set, it turns
// every call away with 503.
func (s *store) serve(refused *atomic.Bool) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Load() {
			time.Sleep(storeDelay)
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// put writes a key on behalf of the operator or an upstream and returns its revision.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, value, 0)
}

// remove deletes a key on behalf of the operator or an upstream.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) write(key string, value []byte, leaseID int64) int64 {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.record(item)
	return s.revision
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(event storeItem) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "created": item.Created, "lease": item.Lease, "storeRevision": revision,
	})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	const page = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > page
	if more {
		items = items[:page]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, changed := s.since(query.Get("prefix"), after)
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []storeItem{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after int64) ([]storeItem, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []storeItem
	start := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
	for _, event := range s.events[start:] {
		if strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

type transaction struct {
	Expect []struct {
		Key      string  `json:"key"`
		Revision float64 `json:"revision"`
	} `json:"expect"`
	Puts []struct {
		Key   string  `json:"key"`
		Value []byte  `json:"value"`
		Lease float64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []storeItem{}
	for _, expected := range t.Expect {
		item, ok := s.items[expected.Key]
		if ok {
			current = append(current, item)
		}
		met = met && item.Revision == int64(expected.Revision)
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range t.Puts {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if put.Lease != 0 && s.leases[int64(put.Lease)] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, put := range t.Puts {
		s.write(put.Key, put.Value, int64(put.Lease))
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

type leaseBody struct {
	Lease int64  `json:"lease,omitempty"`
	TTL   string `json:"ttl_time"`
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	s.mu.Unlock()
	time.Sleep(storeDelay)
	reply(w, http.StatusOK, leaseBody{Lease: id, TTL: fmt.Sprintf("%dms", ttl.Milliseconds())})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	time.Sleep(storeDelay)
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, leaseBody{TTL: fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	time.Sleep(storeDelay)
	if !s.expire(id) {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// expire ends a lease and removes its keys. It reports whether the lease existed.
func (s *store) expire(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.drop(key)
		}
	}
	return true
}
