package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/reserver"
)

// serveWithin serves the harness's callers within a budget, as one connection.
func serveWithin(t *testing.T, h *harness, r *reserver.Reserver) (url string, holder *reserver.Holder) {
	t.Helper()
	holder = r.Open(netip.MustParseAddr("192.0.2.1"), func(reserver.Activity) {})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		h.ServeHTTP(w, request.WithContext(reserver.WithHolder(request.Context(), holder)))
	}))
	t.Cleanup(server.Close)
	return server.URL, holder
}

// A body that has no place in the budget is refused as not run: no target may see it.
func TestBodyBeyondTheBudgetIsRefused(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, respondWith(okResponse))
	h := newHarness(t, hemlocktally.Contract{}, target)
	r := &reserver.Reserver{Bytes: reserver.ConnectionCost + 6<<10}
	url, holder := serveWithin(t, h, r)
	response, err := http.Post(url+"/x", "text/plain", strings.NewReader(strings.Repeat("x", 8<<10)))
	c.Assert(err, qt.IsNil)
	c.Check(response.Body.Close(), qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.Header.Get(hemlocktally.HeaderOutcome), qt.Equals, string(hemlocktally.OutcomeNotRun))
	c.Check(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(target.runs.Load(), qt.Equals, int64(0))
	response, err = http.Post(url+"/x", "text/plain", strings.NewReader("small"))
	c.Assert(err, qt.IsNil)
	c.Check(response.Body.Close(), qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	holder.Close()
	awaitReleased(c, r)
}

// A response that has no place in the budget is streamed: the request has already run.
func TestResponseBeyondTheBudgetIsStreamed(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("r", 8<<10)
	target := startScriptedTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n\r\n"+body))
	h := newHarness(t, hemlocktally.Contract{}, target)
	r := &reserver.Reserver{Bytes: reserver.ConnectionCost + 6<<10}
	url, holder := serveWithin(t, h, r)
	response, err := http.Get(url + "/x")
	c.Assert(err, qt.IsNil)
	got := new(strings.Builder)
	_ = response.Write(got)
	c.Check(response.Body.Close(), qt.IsNil)
	c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	c.Check(strings.HasSuffix(got.String(), body), qt.IsTrue)
	holder.Close()
	awaitReleased(c, r)
}

func awaitReleased(c *qt.C, r *reserver.Reserver) {
	for end := time.Now().Add(10 * time.Second); r.Stats().Used > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(r.Stats().Used, qt.Equals, int64(0), qt.Commentf("not all was released"))
}
