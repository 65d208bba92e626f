package measurer_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"hemlocktally/measurer"
)

func TestSurveyRunFillsRow(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	survey := measurer.Benchmark{Instances: 3, Services: 2, Changes: 2, Crashes: 1, Idle: 500 * time.Millisecond, Seed: 1}
	row, err := survey.Run(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(row.Targets, qt.Equals, 16)
	c.Check(row.PeerMessages > 0, qt.IsTrue)
	c.Check(row.BusyStoreWrites > 0, qt.IsTrue)
	c.Check(row.ChangeWorst >= row.ChangeMedian && row.ChangeMedian > 0, qt.IsTrue)
	c.Check(row.CrashMedian > 0, qt.IsTrue)

	var out bytes.Buffer
	c.Assert(measurer.WriteCSV(&out, []measurer.Result{row}), qt.IsNil)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Check(strings.Count(lines[0], ","), qt.Equals, strings.Count(lines[1], ","))
}
