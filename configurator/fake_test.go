package configurator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"hemlocktally"
)

// fakeStore is an in-memory store whose faults are configured by its fields.
type fakeStore struct {
	mu           sync.Mutex
	random       *rand.Rand
	entries      map[string]hemlocktally.Entry
	previous     map[string]hemlocktally.Entry // previous holds the entries that stale reads return.
	version      hemlocktally.StoreVersion
	down         bool
	loseAnswer   float64 // loseAnswer is the fraction of writes whose answer is lost.
	loseRequest  float64 // loseRequest is the fraction of writes whose request is lost.
	staleReads   float64 // staleReads is the fraction of reads that return the previous version.
	writes       int
	writtenBytes int
}

func newStore(seed uint64) *fakeStore {
	return &fakeStore{
		random: rand.New(rand.NewPCG(seed, 3)), entries: map[string]hemlocktally.Entry{}, previous: map[string]hemlocktally.Entry{},
	}
}

const maxValueBytes = 1 << 20

// fail returns the error of an unanswered call.
func fail(operation, key string, unknown bool) error {
	return &hemlocktally.StoreError{Operation: operation, Key: key, Unknown: unknown, Cause: errors.New("no answer")}
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) Get(_ context.Context, key string) (hemlocktally.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return hemlocktally.Entry{}, fail("get", key, false)
	}
	entry, ok := s.entries[key]
	if s.random.Float64() < s.staleReads {
		entry, ok = s.previous[key]
	}
	if !ok {
		return hemlocktally.Entry{}, &hemlocktally.NotFoundError{Key: key}
	}
	return entry, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]hemlocktally.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, fail("list", prefix, false)
	}
	var list []hemlocktally.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, entry hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return 0, fail("swap", entry.Key, false)
	}
	if s.random.Float64() < s.loseRequest {
		return 0, fail("swap", entry.Key, true)
	}
	if len(entry.Value) > maxValueBytes {
		return 0, fail("swap", entry.Key, false)
	}
	present := s.entries[entry.Key]
	if present.Version != entry.Version {
		return 0, &hemlocktally.ConflictError{Current: present}
	}
	s.version++
	entry.Version = s.version
	if present.Version > 0 {
		s.previous[entry.Key] = present
	}
	s.entries[entry.Key] = entry
	s.writtenBytes += len(entry.Value)
	if s.random.Float64() < s.loseAnswer {
		return 0, fail("swap", entry.Key, true)
	}
	return entry.Version, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, version hemlocktally.StoreVersion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return fail("delete", key, false)
	}
	if s.entries[key].Version != version {
		return &hemlocktally.ConflictError{Current: s.entries[key]}
	}
	delete(s.entries, key)
	return nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]hemlocktally.Entry, uint64, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		version := uint64(s.version)
		s.mu.Unlock()
		if version > after || !time.Now().Before(deadline) || ctx.Err() != nil {
			list, err := s.List(ctx, prefix)
			return list, version, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *fakeStore) Grant(context.Context, time.Duration) (hemlocktally.Lease, error) {
	return hemlocktally.Lease{}, fail("grant", "", false)
}
func (s *fakeStore) Renew(context.Context, string) error  { return fail("renew", "", false) }
func (s *fakeStore) Revoke(context.Context, string) error { return fail("revoke", "", false) }

// keys returns the keys below a prefix.
func (s *fakeStore) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

func service(name string, targets int) hemlocktally.Command {
	s := hemlocktally.Service{Name: hemlocktally.ServiceName(name)}
	for i := range targets {
		s.Targets = append(s.Targets, hemlocktally.Target{
			Name:    hemlocktally.TargetName(fmt.Sprintf("%s-%d", name, i)),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", len(name), i/250, i%250), Zone: "north",
		})
	}
	return hemlocktally.Command{Kind: hemlocktally.CommandPutService, Service: &s}
}

func zone(kind hemlocktally.CommandKind) hemlocktally.Command {
	return hemlocktally.Command{Kind: kind, Name: "north"}
}

func change(id string, base hemlocktally.Revision, commands ...hemlocktally.Command) hemlocktally.Change {
	return hemlocktally.Change{ID: id, Author: "operator", Base: base, Commands: commands}
}
