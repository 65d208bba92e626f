package allocator

import (
	"slices"
	"time"
)

// latencyWindow holds the last latencies of a service and their quantiles, which
// are recomputed every recomputeInterval results.
type latencyWindow struct {
	samples []time.Duration
	next    int
	added   int
	median  time.Duration
	p95     time.Duration
}

const (
	windowSize        = 256
	recomputeInterval = 32
	minSamples        = 16
)

func (w *latencyWindow) add(d time.Duration) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
		w.next = (w.next + 1) % windowSize
	}
	w.added++
	if w.added%recomputeInterval == 0 || w.added == minSamples {
		w.recompute()
	}
}

func (w *latencyWindow) recompute() {
	sorted := slices.Sorted(slices.Values(w.samples))
	w.median = sorted[len(sorted)/2]
	w.p95 = sorted[len(sorted)*95/100]
}

// hasQuantiles reports whether there are enough samples for the quantiles.
func (w *latencyWindow) hasQuantiles() bool { return w.added >= minSamples }

// overdueThreshold returns the age above which a call is an outlier of the
// service.
func (w *latencyWindow) overdueThreshold() time.Duration {
	const factor = 2
	return factor * w.p95
}

// movingAverage is an exponentially weighted moving average. The first sample
// sets its value.
type movingAverage struct {
	value       float64
	initialized bool
}

func (a *movingAverage) add(sample, weight float64) {
	if !a.initialized {
		a.value, a.initialized = sample, true
		return
	}
	a.value += weight * (sample - a.value)
}
