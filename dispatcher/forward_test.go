package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// fixedReachability implements hemlocktally.Reachability.
type fixedReachability struct{ isolated bool }

func (fixedReachability) Failed(hemlocktally.ServiceName, hemlocktally.Target) {}

func (r fixedReachability) Isolated(hemlocktally.ServiceName) bool { return r.isolated }

// singleForwarder hands calls over to one instance.
type singleForwarder struct {
	address string
	calls   int
}

func (f *singleForwarder) Forward(ctx context.Context, newRequest func(string) *http.Request) (*http.Response, hemlocktally.InstanceID, error) {
	f.calls++
	response, err := http.DefaultTransport.RoundTrip(newRequest(f.address).WithContext(ctx))
	if err != nil {
		return nil, "peer", &hemlocktally.ForwardError{Instance: "peer", Sent: true, Cause: err}
	}
	return response, "peer", nil
}

// newPair returns an isolated dispatcher and the one that it hands its calls over to, which has
// the targets.
func newPair(t *testing.T, contract hemlocktally.Contract, targets ...*scriptedTarget) (isolated, peer *harness, forwarder *singleForwarder) {
	t.Helper()
	unreachable := &scriptedTarget{address: "127.0.0.1:1"}
	isolated, peer = newHarness(t, contract, unreachable), newHarness(t, contract, targets...)
	server := httptest.NewServer(http.HandlerFunc(peer.ServeForwarded))
	t.Cleanup(server.Close)
	t.Cleanup(http.DefaultTransport.(*http.Transport).CloseIdleConnections)
	forwarder = &singleForwarder{address: server.Listener.Addr().String()}
	isolated.InstanceID, isolated.Reachability, isolated.Forwarder = "e-1", fixedReachability{isolated: true}, forwarder
	peer.InstanceID = "e-2"
	return isolated, peer, forwarder
}

// The response of the target reaches the caller of the isolated instance unchanged, and the target
// gets the caller's request.
func TestHandedOverCallIsServed(t *testing.T) {
	c := qt.New(t)
	var got *http.Request
	target := startScriptedTarget(t, func(_ int64, r *http.Request, conn net.Conn) bool {
		got = r
		return writeText(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-Mark: m\r\nHemlocktally-Forward-Outcome: NotRun\r\n\r\nok")
	})
	isolated, _, forwarder := newPair(t, hemlocktally.Contract{NonIdempotent: true}, target)
	response := isolated.send(http.MethodPost, "/a%20b?x=1", "body", "X-Caller", "v", hemlocktally.HeaderForwarded, "forged;9;9;9")
	c.Assert(response.err, qt.IsNil)
	c.Check(response.status, qt.Equals, http.StatusCreated)
	c.Check(response.body, qt.Equals, "ok")
	c.Check(response.header.Get("X-Mark"), qt.Equals, "m")
	c.Check(response.header.Get(hemlocktally.HeaderForwardOutcome), qt.Equals, "")
	c.Check(got.URL.RequestURI(), qt.Equals, "/a%20b?x=1")
	c.Check(got.Header.Get("X-Caller"), qt.Equals, "v")
	c.Check(got.Header.Get(hemlocktally.HeaderForwarded), qt.Equals, "")
	c.Check(forwarder.calls, qt.Equals, 1)
	c.Check(isolated.granter.requests, qt.HasLen, 0, qt.Commentf("the other instance asks for the grant"))
	c.Check(target.runs.Load(), qt.Equals, int64(1))
}

// Refusals of the other instance keep their outcome: what has run is never called not run.
func TestRefusalOfHandedOverCallKeepsItsOutcome(t *testing.T) {
	c := qt.New(t)
	breaking := startScriptedTarget(t, func(int64, *http.Request, net.Conn) bool { return false })
	isolated, peer, forwarder := newPair(t, hemlocktally.Contract{NonIdempotent: true}, breaking)
	got := isolated.send(http.MethodPost, "/x", "body")
	c.Check(got.status, qt.Equals, http.StatusBadGateway)
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, string(hemlocktally.OutcomeUnknown))
	c.Check(breaking.runs.Load(), qt.Equals, int64(1))
	c.Check(forwarder.calls, qt.Equals, 1)

	peer.granter.refuse = func(hemlocktally.GrantRequest) error {
		return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonShed, RetryAfter: 3 * time.Second}
	}
	got = isolated.send(http.MethodPost, "/x", "body")
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, string(hemlocktally.OutcomeNotRun))
	c.Check(got.header.Get("Retry-After"), qt.Equals, "3")
	c.Check(breaking.runs.Load(), qt.Equals, int64(1))
}

// Two instances that are both isolated refuse the call at once; it does not go back and forth.
func TestHandedOverCallIsNotHandedOverAgain(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
	isolated, peer, _ := newPair(t, hemlocktally.Contract{}, target)
	back := &singleForwarder{address: isolated.url}
	peer.Reachability, peer.Forwarder = fixedReachability{isolated: true}, back
	got := isolated.send(http.MethodGet, "/x", "")
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(got.body, qt.Contains, string(hemlocktally.ReasonIsolated))
	c.Check(back.calls, qt.Equals, 0)
	c.Check(target.runs.Load(), qt.Equals, int64(0))
}

// The other instance makes no more attempts than the contract leaves, and none after the deadline
// that the call had at the first one.
func TestHandedOverCallKeepsItsBounds(t *testing.T) {
	c := qt.New(t)
	breaking := func(int64, *http.Request, net.Conn) bool { return false }
	first, second := startScriptedTarget(t, breaking), startScriptedTarget(t, breaking)
	_, peer, forwarder := newPair(t, hemlocktally.Contract{MaxAttempts: 3, Deadline: time.Second}, first, second)
	send := func(forwarded string) callResult {
		request, err := http.NewRequest(http.MethodGet, "http://"+forwarder.address+"/x", http.NoBody)
		c.Assert(err, qt.IsNil)
		request.Header.Set(hemlocktally.HeaderForwarded, forwarded)
		response, err := http.DefaultTransport.RoundTrip(request)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		return callResult{status: response.StatusCode, header: response.Header}
	}
	revision := peer.config.config.Revision
	send(fmt.Sprintf("e-1;%d;0;1", revision))
	c.Check(first.runs.Load()+second.runs.Load(), qt.Equals, int64(1))
	response := send(fmt.Sprintf("e-1;%d;%d;1", revision, (2 * time.Second).Microseconds()))
	c.Check(response.header.Get(hemlocktally.HeaderForwardOutcome), qt.Equals, string(hemlocktally.OutcomeNotRun))
	c.Check(first.runs.Load()+second.runs.Load(), qt.Equals, int64(1))
	response = send(fmt.Sprintf("e-1;%d;0;1", revision+1))
	c.Check(response.header.Get(hemlocktally.HeaderForwardReason), qt.Equals, string(hemlocktally.ReasonStarting), qt.Commentf("an older configuration"))
	for _, malformed := range []string{"x", "e;a;0;1", "e;1;-1;1", "e;1;0;", "e;1;0;99999999999", strings.Repeat(";", 3)} {
		c.Check(send(malformed).status, qt.Equals, http.StatusBadRequest, qt.Commentf("%q", malformed))
	}
	peer.StopsAt = func() time.Time { return time.Now().Add(time.Hour) }
	c.Check(send("e-1;1;0;1").header.Get(hemlocktally.HeaderForwardReason), qt.Equals, string(hemlocktally.ReasonLeaving))
	c.Check(peer.Forwarded(), qt.Equals, int64(0))
}

// A caller that gives up ends the work that was handed over.
func TestCancellationReachesTheOtherInstance(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		defer close(closed)
		_, err := conn.Read(make([]byte, 1))
		return err == nil
	})
	isolated, _, _ := newPair(t, hemlocktally.Contract{Deadline: time.Minute}, target)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, isolated.url+"/x", http.NoBody)
	c.Assert(err, qt.IsNil)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	c.Check(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		c.Fatal("the target still works on the call")
	}
}

// Server errors of all targets that the other instance tried: the call is not handed over once more,
// beyond the attempts that the contract allows.
func TestServerErrorOfHandedOverCallIsFinal(t *testing.T) {
	c := qt.New(t)
	failing := func(_ int64, _ *http.Request, conn net.Conn) bool {
		return writeText(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	}
	first, second := startScriptedTarget(t, failing), startScriptedTarget(t, failing)
	isolated, _, forwarder := newPair(t, hemlocktally.Contract{MaxAttempts: 2}, first, second)
	c.Check(isolated.send(http.MethodGet, "/x", "").status, qt.Equals, http.StatusInternalServerError)
	c.Check(first.runs.Load()+second.runs.Load(), qt.Equals, int64(2))
	c.Check(forwarder.calls, qt.Equals, 1)
}

// consumingForwarder reads the body for an instance that then can't serve the call, and asks for
// the request to a second one.
type consumingForwarder struct{ second *http.Request }

func (f *consumingForwarder) Forward(_ context.Context, newRequest func(string) *http.Request) (*http.Response, hemlocktally.InstanceID, error) {
	_, _ = newRequest("first").Body.Read(make([]byte, 5<<10))
	f.second = newRequest("second")
	return nil, "first", &hemlocktally.ForwardError{Instance: "first", Cause: errors.New("unable")}
}

// A body that is streamed can be sent once: after an instance that could not serve the call, neither
// another one nor a target gets the rest of it.
func TestStreamedBodyIsHandedOverOnce(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
	h := newHarness(t, hemlocktally.Contract{}, target)
	f := &consumingForwarder{}
	h.Reachability, h.Forwarder = fixedReachability{isolated: true}, f
	got := h.send(http.MethodPost, "/x", strings.Repeat("x", 64<<10))
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(f.second, qt.IsNil)
	c.Check(target.runs.Load(), qt.Equals, int64(0))
}
