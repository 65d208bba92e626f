package tracer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/tracer"
)

// troubled returns the log line of a call of contract a, logged at the given time
// after 2026-01-01 00:00:00 UTC.
func troubled(at time.Duration, fields string) string {
	return fmt.Sprintf(`{"Event":2004,"Instance":"e-1","Call":"c","Contract":"a",%s,"level":"info","msg":"call","time":%q}`+"\n",
		fields, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(at).Format(time.RFC3339Nano))
}

func read(c *qt.C, logs ...string) *tracer.Losses {
	l := &tracer.Losses{}
	for n, log := range logs {
		c.Assert(l.Read(strings.NewReader(log), fmt.Sprint("log", n)), qt.IsNil)
	}
	return l
}

func written(c *qt.C, l *tracer.Losses) string {
	var b strings.Builder
	c.Assert(l.Write(&b), qt.IsNil)
	return b.String()
}

// Each kind of loss is counted under its own cause.
func TestLossesByCause(t *testing.T) {
	const late = `"Outcome":"Done","Status":200,"Objective":"200ms"`
	for _, example := range []struct{ fields, cause string }{
		{`"Outcome":"NotRun","Reason":"Shed","Status":503,"Total":"9ms","Queue":"0s","Serving":"0s"`, "notrun: Shed"},
		{`"Outcome":"Unknown","Reason":"Deadline","Status":504,"Total":"1s","Queue":"0s","Serving":"1s"`, "unknown: Deadline"},
		{`"Outcome":"Done","Status":500,"Total":"1s","Queue":"0s","Serving":"1s"`, "answered 500 by its target"},
		{late + `,"Total":"300ms","Queue":"250ms","Serving":"45ms","Attempts":"First i-1 by e-2 at 1ms: Done after 45ms"`, "late: waited for a turn"},
		{`"Outcome":"NotRun","Reason":"TargetLimit","Status":503,"Total":"1ms","Queue":"0s","Serving":"0s"`, "notrun: TargetLimit"},
		{late + `,"Total":"300ms","Queue":"250ms","Serving":"45ms","Attempts":"First i-1 by e-2 at 1ms: Done after 45ms (held back: limits of targets: i-1 names 2/s (300ms ago, to e-3))"`, "late: waited for a target's limit"},
		{late + `,"Total":"300ms","Queue":"20ms","Serving":"270ms","Attempts":"First i-1 by e-2 at 1ms: Done after 270ms"`, "late: long at its target"},
		{late + `,"Total":"300ms","Queue":"20ms","Serving":"270ms","Attempts":"First i-1 by e-2 at 1ms: Failed after 9ms; Retry i-2 by e-2 at 9ms: Done after 90ms"`, "late: sent more than once"},
		{late + `,"Total":"300ms","Queue":"20ms","Serving":"70ms","Attempts":"First i-1 by e-2 at 1ms: Done after 70ms"`, "late: before, between and after"},
		{late + `,"Total":"300ms","Queue":"20ms","Attempts":"First i-1 by e-2 at 1ms: Done after 70ms"`, "late: parts not told"},
		{late + `,"Total":"150ms","Queue":"20ms","Serving":"120ms","Attempts":"First i-1 by e-2 at 1ms: Done after 70ms; Hedge without a target at 100ms"`, "prompt: a second attempt got no turn"},
	} {
		c := qt.New(t)
		text := written(c, read(c, troubled(time.Second, example.fields)))
		c.Check(text, qt.Contains, example.cause, qt.Commentf("%s", example.fields))
		c.Check(text, qt.Contains, "2026-01-01 00:00:01  1: 1 "+example.cause)
	}
}

// A truncated log, lines of other programs, JSON of another shape and an empty file
// don't stop the reading; the lines are counted by whether they could be parsed.
func TestLossesOfBrokenLogs(t *testing.T) {
	c := qt.New(t)
	good := troubled(0, `"Outcome":"NotRun","Reason":"Shed"`)
	l := read(c, good+good[:len(good)/2]+"\n"+"panic: something\n\n{}\n"+strings.Repeat("x", 3<<20)+"\n"+good, "")
	c.Check(l.Lines, qt.Equals, 2)
	c.Check(l.Unread, qt.Equals, 1)
	c.Check(l.Foreign >= 3, qt.IsTrue, qt.Commentf("%d", l.Foreign))
	c.Check(written(c, l), qt.Contains, "2 log lines read, 1 could not be parsed")
}

// The offset of an instance's clock is added to the times of its lines.
func TestLossesWithOffsets(t *testing.T) {
	c := qt.New(t)
	l := &tracer.Losses{Offsets: map[string]time.Duration{"e-1": -5 * time.Second}}
	c.Assert(l.Read(strings.NewReader(troubled(5*time.Second, `"Outcome":"NotRun","Reason":"Shed"`)), "x"), qt.IsNil)
	c.Check(written(c, l), qt.Contains, "2026-01-01 00:00:00  1:")
}

// Logs that span many hours or name a new contract in each line don't grow the memory
// without bound, and the number of dropped calls is reported.
func TestLossesStayBounded(t *testing.T) {
	c := qt.New(t)
	l := &tracer.Losses{}
	const seconds = 3 * 60 * 60
	for n := range seconds {
		line := strings.Replace(troubled(time.Duration(n)*time.Second, `"Outcome":"NotRun","Reason":"Shed"`), `"Contract":"a"`, fmt.Sprintf(`"Contract":"a%d"`, n), 1)
		c.Assert(l.Read(strings.NewReader(line), "x"), qt.IsNil)
	}
	at, _ := l.Seconds()
	c.Check(len(at) <= 2*60*60, qt.IsTrue, qt.Commentf("%d", len(at)))
	c.Check(l.Dropped, qt.Equals, seconds-len(at))
	c.Check(strings.Count(written(c, l), "\n") < 1100, qt.IsTrue)
	c.Check(written(c, l), qt.Contains, "calls in older seconds are not counted by second")
}
