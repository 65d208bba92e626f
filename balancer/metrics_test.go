package balancer

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/limiter"
	"hemlocktally/placer"
	"hemlocktally/recorder"
)

// Each service has its own sample under a common TYPE line, and the number of
// dropped log lines is exposed.
func TestMetricsCoverServicesAndDroppedLogLines(t *testing.T) {
	c := qt.New(t)
	b := &Balancer{
		follower: &follower.Follower{}, owner: &placer.Server{}, fallback: &placer.Server{}, granter: &placer.Client{}, recorder: &recorder.Recorder{},
		LinesDropped: func() uint64 { return 7 },
	}
	b.follower.Prepare()
	w := httptest.NewRecorder()
	b.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Check(w.Body.String(), qt.Contains, "hemlocktally_log_lines_dropped_total 7\n")
	c.Check(w.Body.String(), qt.Contains, "# TYPE hemlocktally_hub_age_seconds gauge\n")
	list := serviceGauges("owner", []placer.Stats{{Service: "a", Probes: 3}, {Service: "b", Probes: 4}})
	w = httptest.NewRecorder()
	c.Assert(b.recorder.WriteMetrics(w, list), qt.IsNil)
	c.Check(w.Body.String(), qt.Contains, "# TYPE hemlocktally_owner_probes_total counter\n"+
		"hemlocktally_owner_probes_total{service=\"a\"} 3\nhemlocktally_owner_probes_total{service=\"b\"} 4\n")
}

// The operations page documents every metric.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	b := &Balancer{
		follower: &follower.Follower{}, owner: &placer.Server{}, fallback: &placer.Server{}, granter: &placer.Client{},
		LinesDropped: func() uint64 { return 0 }, StoreCalls: func() map[string]uint64 { return map[string]uint64{"*": 1} },
	}
	b.follower.Prepare()
	gauges := append(b.gauges(t.Context()), serviceGauges("owner", []placer.Stats{{}})...)
	gauges = append(gauges, customerGauges([]limiter.Stats{{Customer: "c"}})...)
	for _, g := range append(gauges, serviceGauges("alone", []placer.Stats{{}})...) {
		c.Check(strings.Contains(string(page), "`"+g.Name+"`"), qt.IsTrue, qt.Commentf(g.Name))
	}
}

// A configuration with very many customers makes no more series than the limit.
func TestCustomerGaugesAreBounded(t *testing.T) {
	c := qt.New(t)
	stats := make([]limiter.Stats, 10000)
	for i := range stats {
		stats[i] = limiter.Stats{Customer: "c", Requested: uint64(i)}
	}
	gauges := customerGauges(stats)
	c.Check(gauges, qt.HasLen, 5*(maxCustomerGauges+1))
	c.Check(gauges[0].Value, qt.Equals, 9999.0)
	c.Check(gauges[maxCustomerGauges].Customer, qt.Equals, hemlocktally.CustomerName(recorder.OverflowName))
}
