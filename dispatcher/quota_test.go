package dispatcher_test

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// A further attempt counts against the quota only if the first one certainly did not run, since
// that one is given back then.
func TestFurtherAttemptsCountOnlyIfNoneRan(t *testing.T) {
	for name, test := range map[string]struct {
		first   string
		counted bool
	}{
		"rejected": {"HTTP/1.1 503 Service Unavailable\r\nHemlocktally-Not-Run: true\r\nContent-Length: 0\r\n\r\n", false},
		"broken":   {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			failing := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				_ = writeText(conn, test.first)
				return false
			})
			working := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
			h := newHarness(t, hemlocktally.Contract{}, failing, working)
			got := h.send(http.MethodGet, "/", "")
			c.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%v", got.err))
			h.granter.mu.Lock()
			defer h.granter.mu.Unlock()
			c.Assert(h.granter.requests, qt.HasLen, 2)
			c.Check(h.granter.requests[0].Counted, qt.IsFalse)
			c.Check(h.granter.requests[1].Counted, qt.Equals, test.counted)
		})
	}
}
