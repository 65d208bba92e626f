package recorder_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/recorder"
)

// Operators see what became of each customer's calls, and a configuration with very many
// customers makes no more series than the limit.
func TestCustomersAreCounted(t *testing.T) {
	c := qt.New(t)
	r := &recorder.Recorder{}
	r.Record(hemlocktally.CallRecord{Customer: "a", Outcome: hemlocktally.OutcomeDone})
	r.Record(hemlocktally.CallRecord{Customer: "a", Outcome: hemlocktally.OutcomeDone, Late: true})
	r.Record(hemlocktally.CallRecord{Customer: "a", Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonQuota})
	r.Record(hemlocktally.CallRecord{Outcome: hemlocktally.OutcomeDone, Tenant: "tenant of an earlier deployment"})
	var out bytes.Buffer
	c.Assert(r.WriteMetrics(&out, nil), qt.IsNil)
	for _, line := range []string{
		`hemlocktally_customer_calls_total{customer="a"} 3`, `hemlocktally_customer_served_total{customer="a"} 2`,
		`hemlocktally_customer_late_total{customer="a"} 1`, `hemlocktally_customer_refused_total{customer="a",reason="Quota"} 1`,
	} {
		c.Check(out.String(), qt.Contains, line)
	}
	c.Check(strings.Count(out.String(), "hemlocktally_customer_calls_total{"), qt.Equals, 1)
	for i := range 1000 {
		r.Record(hemlocktally.CallRecord{Customer: hemlocktally.CustomerName(fmt.Sprint(i)), Outcome: hemlocktally.OutcomeDone})
	}
	c.Check(r.Customers(), qt.HasLen, 201)
}
