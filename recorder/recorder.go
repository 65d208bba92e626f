// Package recorder collects the statistics of the calls that an instance handles:
// latency histograms by contract, tenant, outcome and measure, counts of
// refusals, and the records of recent, slow and refused calls. Its memory is
// bounded whatever callers send.
package recorder

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"hemlocktally"
)

const (
	shardCount    = 8
	shardCapacity = 64
	// maxClasses limits the number of histograms of one instance. A class is a
	// combination of contract, tenant and outcome; calls beyond the limit are
	// counted in a class whose tenant, or tenant and contract, is OverflowName.
	maxClasses = 48
	// OverflowName replaces the names of tenants and contracts beyond a limit.
	OverflowName = "Other"
	// UnsetName replaces an empty contract or tenant name.
	UnsetName = "None"
)

// Recorder counts and times calls. The zero value is ready to use, and its methods
// may be called concurrently. It implements hemlocktally.Recorder.
type Recorder struct {
	shards [shardCount]shard

	mu       sync.Mutex
	registry metrics.Registry
	classes  map[ClassKey]*class
	refusals map[RefusalKey]*RefusalCount
	history  callHistory
	// customers holds the counts of customers' calls.
	customers map[hemlocktally.CustomerName]*CustomerCount
}

// shard buffers calls so that Record rarely waits for the lock of the histograms.
type shard struct {
	mu    sync.Mutex
	calls []hemlocktally.CallRecord
	_     [64]byte // Padding keeps shards on separate cache lines.
}

// Record adds one call. The call is buffered until its shard is full or the
// statistics are read.
func (r *Recorder) Record(record hemlocktally.CallRecord) {
	s := &r.shards[rand.Uint32()%shardCount]
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make([]hemlocktally.CallRecord, 0, shardCapacity)
	}
	s.calls = append(s.calls, record)
	if len(s.calls) < shardCapacity {
		s.mu.Unlock()
		return
	}
	r.drain(s)
	s.mu.Unlock()
}

// drain moves the shard's calls into the histograms. The caller holds s.mu.
func (r *Recorder) drain(s *shard) {
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
		r.drain(s)
		s.mu.Unlock()
	}
}

func (r *Recorder) add(record *hemlocktally.CallRecord) {
	k := r.class(record)
	k.add(record)
	if record.Outcome != hemlocktally.OutcomeDone {
		r.countRefusal(record)
	}
	r.countCustomer(record)
	r.history.add(record, k.isSlow(record.Total))
}

// class returns the class of a call. Beyond maxClasses it replaces the tenant by
// OverflowName, and then the contract too. The classes that replace both may
// exceed the limit, one for each outcome.
func (r *Recorder) class(record *hemlocktally.CallRecord) *class {
	if r.classes == nil {
		r.classes = map[ClassKey]*class{}
		r.registry = metrics.NewRegistry()
	}
	exact := ClassKey{Contract: orUnset(string(record.Contract)), Tenant: orUnset(record.Tenant), Outcome: record.Outcome}
	tenantOverflow := ClassKey{Contract: exact.Contract, Tenant: OverflowName, Outcome: exact.Outcome}
	overflow := ClassKey{Contract: OverflowName, Tenant: OverflowName, Outcome: exact.Outcome}
	for _, key := range []ClassKey{exact, tenantOverflow, overflow} {
		if k, ok := r.classes[key]; ok {
			return k
		}
		if len(r.classes) < maxClasses || key == overflow {
			k := newClass(r.registry, key)
			r.classes[key] = k
			return k
		}
	}
	return nil
}

func orUnset(name string) string {
	if name == "" {
		return UnsetName
	}
	return name
}

// Registry returns the metrics registry that holds all histograms and the retry
// and hedge counters, named Contract/Tenant/Outcome/Measure,
// Contract/Tenant/Outcome/Retried and Contract/Tenant/Outcome/Hedged.
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

// Find returns the record of a call and whether it is still kept.
func (r *Recorder) Find(call hemlocktally.CallID) (hemlocktally.CallRecord, bool) {
	for _, record := range r.Calls() {
		if record.Call == call {
			return record, true
		}
	}
	return hemlocktally.CallRecord{}, false
}

// Calls returns the kept records, newest first by start time.
func (r *Recorder) Calls() []hemlocktally.CallRecord {
	r.flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.all()
}

// RefusalKey identifies one kind of refusal.
type RefusalKey struct {
	Contract string
	Reason   hemlocktally.Reason
	Outcome  hemlocktally.Outcome
}

// RefusalCount counts one kind of refusal: calls whose outcome is not
// hemlocktally.OutcomeDone.
type RefusalCount struct {
	Key   RefusalKey
	Count uint64
	Since time.Time // Since is the end of the first such call recorded by this process.
	Last  time.Time // Last is the end of the latest such call recorded.
}

// maxRefusals limits the kinds of refusals that are counted separately; the
// contract of any further kind is replaced by OverflowName.
const maxRefusals = 512

func (r *Recorder) countRefusal(record *hemlocktally.CallRecord) {
	if r.refusals == nil {
		r.refusals = map[RefusalKey]*RefusalCount{}
	}
	key := RefusalKey{Contract: orUnset(string(record.Contract)), Reason: record.Reason, Outcome: record.Outcome}
	if r.refusals[key] == nil && len(r.refusals) >= maxRefusals {
		key.Contract = OverflowName
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

// Refusals returns the count of each kind of refusal, in no particular order.
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
