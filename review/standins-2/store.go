package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// storePage is the number of items in one answer to a range read.
const storePage = 50

// item is one key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store. Each instance reaches it at an address of its own, so
// that its connections can be told apart.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	leases   map[uint64]lease
	nextID   uint64
	changed  chan struct{}
	watches  map[string][]time.Time // watches holds, by instance, when watches of the targets began.
	conns    map[string]map[net.Conn]bool
	cutUntil map[string]time.Time // cutUntil is until when an instance is partitioned from the store.
}

func newStore() *store {
	return &store{
		items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{}), revision: 1,
		watches: map[string][]time.Time{}, conns: map[string]map[net.Conn]bool{}, cutUntil: map[string]time.Time{},
	}
}

// serve answers one instance and returns the address.
func (s *store) serve(ctx context.Context, instance string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.read)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(instance, w, r) })
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{lease}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{lease}", s.endCall)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	}), ConnState: func(c net.Conn, state http.ConnState) { s.track(instance, c, state) }}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (s *store) track(instance string, c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew && time.Now().Before(s.cutUntil[instance]) {
		resetConn(c)
		return
	}
	if s.conns[instance] == nil {
		s.conns[instance] = map[net.Conn]bool{}
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns[instance], c)
		return
	}
	s.conns[instance][c] = true
}

// cut partitions an instance from the store for a while: its connections are reset, new ones too.
// It returns how many were open.
func (s *store) cut(instance string, span time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutUntil[instance] = time.Now().Add(span)
	for c := range s.conns[instance] {
		resetConn(c)
	}
	return len(s.conns[instance])
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// busiestReader returns the instance that watched the targets most often since the given time.
func (s *store) busiestReader(since time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, most := "", 0
	for instance, times := range s.watches {
		n := 0
		for _, at := range times {
			if at.After(since) {
				n++
			}
		}
		if n > most {
			best, most = instance, n
		}
	}
	return best
}

// put writes a key without a condition and returns when the store has done so.
func (s *store) put(key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, base64.StdEncoding.EncodeToString([]byte(value)), 0)
	return time.Now()
}

// remove removes a key and returns when the store has done so.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
	return time.Now()
}

// holders returns the hub's entries, for the record.
func (s *store) hubs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var names []string
	for key, it := range s.items {
		if strings.HasPrefix(key, "hemlocktally/hubs/") {
			value, _ := base64.StdEncoding.DecodeString(it.Value)
			var hub struct{ ID string }
			_ = json.Unmarshal(value, &hub)
			names = append(names, hub.ID)
		}
	}
	slices.Sort(names)
	return names
}

func (s *store) set(key, value string, leaseID uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if known, ok := s.items[key]; ok {
		it.Created = known.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	s.wake()
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "storeRevision": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > storePage
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), storePage)], "hasMore": more, "storeRevision": s.revision})
}

func (s *store) watch(instance string, w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "after and waitMs must be whole numbers"})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	if prefix == "servers/" {
		s.mu.Lock()
		s.watches[instance] = append(s.watches[instance], time.Now())
		s.mu.Unlock()
	}
	for {
		s.mu.Lock()
		s.expire()
		found := []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				found = append(found, event)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": []any{}, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key, Value string
			Lease      uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	present, met := []item{}, true
	for _, condition := range in.Expect {
		it, ok := s.items[condition.Key]
		if ok {
			present = append(present, it)
		}
		met = met && it.Revision == condition.Revision
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, put := range in.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
			return
		}
	}
	for _, put := range in.Puts {
		s.set(put.Key, put.Value, put.Lease)
	}
	for _, key := range in.Remove {
		s.drop(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL string `json:"ttl_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&in)
	ttl, parseErr := time.ParseDuration(in.TTL)
	if err != nil || parseErr != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "ttl_time"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_time": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if err != nil || !ok {
		reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
		return
	}
	s.leases[id] = lease{ttl: l.ttl, end: time.Now().Add(l.ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *store) endCall(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; err != nil || !ok {
		reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
