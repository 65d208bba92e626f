package dispatcher_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

type memoryRecorder struct{ records []hemlocktally.CallRecord }

func (k *memoryRecorder) Record(record hemlocktally.CallRecord) {
	k.records = append(k.records, record)
}

// The time of a failed attempt counts as time at the target, not as time that the
// balancer added.
func TestFailedAttemptsDoNotCountAsAddedTime(t *testing.T) {
	c := qt.New(t)
	const targetTime = 200 * time.Millisecond
	slow := startScriptedTarget(t, func(int64, *http.Request, net.Conn) bool {
		time.Sleep(targetTime)
		return false
	})
	h := newHarness(t, hemlocktally.Contract{}, slow, startScriptedTarget(t, respondWith(okResponse)))
	recorder := &memoryRecorder{}
	h.Recorder = recorder
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Assert(recorder.records, qt.HasLen, 1)
	c.Check(recorder.records[0].Attempts, qt.HasLen, 2)
	c.Check(recorder.records[0].Serving >= targetTime, qt.IsTrue)
}
