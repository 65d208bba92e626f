// Package recorder keeps histograms of calls for each contract and tenant.
package recorder

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlocktally"
)

// Recorder counts and times calls. Its zero value is ready. It implements
// hemlocktally.Recorder.
type Recorder struct {
	mu      sync.Mutex
	classes map[hemlocktally.ContractName]*class
}

type class struct {
	total    *hdrhistogram.Histogram
	added    *hdrhistogram.Histogram
	refused  uint64
	retried  uint64
	hedged   uint64
	outcomes map[hemlocktally.Outcome]uint64
}

const (
	lowestMicroseconds  = 1
	highestMicroseconds = 120_000_000
	significantDigits   = 3
)

func newClass() *class {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
	}
	return &class{total: newHistogram(), added: newHistogram(), outcomes: map[hemlocktally.Outcome]uint64{}}
}

// Record adds one call.
func (r *Recorder) Record(record hemlocktally.CallRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.classes == nil {
		r.classes = map[hemlocktally.ContractName]*class{}
	}
	k := r.classes[record.Contract]
	if k == nil {
		k = newClass()
		r.classes[record.Contract] = k
	}
	k.outcomes[record.Outcome]++
	for _, a := range record.Attempts {
		switch a.Kind {
		case hemlocktally.AttemptRetry:
			k.retried++
		case hemlocktally.AttemptHedge:
			k.hedged++
		case hemlocktally.AttemptFirst:
		}
	}
	if record.Outcome != hemlocktally.OutcomeDone {
		k.refused++
		return
	}
	_ = k.total.RecordValue(record.Total.Microseconds())
	_ = k.added.RecordValue(record.Added().Microseconds())
}

// Summary is what was recorded of one contract.
type Summary struct {
	Contract hemlocktally.ContractName
	Calls    uint64
	Refused  uint64
	Retried  uint64
	Hedged   uint64
	P50      time.Duration
	P99      time.Duration
	P999     time.Duration
	AddedP50 time.Duration
	AddedP99 time.Duration
}

// Merge sums the records of several recorders, exactly, contract by contract.
func Merge(recorders ...*Recorder) []Summary {
	merged := map[hemlocktally.ContractName]*class{}
	for _, r := range recorders {
		r.addTo(merged)
	}
	summaries := make([]Summary, 0, len(merged))
	for name, k := range merged {
		summaries = append(summaries, k.summary(name))
	}
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].Contract < summaries[j].Contract })
	return summaries
}

func (r *Recorder) addTo(merged map[hemlocktally.ContractName]*class) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, k := range r.classes {
		sum := merged[name]
		if sum == nil {
			sum = newClass()
			merged[name] = sum
		}
		sum.total.Merge(k.total)
		sum.added.Merge(k.added)
		sum.refused += k.refused
		sum.retried += k.retried
		sum.hedged += k.hedged
		for outcome, n := range k.outcomes {
			sum.outcomes[outcome] += n
		}
	}
}

func (k *class) summary(name hemlocktally.ContractName) Summary {
	quantile := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	s := Summary{
		Contract: name, Refused: k.refused, Retried: k.retried, Hedged: k.hedged,
		P50: quantile(k.total, 50), P99: quantile(k.total, 99), P999: quantile(k.total, 99.9),
		AddedP50: quantile(k.added, 50), AddedP99: quantile(k.added, 99),
	}
	for _, n := range k.outcomes {
		s.Calls += n
	}
	return s
}
