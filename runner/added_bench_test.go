package runner_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/loader"
)

// timings is a histogram that goroutines share, in microseconds.
type timings struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newTimings() *timings {
	return &timings{histogram: hdrhistogram.New(1, 60_000_000, 3)}
}

func (t *timings) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.histogram.RecordValue(d.Microseconds())
}

// benchTargets leave room at 5,000 calls a second: their slots are a quarter used.
const benchTargets = 20

// BenchmarkAddedTime measures what the balancer adds to a call, grant included,
// against direct calls to targets of the same kind in the same run. Calls start at a
// fixed rate, whatever became of the earlier ones; each balanced call is
// followed by a direct one. The policy LeastInFlight shows the time without an
// owner. Refused calls are counted and not timed. Targets take 2 ms a call with next to no spread, so that the difference
// of the quantiles is the balancer's.
func BenchmarkAddedTime(b *testing.B) {
	for _, policy := range []string{loader.PolicyOwner, loader.PolicyLeastInFlight} {
		for _, rate := range []int{1000, 5000} {
			b.Run(fmt.Sprintf("%s/Rate%d", policy, rate), func(b *testing.B) { benchmarkAdded(b, policy, rate) })
		}
	}
}

func benchmarkAdded(b *testing.B, policy string, rate int) {
	b.Helper()
	c := qt.New(b)
	fleet, err := experimenter.Start(context.Background(), experimenter.Deployment{
		Name: "bench", Zones: []hemlocktally.ZoneName{"one"}, Instances: 3, Seed: 1, Policy: policy,
		Services: []experimenter.DeployedService{
			{Name: "svc", Targets: benchTargets, MaxConnections: 240, Mean: 2 * time.Millisecond, Sigma: 0.01},
			{Name: "direct", Targets: benchTargets, MaxConnections: 240, Mean: 2 * time.Millisecond, Sigma: 0.01},
		},
		Contracts: []hemlocktally.Contract{{
			Name: "Reads", Service: "svc", Match: hemlocktally.Match{PathPrefix: "/"}, Priority: hemlocktally.PriorityHigh, Deadline: time.Second,
		}},
	})
	c.Assert(err, qt.IsNil)
	b.Cleanup(func() { c.Check(fleet.Stop(), qt.IsNil) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.Cleanup(client.CloseIdleConnections)
	var targets []string
	for _, t := range fleet.Daemons[0].Configuration().Services[1].Targets {
		targets = append(targets, t.Address)
	}
	balanced, direct := newTimings(), newTimings()
	var calls sync.WaitGroup
	var refused atomic.Int64
	call := func(to *timings, address string) {
		began := time.Now()
		response, err := client.Get("http://" + address + "/x")
		if err != nil {
			b.Error(err)
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch {
		case response.StatusCode == http.StatusOK:
			to.add(time.Since(began))
		case response.Header.Get(hemlocktally.HeaderOutcome) == string(hemlocktally.OutcomeNotRun):
			refused.Add(1)
		default:
			b.Errorf("%s %s", response.Status, body)
		}
	}
	next := time.Now()
	b.ResetTimer()
	for n := range b.N {
		next = next.Add(time.Second / time.Duration(rate))
		time.Sleep(time.Until(next))
		instance := fleet.Daemons[n%len(fleet.Daemons)].Self().CallerAddress
		calls.Go(func() {
			call(balanced, instance)
			call(direct, targets[n%len(targets)])
		})
	}
	calls.Wait()
	b.StopTimer()
	b.ReportMetric(float64(refused.Load()), "refused")
	for _, q := range []float64{50, 99} {
		d := direct.histogram.ValueAtQuantile(q)
		b.ReportMetric(float64(d), fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(balanced.histogram.ValueAtQuantile(q)-d), fmt.Sprintf("added-p%.0f-µs", q))
	}
}
