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
	// significantDigits limits the relative error to 1/128 for every value, the tail
	// included.
	significantDigits = 2
)

// Histogram counts durations in microseconds with a relative error of at most
// 1/128. It counts every value, so its tail is as accurate as the rest, unlike
// that of a sample. It implements metrics.Histogram and is safe for concurrent
// use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)}
}

// Observe counts one duration; a duration above 120 s counts as 120 s.
func (h *Histogram) Observe(d time.Duration) { h.Update(d.Microseconds()) }

// Update counts one value in microseconds, limited to the range of the histogram.
func (h *Histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(min(max(v, 0), highestMicroseconds))
}

// Clear removes all values.
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

// Count returns the number of values.
func (h *Histogram) Count() int64 { return readUnderLock(h, (*hdrhistogram.Histogram).TotalCount) }

// Max returns the highest value in microseconds.
func (h *Histogram) Max() int64 { return readUnderLock(h, (*hdrhistogram.Histogram).Max) }

// Min returns the lowest value in microseconds.
func (h *Histogram) Min() int64 { return readUnderLock(h, (*hdrhistogram.Histogram).Min) }

// Mean returns the mean in microseconds.
func (h *Histogram) Mean() float64 { return readUnderLock(h, (*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation in microseconds.
func (h *Histogram) StdDev() float64 { return readUnderLock(h, (*hdrhistogram.Histogram).StdDev) }

// Variance returns the variance in square microseconds.
func (h *Histogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }

// Sum returns the sum of the values in microseconds, computed from their mean.
func (h *Histogram) Sum() int64 {
	return readUnderLock(h, func(c *hdrhistogram.Histogram) int64 { return int64(c.Mean() * float64(c.TotalCount())) })
}

// Percentile returns the quantile p in microseconds; p is between 0 and 1.
func (h *Histogram) Percentile(p float64) float64 {
	return readUnderLock(h, func(c *hdrhistogram.Histogram) float64 { return float64(c.ValueAtQuantile(p * 100)) })
}

// Percentiles returns the quantile of each of ps, in microseconds.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = h.Percentile(p)
	}
	return values
}

// Quantile returns the quantile p as a duration; p is between 0 and 1.
func (h *Histogram) Quantile(p float64) time.Duration {
	return time.Duration(h.Percentile(p)) * time.Microsecond
}

// Sample returns an empty sample, because individual values are not kept.
func (h *Histogram) Sample() metrics.Sample { return metrics.NilSample{} }

// Snapshot returns a copy of the histogram.
func (h *Histogram) Snapshot() metrics.Histogram { return &Histogram{counts: h.export()} }

func readUnderLock[T any](h *Histogram, f func(*hdrhistogram.Histogram) T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return f(h.counts)
}
