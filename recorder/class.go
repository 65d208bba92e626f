package recorder

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"hemlocktally"
)

// ClassKey identifies a class of calls, those that share their histograms.
type ClassKey struct {
	Contract string
	Tenant   string
	Outcome  hemlocktally.Outcome
}

// Measure is a part of a call's time.
type Measure string

// Measures of a call.
const (
	MeasureTotal  Measure = "Total"  // MeasureTotal is the time that the caller waited.
	MeasureQueue  Measure = "Queue"  // MeasureQueue is the time queued at the owner.
	MeasureGrant  Measure = "Grant"  // MeasureGrant is the time spent obtaining grants, queueing included.
	MeasureTarget Measure = "Target" // MeasureTarget is the winning attempt's time at its target.
	MeasureAdded  Measure = "Added"  // MeasureAdded is the time that the balancer added: the total less queueing and the target's time.
)

// Measures lists all measures.
var Measures = []Measure{MeasureTotal, MeasureQueue, MeasureGrant, MeasureTarget, MeasureAdded}

// class holds the histograms of one class. Only complete responses have all
// measures; refusals have MeasureTotal only.
type class struct {
	key           ClassKey
	histograms    map[Measure]*Histogram
	retried       metrics.Counter
	hedged        metrics.Counter
	slowThreshold time.Duration
	slowChecks    int
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
	k.histograms[MeasureAdded].Observe(record.Overhead())
}

// slowThresholdCalls is the number of calls after which the estimate of the
// class's p99 is computed again.
const slowThresholdCalls = 256

// isSlow reports whether a call is slower than the estimated p99 of its class.
func (k *class) isSlow(total time.Duration) bool {
	if k.slowChecks%slowThresholdCalls == 0 {
		k.slowThreshold = k.histograms[MeasureTotal].Quantile(0.99)
	}
	k.slowChecks++
	return total > k.slowThreshold
}
