package allocator

import (
	"slices"
	"time"
)

// window holds the last latencies of a service and their quantiles, which are
// renewed every few results.
type window struct {
	samples []time.Duration
	next    int
	added   int
	median  time.Duration
	p95     time.Duration
}

const (
	windowSize    = 256
	windowRenewal = 32
	windowMinimum = 16
)

func (w *window) add(d time.Duration) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
		w.next = (w.next + 1) % windowSize
	}
	w.added++
	if w.added%windowRenewal == 0 || w.added == windowMinimum {
		w.renew()
	}
}

func (w *window) renew() {
	sorted := slices.Sorted(slices.Values(w.samples))
	w.median = sorted[len(sorted)/2]
	w.p95 = sorted[len(sorted)*95/100]
}

// known reports whether there are enough samples for the quantiles.
func (w *window) known() bool { return w.added >= windowMinimum }

// overdue returns the age from which on a call is an outlier of the service.
func (w *window) overdue() time.Duration {
	const factor = 2
	return factor * w.p95
}

// average is an exponentially weighted mean. Its zero value takes the first
// sample as it is.
type average struct {
	value float64
	known bool
}

func (a *average) add(sample, weight float64) {
	if !a.known {
		a.value, a.known = sample, true
		return
	}
	a.value += weight * (sample - a.value)
}
