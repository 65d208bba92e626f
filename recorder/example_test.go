package recorder_test

import (
	"fmt"
	"time"

	"hemlocktally"
	"hemlocktally/recorder"
)

func ExampleRecorder() {
	var r recorder.Recorder
	r.Record(hemlocktally.CallRecord{Contract: "Holds", Outcome: hemlocktally.OutcomeDone, Total: 20 * time.Millisecond, Serving: 19 * time.Millisecond})
	r.Record(hemlocktally.CallRecord{Contract: "Holds", Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonShed})
	summary := recorder.Summarize(&r)[0]
	fmt.Println(summary.Calls, summary.Refused, r.Refusals()[0].Key.Reason)
	// Output: 2 1 Shed
}

func ExampleMergeDistributions() {
	var a, b recorder.Recorder
	a.Record(hemlocktally.CallRecord{Contract: "Holds", Outcome: hemlocktally.OutcomeDone, Total: 100 * time.Microsecond})
	b.Record(hemlocktally.CallRecord{Contract: "Holds", Outcome: hemlocktally.OutcomeDone, Total: 200 * time.Microsecond})
	total := recorder.MergeDistributions(a.Distributions(), b.Distributions())[0]
	fmt.Println(total.Measure, total.Histogram.Count(), total.Histogram.Quantile(0.5), total.Histogram.Quantile(1))
	// Output: Total 2 100µs 200µs
}
