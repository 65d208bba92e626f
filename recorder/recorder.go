// Package recorder keeps what an instance knows of its calls: a histogram for
// each contract, tenant, outcome and part of a call's time, counts of refusals,
// and the records of recent, slow and refused calls. Its memory is bounded
// whatever callers send.
package recorder

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"hemlocktally"
)

const (
	shardCount = 8
	shardCalls = 64
	// maxClasses bounds the histograms of one instance. A class is a contract, a
	// tenant and an outcome; the calls of further ones are folded.
	maxClasses = 48
	// FoldedName stands in for the names that are over the bound.
	FoldedName = "Other"
	// NoName stands in for a contract or tenant that a call does not have.
	NoName = "None"
)

// Recorder counts and times calls. Its zero value is ready. It implements
// hemlocktally.Recorder.
type Recorder struct {
	shards [shardCount]shard

	mu       sync.Mutex
	registry metrics.Registry
	classes  map[ClassKey]*class
	refusals map[RefusalKey]*RefusalCount
	kept     keeper
}

// shard gathers calls so that Record seldom waits for the histograms' lock.
type shard struct {
	mu    sync.Mutex
	calls []hemlocktally.CallRecord
	_     [64]byte // Shards stand on cache lines of their own.
}

// Record adds one call.
func (r *Recorder) Record(record hemlocktally.CallRecord) {
	s := &r.shards[rand.Uint32()%shardCount]
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make([]hemlocktally.CallRecord, 0, shardCalls)
	}
	s.calls = append(s.calls, record)
	if len(s.calls) < shardCalls {
		s.mu.Unlock()
		return
	}
	r.absorb(s)
	s.mu.Unlock()
}

// absorb moves the shard's calls into the histograms. The shard is locked.
func (r *Recorder) absorb(s *shard) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range s.calls {
		r.add(&s.calls[i])
	}
	clear(s.calls)
	s.calls = s.calls[:0]
}

// flush moves the calls of all shards into the histograms.
func (r *Recorder) flush() {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		r.absorb(s)
		s.mu.Unlock()
	}
}

func (r *Recorder) add(record *hemlocktally.CallRecord) {
	k := r.class(record)
	k.add(record)
	if record.Outcome != hemlocktally.OutcomeDone {
		r.refuse(record)
	}
	r.kept.keep(record, k.isSlow(record.Total))
}

// class returns the class of a call, folding tenants and then contracts where
// there are too many.
func (r *Recorder) class(record *hemlocktally.CallRecord) *class {
	if r.classes == nil {
		r.classes = map[ClassKey]*class{}
		r.registry = metrics.NewRegistry()
	}
	exact := ClassKey{Contract: orNone(string(record.Contract)), Tenant: orNone(record.Tenant), Outcome: record.Outcome}
	folded := ClassKey{Contract: exact.Contract, Tenant: FoldedName, Outcome: exact.Outcome}
	last := ClassKey{Contract: FoldedName, Tenant: FoldedName, Outcome: exact.Outcome}
	for _, key := range []ClassKey{exact, folded, last} {
		if k, ok := r.classes[key]; ok {
			return k
		}
		if len(r.classes) < maxClasses || key == last {
			k := newClass(r.registry, key)
			r.classes[key] = k
			return k
		}
	}
	return nil
}

func orNone(name string) string {
	if name == "" {
		return NoName
	}
	return name
}

// Registry returns the metrics registry that holds all histograms, named
// Contract/Tenant/Outcome/Measure.
func (r *Recorder) Registry() metrics.Registry {
	r.flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry == nil {
		r.registry = metrics.NewRegistry()
		r.classes = map[ClassKey]*class{}
	}
	return r.registry
}

// Find returns the record of a call that is still kept.
func (r *Recorder) Find(call hemlocktally.CallID) (hemlocktally.CallRecord, bool) {
	for _, record := range r.Calls() {
		if record.Call == call {
			return record, true
		}
	}
	return hemlocktally.CallRecord{}, false
}

// Calls returns the kept records, the newest first.
func (r *Recorder) Calls() []hemlocktally.CallRecord {
	r.flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept.all()
}

// RefusalKey names one kind of refusal.
type RefusalKey struct {
	Contract string
	Reason   hemlocktally.Reason
	Outcome  hemlocktally.Outcome
}

// RefusalCount says how often a kind of refusal was met, and when.
type RefusalCount struct {
	Key   RefusalKey
	Count uint64
	Since time.Time // Since is the first of them in this process's life.
	Last  time.Time
}

// maxRefusals bounds the kinds of refusals that are told apart.
const maxRefusals = 512

func (r *Recorder) refuse(record *hemlocktally.CallRecord) {
	if r.refusals == nil {
		r.refusals = map[RefusalKey]*RefusalCount{}
	}
	key := RefusalKey{Contract: orNone(string(record.Contract)), Reason: record.Reason, Outcome: record.Outcome}
	if r.refusals[key] == nil && len(r.refusals) >= maxRefusals {
		key.Contract = FoldedName
	}
	at := record.Started.Add(record.Total)
	count := r.refusals[key]
	if count == nil {
		count = &RefusalCount{Key: key, Since: at}
		r.refusals[key] = count
	}
	count.Count++
	count.Last = at
}

// Refusals returns the counts of refusals.
func (r *Recorder) Refusals() []RefusalCount {
	r.flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]RefusalCount, 0, len(r.refusals))
	for _, c := range r.refusals {
		counts = append(counts, *c)
	}
	return counts
}
