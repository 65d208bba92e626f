package recorder

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"hemlocktally"
)

// ClassKey names a class of calls.
type ClassKey struct {
	Contract string
	Tenant   string
	Outcome  hemlocktally.Outcome
}

// Measure is a part of a call's time.
type Measure string

// The measures.
const (
	MeasureTotal  Measure = "Total"  // MeasureTotal is what the caller waited.
	MeasureQueue  Measure = "Queue"  // MeasureQueue is the wait at the owner.
	MeasureGrant  Measure = "Grant"  // MeasureGrant is all time to get grants, the queue included.
	MeasureTarget Measure = "Target" // MeasureTarget is the winning attempt's time at its target.
	MeasureAdded  Measure = "Added"  // MeasureAdded is what the balancer added.
)

// Measures lists all measures.
var Measures = []Measure{MeasureTotal, MeasureQueue, MeasureGrant, MeasureTarget, MeasureAdded}

// class holds the histograms of one class. Only whole answers have all
// measures; refusals have their total.
type class struct {
	key        ClassKey
	histograms map[Measure]*Histogram
	retried    metrics.Counter
	hedged     metrics.Counter
	slow       time.Duration
	sinceSlow  int
}

func newClass(registry metrics.Registry, key ClassKey) *class {
	k := &class{
		key: key, histograms: map[Measure]*Histogram{MeasureTotal: NewHistogram()},
		retried: metrics.NewCounter(), hedged: metrics.NewCounter(),
	}
	if key.Outcome == hemlocktally.OutcomeDone {
		for _, m := range Measures[1:] {
			k.histograms[m] = NewHistogram()
		}
	}
	name := key.Contract + "/" + key.Tenant + "/" + string(key.Outcome) + "/"
	for m, h := range k.histograms {
		_ = registry.Register(name+string(m), h)
	}
	_ = registry.Register(name+"Retried", k.retried)
	_ = registry.Register(name+"Hedged", k.hedged)
	return k
}

func (k *class) add(record *hemlocktally.CallRecord) {
	for _, a := range record.Attempts {
		switch a.Kind {
		case hemlocktally.AttemptRetry:
			k.retried.Inc(1)
		case hemlocktally.AttemptHedge:
			k.hedged.Inc(1)
		case hemlocktally.AttemptFirst:
		}
	}
	k.histograms[MeasureTotal].Observe(record.Total)
	if k.key.Outcome != hemlocktally.OutcomeDone {
		return
	}
	k.histograms[MeasureQueue].Observe(record.Queue)
	k.histograms[MeasureGrant].Observe(record.Granting)
	k.histograms[MeasureTarget].Observe(record.Serving)
	k.histograms[MeasureAdded].Observe(record.Added())
}

// slowRefresh is how many calls share one estimate of the class's p99.
const slowRefresh = 256

// isSlow reports whether a call is among the slowest hundredth of its class.
func (k *class) isSlow(total time.Duration) bool {
	if k.sinceSlow%slowRefresh == 0 {
		k.slow = k.histograms[MeasureTotal].Quantile(0.99)
	}
	k.sinceSlow++
	return total > k.slow
}
