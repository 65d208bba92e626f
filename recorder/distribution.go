package recorder

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs"

	"hemlocktally"
)

// Error is the error class of this package.
var Error = errs.Class("recorder")

// Distribution is the histogram of one measure of one class.
type Distribution struct {
	Key       ClassKey
	Measure   Measure
	Histogram *Histogram
}

// Encode returns the histogram in HdrHistogram's compressed form.
func (d Distribution) Encode() ([]byte, error) {
	encoded, err := d.Histogram.export().Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return encoded, Error.Wrap(err)
}

// DecodeHistogram decodes the output of Distribution.Encode.
func DecodeHistogram(encoded []byte) (*Histogram, error) {
	counts, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h := NewHistogram()
	h.counts.Merge(counts)
	return h, nil
}

// Distributions returns copies of all histograms, sorted by contract, tenant,
// outcome and measure.
func (r *Recorder) Distributions() []Distribution {
	r.flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Distribution
	for key, k := range r.classes {
		for m, h := range k.histograms {
			all = append(all, Distribution{Key: key, Measure: m, Histogram: &Histogram{counts: h.export()}})
		}
	}
	sortDistributions(all)
	return all
}

// MergeDistributions adds the counts of each class and measure across the lists,
// so that the quantiles of the result are those of all calls together. The
// result is sorted like that of Distributions.
func MergeDistributions(lists ...[]Distribution) []Distribution {
	type seriesKey struct {
		key     ClassKey
		measure Measure
	}
	sums := map[seriesKey]*Histogram{}
	var merged []Distribution
	for _, d := range slices.Concat(lists...) {
		series := seriesKey{d.Key, d.Measure}
		if sums[series] == nil {
			sums[series] = NewHistogram()
			merged = append(merged, Distribution{Key: d.Key, Measure: d.Measure, Histogram: sums[series]})
		}
		sums[series].merge(d.Histogram)
	}
	sortDistributions(merged)
	return merged
}

func sortDistributions(list []Distribution) {
	slices.SortFunc(list, func(a, b Distribution) int {
		return cmp.Or(
			cmp.Compare(a.Key.Contract, b.Key.Contract), cmp.Compare(a.Key.Tenant, b.Key.Tenant),
			cmp.Compare(a.Key.Outcome, b.Key.Outcome),
			cmp.Compare(slices.Index(Measures, a.Measure), slices.Index(Measures, b.Measure)),
		)
	})
}

// Summary holds the totals and latency quantiles of one contract.
type Summary struct {
	Contract hemlocktally.ContractName
	Calls    uint64
	Refused  uint64        // Refused is the number of calls with an outcome other than OutcomeDone.
	Retried  uint64        // Retried is the number of retry attempts.
	Hedged   uint64        // Hedged is the number of hedge attempts.
	P50      time.Duration // P50, P99 and P999 are quantiles of MeasureTotal of the calls done.
	P99      time.Duration
	P999     time.Duration
	AddedP50 time.Duration // AddedP50 and AddedP99 are quantiles of MeasureAdded.
	AddedP99 time.Duration
}

// Summarize returns one Summary for each contract of the recorders, sorted by
// contract. Histograms are merged rather than quantiles averaged, so the
// quantiles are those of all calls.
func Summarize(recorders ...*Recorder) []Summary {
	summaries := map[string]*Summary{}
	histograms := map[string]map[Measure]*Histogram{}
	for _, r := range recorders {
		r.addTo(summaries, histograms)
	}
	merged := make([]Summary, 0, len(summaries))
	for name, s := range summaries {
		total, added := histograms[name][MeasureTotal], histograms[name][MeasureAdded]
		s.P50, s.P99, s.P999 = total.Quantile(0.5), total.Quantile(0.99), total.Quantile(0.999)
		s.AddedP50, s.AddedP99 = added.Quantile(0.5), added.Quantile(0.99)
		merged = append(merged, *s)
	}
	slices.SortFunc(merged, func(a, b Summary) int { return cmp.Compare(a.Contract, b.Contract) })
	return merged
}

func (r *Recorder) addTo(summaries map[string]*Summary, histograms map[string]map[Measure]*Histogram) {
	r.flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, k := range r.classes {
		s := summaries[key.Contract]
		if s == nil {
			s = &Summary{Contract: hemlocktally.ContractName(key.Contract)}
			summaries[key.Contract] = s
			histograms[key.Contract] = map[Measure]*Histogram{MeasureTotal: NewHistogram(), MeasureAdded: NewHistogram()}
		}
		n := uint64(k.histograms[MeasureTotal].Count())
		s.Calls += n
		s.Retried += uint64(k.retried.Count())
		s.Hedged += uint64(k.hedged.Count())
		if key.Outcome != hemlocktally.OutcomeDone {
			s.Refused += n
			continue
		}
		for m, h := range histograms[key.Contract] {
			h.merge(k.histograms[m])
		}
	}
}
