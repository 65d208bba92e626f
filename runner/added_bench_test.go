package runner_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
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

// BenchmarkAddedTime measures what the balancer adds to a call, grant included,
// against direct calls to the same targets in the same run. Calls start at a
// fixed rate, whatever became of the earlier ones; each balanced call is
// followed by a direct one. The policy LeastInFlight shows the time without an
// owner.
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
		Services: []experimenter.DeployedService{{Name: "svc", Targets: 16, MaxConnections: 240, Mean: time.Microsecond}},
		Contracts: []hemlocktally.Contract{{
			Name: "Reads", Service: "svc", Match: hemlocktally.Match{PathPrefix: "/"}, Priority: hemlocktally.PriorityHigh, Deadline: time.Second,
		}},
	})
	c.Assert(err, qt.IsNil)
	b.Cleanup(func() { c.Check(fleet.Stop(), qt.IsNil) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.Cleanup(client.CloseIdleConnections)
	var targets []string
	for _, t := range fleet.Daemons[0].Configuration().Services[0].Targets {
		targets = append(targets, t.Address)
	}
	balanced, direct := newTimings(), newTimings()
	var calls sync.WaitGroup
	call := func(to *timings, address string, failed func(string)) {
		began := time.Now()
		response, err := client.Get("http://" + address + "/x")
		if err != nil {
			failed(err.Error())
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		to.add(time.Since(began))
		if response.StatusCode != http.StatusOK {
			failed(response.Status)
		}
	}
	fail := func(what string) { b.Error(what) }
	next := time.Now()
	b.ResetTimer()
	for n := range b.N {
		next = next.Add(time.Second / time.Duration(rate))
		time.Sleep(time.Until(next))
		instance := fleet.Daemons[n%len(fleet.Daemons)].Self().CallerAddress
		calls.Go(func() {
			call(balanced, instance, fail)
			call(direct, targets[n%len(targets)], fail)
		})
	}
	calls.Wait()
	b.StopTimer()
	for _, q := range []float64{50, 99} {
		d := direct.histogram.ValueAtQuantile(q)
		b.ReportMetric(float64(d), fmt.Sprintf("direct-p%.0f-µs", q))
		b.ReportMetric(float64(balanced.histogram.ValueAtQuantile(q)-d), fmt.Sprintf("added-p%.0f-µs", q))
	}
}
