package tracer_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/tracer"
)

const entryLog = `{"Event":1001,"Instance":"e-1","level":"info","msg":"instance started","time":"2026-01-01T00:00:00Z"}
{"Event":4006,"Instance":"e-1","Revision":4,"level":"info","msg":"configuration in force","time":"2026-01-01T00:00:01Z"}
not a log line {
{"Event":4006,"Instance":"e-1","Revision":8,"level":"info","msg":"configuration in force","time":"2026-01-01T00:00:02Z"}
{"Event":2004,"Instance":"e-1","Call":"c1","Attempts":"First i-7 by e-2 at 1ms: Failed after 9ms","level":"info","msg":"call","time":"2026-01-01T00:00:03Z"}
{"Event":2004,"Instance":"e-1","Call":"c2","level":"info","msg":"call","time":"2026-01-01T00:00:03Z"}
{"Event":4006,"Instance":"e-1","Revision":9,"level":"info","msg":"configuration in force","time":"2026-01-01T00:00:04Z"}
`

const ownerLog = `   1.5 e-2 {"Event":3006,"Target":"i-7","Cause":"timeout","level":"info","msg":"target did not tell its load","time":"2026-01-01T00:00:07.500Z"}
   1.5 e-2 {"Event":3006,"Target":"i-8","Cause":"timeout","level":"info","msg":"target did not tell its load","time":"2026-01-01T00:00:07.500Z"}
`

func TestStoryJoinsLogsByTime(t *testing.T) {
	c := qt.New(t)
	logs := tracer.Logs{Call: "c1", Offsets: map[string]time.Duration{"e-2": -5 * time.Second}}
	c.Assert(logs.Read(strings.NewReader(entryLog), "one"), qt.IsNil)
	c.Assert(logs.Read(strings.NewReader(ownerLog), "two"), qt.IsNil)
	var b strings.Builder
	c.Assert(logs.WriteTimeline(&b), qt.IsNil)
	story := b.String()
	c.Check(story, qt.Contains, "Attempts = First i-7")
	c.Check(story, qt.Contains, "500ms before the end  e-2  3006")
	c.Check(story, qt.Contains, "Revision = 8")
	for _, absent := range []string{"Revision = 4", "Revision = 9", "i-8", "c2"} {
		c.Check(strings.Contains(story, absent), qt.IsFalse, qt.Commentf("%s", absent))
	}
}

func TestCallThatNoLogNames(t *testing.T) {
	c := qt.New(t)
	logs := tracer.Logs{Call: "c9"}
	c.Assert(logs.Read(strings.NewReader(entryLog), "one"), qt.IsNil)
	var unknown *tracer.UnknownCallError
	c.Assert(errors.As(logs.WriteTimeline(os.Stdout), &unknown), qt.IsTrue)
	c.Assert(unknown.Lines, qt.Equals, 6)
}

func FuzzRead(f *testing.F) {
	f.Add(entryLog)
	f.Add(ownerLog)
	f.Fuzz(func(_ *testing.T, text string) {
		logs := tracer.Logs{Call: "c1"}
		if err := logs.Read(strings.NewReader(text), "x"); err != nil {
			return
		}
		var b strings.Builder
		_ = logs.WriteTimeline(&b)
	})
}

// A call whose request crashed targets shows the crashes under other calls with the same request,
// and who holds it back; those of other requests stay out.
func TestStoryShowsCrashesOfTheSameRequest(t *testing.T) {
	c := qt.New(t)
	logs := tracer.Logs{Call: "c1"}
	c.Assert(logs.Read(strings.NewReader(`{"Event":2008,"Instance":"e-3","Call":"c0","Request":"aa","Target":"i-1","Crashed":true,"msg":"target broke off a call","time":"2026-01-01T00:00:01Z"}
{"Event":2008,"Instance":"e-3","Call":"c7","Request":"bb","Target":"i-2","Crashed":true,"msg":"target broke off a call","time":"2026-01-01T00:00:01Z"}
{"Event":2009,"Instance":"e-1","Request":"aa","Crashes":"i-1 1s ago at e-3","msg":"request held back","time":"2026-01-01T00:00:02Z"}
{"Event":2004,"Instance":"e-1","Call":"c1","Request":"aa","Reason":"Quarantined","msg":"call","time":"2026-01-01T00:00:03Z"}
`), "one"), qt.IsNil)
	var b strings.Builder
	c.Assert(logs.WriteTimeline(&b), qt.IsNil)
	c.Check(b.String(), qt.Contains, "2s before the end  e-3  2008")
	c.Check(b.String(), qt.Contains, "1s before the end  e-1  2009")
	c.Check(strings.Contains(b.String(), "i-2"), qt.IsFalse)
}
