package dispatcher_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

type keptRecords struct{ records []hemlocktally.CallRecord }

func (k *keptRecords) Record(record hemlocktally.CallRecord) { k.records = append(k.records, record) }

// The time of an attempt that failed is the target's, not the balancer's.
func TestFailedAttemptsDoNotCountAsAddedTime(t *testing.T) {
	c := qt.New(t)
	const spent = 200 * time.Millisecond
	slow := serveRaw(t, func(int64, *http.Request, net.Conn) bool {
		time.Sleep(spent)
		return false
	})
	h := newHarness(t, hemlocktally.Contract{}, slow, serveRaw(t, always(okAnswer)))
	kept := &keptRecords{}
	h.Recorder = kept
	c.Assert(h.send("GET", "/log", "").body, qt.Equals, "ok")
	c.Assert(kept.records, qt.HasLen, 1)
	c.Check(kept.records[0].Attempts, qt.HasLen, 2)
	c.Check(kept.records[0].Serving >= spent, qt.IsTrue)
}
