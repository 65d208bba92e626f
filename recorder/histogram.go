package recorder

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	lowestMicroseconds  = 1
	highestMicroseconds = 120_000_000
	// significantDigits keeps every value within 1 in 128, the tail included.
	significantDigits = 2
)

// Histogram counts durations in microseconds, each within 1 in 128 of its
// value, so that its tail is exact where a sample's would not be. It implements
// metrics.Histogram.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)}
}

// Observe counts one duration; one beyond the range counts as the highest.
func (h *Histogram) Observe(d time.Duration) { h.Update(d.Microseconds()) }

// Update counts one value in microseconds.
func (h *Histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(min(max(v, 0), highestMicroseconds))
}

// Clear forgets all values.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Reset()
}

// merge adds the values of another histogram.
func (h *Histogram) merge(other *Histogram) {
	copied := other.export()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Merge(copied)
}

// export returns a copy of the counts.
func (h *Histogram) export() *hdrhistogram.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return hdrhistogram.Import(h.counts.Export())
}

// Count returns how many values were counted.
func (h *Histogram) Count() int64 { return read(h, (*hdrhistogram.Histogram).TotalCount) }

// Max returns the highest value.
func (h *Histogram) Max() int64 { return read(h, (*hdrhistogram.Histogram).Max) }

// Min returns the lowest value.
func (h *Histogram) Min() int64 { return read(h, (*hdrhistogram.Histogram).Min) }

// Mean returns the mean value.
func (h *Histogram) Mean() float64 { return read(h, (*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation.
func (h *Histogram) StdDev() float64 { return read(h, (*hdrhistogram.Histogram).StdDev) }

// Variance returns the variance.
func (h *Histogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }

// Sum returns the sum of the values, from their mean.
func (h *Histogram) Sum() int64 {
	return read(h, func(c *hdrhistogram.Histogram) int64 { return int64(c.Mean() * float64(c.TotalCount())) })
}

// Percentile returns the value below which the share p of the values lies; p is
// between 0 and 1.
func (h *Histogram) Percentile(p float64) float64 {
	return read(h, func(c *hdrhistogram.Histogram) float64 { return float64(c.ValueAtQuantile(p * 100)) })
}

// Percentiles returns several percentiles at once.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = h.Percentile(p)
	}
	return values
}

// Quantile returns a percentile as a duration.
func (h *Histogram) Quantile(p float64) time.Duration {
	return time.Duration(h.Percentile(p)) * time.Microsecond
}

// Sample returns an empty sample, since no value is kept as such.
func (h *Histogram) Sample() metrics.Sample { return metrics.NilSample{} }

// Snapshot returns a copy.
func (h *Histogram) Snapshot() metrics.Histogram { return &Histogram{counts: h.export()} }

func read[T any](h *Histogram, f func(*hdrhistogram.Histogram) T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f(h.counts)
}
