package recorder

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"hemlocktally"
)

// bucketBounds are the upper bounds of the exposed histogram buckets.
var bucketBounds = []time.Duration{
	100 * time.Microsecond, 250 * time.Microsecond, 500 * time.Microsecond, time.Millisecond,
	1200 * time.Microsecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Metric is a metric that an instance exposes besides its histograms.
type Metric struct {
	Name    string // Name is the metric name without the prefix hemlocktally_.
	Help    string
	Type    string                   // Type is "counter" or "gauge".
	Service hemlocktally.ServiceName // Service is the service label; empty means no label.
	// Customer is the customer label; empty means no label.
	Customer hemlocktally.CustomerName
	Zone     hemlocktally.ZoneName // Zone is the zone label; empty means no label.
	Reason   string                // Reason is the reason label; empty means no label.
	Value    float64
}

func (g Metric) labels() string {
	var labels []string
	for _, label := range []struct{ name, value string }{
		{"service", string(g.Service)}, {"customer", string(g.Customer)}, {"zone", string(g.Zone)}, {"reason", g.Reason},
	} {
		if label.value != "" {
			labels = append(labels, label.name+"="+quote(label.value))
		}
	}
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}

// WriteMetrics writes the histograms, refusals, attempts and gauges in the
// Prometheus text exposition format. Gauges of the same name must be adjacent,
// because the HELP and TYPE lines precede the first of them.
func (r *Recorder) WriteMetrics(w io.Writer, gauges []Metric) error {
	out := bufio.NewWriter(w)
	writeHistograms(out, r.Distributions())
	writeRefusals(out, r.Refusals())
	r.writeAttempts(out)
	gauges = slices.Concat(customerMetrics(r.Customers()), gauges)
	for i, g := range gauges {
		if i == 0 || gauges[i-1].Name != g.Name {
			writeHeader(out, g.Name, g.Type, g.Help)
		}
		printf(out, "hemlocktally_%s%s %g\n", g.Name, g.labels(), g.Value)
	}
	return Error.Wrap(out.Flush())
}

func printf(w *bufio.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(w, format, values...)
}

func writeHeader(w *bufio.Writer, name, kind, help string) {
	printf(w, "# HELP hemlocktally_%s %s\n# TYPE hemlocktally_%s %s\n", name, help, name, kind)
}

func writeHistograms(w *bufio.Writer, distributions []Distribution) {
	writeHeader(w, "call_seconds", "histogram", "Duration of calls by contract, tenant, outcome and measure.")
	for _, d := range distributions {
		labels := fmt.Sprintf("contract=%s,tenant=%s,outcome=%s,measure=%s",
			quote(d.Key.Contract), quote(d.Key.Tenant), quote(string(d.Key.Outcome)), quote(string(d.Measure)))
		for i, n := range d.Histogram.cumulative() {
			printf(w, "hemlocktally_call_seconds_bucket{%s,le=\"%g\"} %d\n", labels, bucketBounds[i].Seconds(), n)
		}
		printf(w, "hemlocktally_call_seconds_bucket{%s,le=\"+Inf\"} %d\n", labels, d.Histogram.Count())
		printf(w, "hemlocktally_call_seconds_sum{%s} %g\n", labels, float64(d.Histogram.Sum())/1e6)
		printf(w, "hemlocktally_call_seconds_count{%s} %d\n", labels, d.Histogram.Count())
	}
}

// cumulative returns, for each of bucketBounds, the number of values at or below
// it.
func (h *Histogram) cumulative() []int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make([]int64, len(bucketBounds))
	for _, bar := range h.counts.Distribution() {
		if bar.Count == 0 {
			continue
		}
		for i, bound := range bucketBounds {
			if bar.To <= bound.Microseconds() {
				counts[i] += bar.Count
			}
		}
	}
	return counts
}

func quote(value string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(value) + `"`
}

func writeRefusals(w *bufio.Writer, refusals []RefusalCount) {
	slices.SortFunc(refusals, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Key.Contract, b.Key.Contract), cmp.Compare(a.Key.Reason, b.Key.Reason),
			cmp.Compare(a.Key.Outcome, b.Key.Outcome))
	})
	writeHeader(w, "refusals_total", "counter", "Refused calls by contract, reason and outcome.")
	for _, c := range refusals {
		printf(w, "hemlocktally_refusals_total{contract=%s,reason=%s,outcome=%s} %d\n",
			quote(c.Key.Contract), quote(string(c.Key.Reason)), quote(string(c.Key.Outcome)), c.Count)
	}
}

func (r *Recorder) writeAttempts(w *bufio.Writer) {
	writeHeader(w, "attempts_total", "counter", "Retry and hedge attempts by contract and kind.")
	for _, s := range Summarize(r) {
		if s.Contract == hemlocktally.ContractName(UnsetName) {
			continue
		}
		printf(w, "hemlocktally_attempts_total{contract=%s,kind=\"Retry\"} %d\n", quote(string(s.Contract)), s.Retried)
		printf(w, "hemlocktally_attempts_total{contract=%s,kind=\"Hedge\"} %d\n", quote(string(s.Contract)), s.Hedged)
	}
}
