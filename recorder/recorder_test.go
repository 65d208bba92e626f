package recorder_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"hemlocktally"
	"hemlocktally/recorder"
)

var _ metrics.Histogram = (*recorder.Histogram)(nil)

func done(contract, tenant string, total time.Duration) hemlocktally.CallRecord {
	return hemlocktally.CallRecord{
		Contract: hemlocktally.ContractName(contract), Tenant: tenant, Total: total, Serving: total / 2,
		Outcome: hemlocktally.OutcomeDone,
	}
}

func TestMergedQuantilesAreThoseOfAllCalls(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	recorders := []*recorder.Recorder{{}, {}, {}}
	var all []time.Duration
	for i := range 9000 {
		// One recorder gets only slow calls, so averaging the quantiles would be wrong.
		index := i % 3
		d := time.Duration(1000+random.IntN(9000)) * time.Microsecond * time.Duration(1+9*(index/2))
		all = append(all, d)
		recorders[index].Record(done("A", "x", d))
	}
	slices.Sort(all)
	var lists [][]recorder.Distribution
	for _, r := range recorders {
		var decoded []recorder.Distribution
		for _, d := range r.Distributions() {
			encoded, err := d.Encode()
			c.Assert(err, qt.IsNil)
			d.Histogram, err = recorder.DecodeHistogram(encoded)
			c.Assert(err, qt.IsNil)
			decoded = append(decoded, d)
		}
		lists = append(lists, decoded)
	}
	merged := recorder.MergeDistributions(lists...)
	c.Assert(merged, qt.HasLen, len(recorder.Measures))
	for _, p := range []float64{0.5, 0.99, 0.999} {
		exact := all[int(p*float64(len(all)))].Seconds()
		got := merged[0].Histogram.Quantile(p).Seconds()
		c.Check(got > exact*0.98 && got < exact*1.02, qt.IsTrue, qt.Commentf("p%v: %v, exact %v", p, got, exact))
	}
	c.Check(recorder.Summarize(recorders...)[0].Calls, qt.Equals, uint64(9000))
}

func TestCardinalityIsBounded(t *testing.T) {
	c := qt.New(t)
	var r recorder.Recorder
	for i := range 5000 {
		r.Record(done("A", fmt.Sprintf("tenant-%d", i), time.Millisecond))
		r.Record(done(fmt.Sprintf("contract-%d", i), "x", time.Millisecond))
	}
	distributions := r.Distributions()
	c.Check(len(distributions) < 60*len(recorder.Measures), qt.IsTrue)
	var calls int64
	for _, d := range distributions {
		if d.Measure == recorder.MeasureTotal {
			calls += d.Histogram.Count()
		}
	}
	c.Check(calls, qt.Equals, int64(10000))
}

func TestSuccessfulCallsDoNotEvictRefusals(t *testing.T) {
	c := qt.New(t)
	var r recorder.Recorder
	r.Record(hemlocktally.CallRecord{Call: "lost", Contract: "A", Outcome: hemlocktally.OutcomeUnknown, Reason: hemlocktally.ReasonTargetFailed})
	for i := range 20000 {
		record := done("A", "x", time.Millisecond)
		record.Call = hemlocktally.CallID(fmt.Sprint(i))
		record.Started = time.Unix(int64(i), 0)
		r.Record(record)
	}
	found, ok := r.Find("lost")
	c.Check(ok, qt.IsTrue)
	c.Check(found.Reason, qt.Equals, hemlocktally.ReasonTargetFailed)
	_, ok = r.Find("1")
	c.Check(ok, qt.IsFalse)
	c.Check(len(r.Calls()) <= 1000, qt.IsTrue)
	c.Check(r.Refusals(), qt.HasLen, 1)
}

func TestConcurrentRecordLosesNoCalls(t *testing.T) {
	c := qt.New(t)
	var r recorder.Recorder
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				r.Record(done("A", "x", time.Millisecond))
			}
		})
	}
	wg.Wait()
	c.Check(recorder.Summarize(&r)[0].Calls, qt.Equals, uint64(8000))
}

func TestExpositionIsCumulativeAndStable(t *testing.T) {
	c := qt.New(t)
	var r recorder.Recorder
	r.Record(done("A", `x"y`, 2*time.Millisecond))
	r.Record(done("A", `x"y`, 20*time.Millisecond))
	r.Record(hemlocktally.CallRecord{Contract: "A", Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonShed})
	var b strings.Builder
	c.Assert(r.WriteMetrics(&b, []recorder.Metric{{Name: "revision", Help: "Revision in force.", Type: "gauge", Value: 7}}), qt.IsNil)
	labels := `{contract="A",tenant="x\"y",outcome="Done",measure="Total"`
	for _, line := range []string{
		"hemlocktally_call_seconds_bucket" + labels + `,le="0.0025"} 1`,
		"hemlocktally_call_seconds_bucket" + labels + `,le="0.025"} 2`,
		"hemlocktally_call_seconds_bucket" + labels + `,le="+Inf"} 2`,
		"hemlocktally_call_seconds_count" + labels + "} 2",
		`hemlocktally_refusals_total{contract="A",reason="Shed",outcome="NotRun"} 1`,
		"hemlocktally_revision 7",
	} {
		c.Check(b.String(), qt.Contains, line+"\n")
	}
}

func BenchmarkRecord(b *testing.B) {
	var r recorder.Recorder
	record := done("A", "x", time.Millisecond)
	record.Attempts = make([]hemlocktally.AttemptRecord, 1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(record)
		}
	})
}
