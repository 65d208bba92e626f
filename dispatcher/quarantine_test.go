package dispatcher_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// fakeQuarantine records what it is told and returns a fixed verdict.
type fakeQuarantine struct {
	mu        sync.Mutex
	verdict   hemlocktally.Verdict
	crashes   []hemlocktally.Fingerprint
	completed []hemlocktally.Fingerprint
	checked   []hemlocktally.Fingerprint
}

func (q *fakeQuarantine) Empty() bool { return false }

func (q *fakeQuarantine) Check(request hemlocktally.Fingerprint) (hemlocktally.Verdict, *hemlocktally.RefusedError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.checked = append(q.checked, request)
	if q.verdict == hemlocktally.VerdictHold {
		return q.verdict, &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonQuarantined, Detail: "held", RetryAfter: 1}
	}
	return q.verdict, nil
}

func (q *fakeQuarantine) RecordCrash(request hemlocktally.Fingerprint, _ hemlocktally.ServiceName, _ hemlocktally.Target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes = append(q.crashes, request)
}

func (q *fakeQuarantine) RecordCompletion(request hemlocktally.Fingerprint, _ hemlocktally.TargetName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.completed = append(q.completed, request)
}

// startCrashingTarget breaks off each request and refuses connections from then on.
func startCrashingTarget(t *testing.T) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	target := &scriptedTarget{address: listener.Addr().String()}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		target.serve(conn, func(int64, *http.Request, net.Conn) bool { return listener.Close() != nil })
	}()
	return target
}

func newQuarantineHarness(t *testing.T, contract hemlocktally.Contract, targets ...*scriptedTarget) (*harness, *fakeQuarantine) {
	t.Helper()
	h := newHarness(t, contract, targets...)
	q := &fakeQuarantine{}
	h.Quarantine, h.CrashDetector = q, h.Links.(hemlocktally.CrashDetector)
	return h, q
}

// A second target that crashes under one call is a reason not to try a third one.
func TestCallCrashesNoThirdTarget(t *testing.T) {
	c := qt.New(t)
	third := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
	h, q := newQuarantineHarness(t, hemlocktally.Contract{MaxAttempts: 4}, startCrashingTarget(t), startCrashingTarget(t), third)
	got := h.send(http.MethodGet, "/x", "")
	c.Check(got.status, qt.Equals, http.StatusBadGateway)
	c.Check(third.runs.Load(), qt.Equals, int64(0))
	c.Check(q.crashes, qt.HasLen, 2)
	c.Check(q.crashes[0], qt.Equals, q.crashes[1])
	c.Check(q.completed, qt.HasLen, 0)
}

// A connection that breaks is no crash: the target still accepts connections.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	c := qt.New(t)
	breaking := func(int64, *http.Request, net.Conn) bool { return false }
	last := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
	h, q := newQuarantineHarness(t, hemlocktally.Contract{MaxAttempts: 4}, startScriptedTarget(t, breaking), startScriptedTarget(t, breaking), last)
	c.Check(h.send(http.MethodGet, "/x", "").status, qt.Equals, http.StatusOK)
	c.Check(q.crashes, qt.HasLen, 0)
	c.Check(q.completed, qt.HasLen, 1)
}

// A request that is held back reaches no target, and the caller learns that it has not run.
func TestHeldRequestIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
	h, q := newQuarantineHarness(t, hemlocktally.Contract{}, target)
	q.verdict = hemlocktally.VerdictHold
	got := h.send(http.MethodGet, "/x", "")
	c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, string(hemlocktally.OutcomeNotRun))
	c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(target.runs.Load(), qt.Equals, int64(0))
	c.Check(h.granter.requests, qt.HasLen, 0)

	q.verdict = hemlocktally.VerdictTrial
	c.Check(h.send(http.MethodGet, "/x", "").status, qt.Equals, http.StatusOK)
	c.Check(h.granter.requests[0].Trial, qt.Equals, q.checked[0])
}

// The fingerprint tells apart what callers may send, and nothing else: another path, query, body,
// method or caller is another request, another call ID or connection is not.
func TestFingerprintIdentifiesWhatComesAgain(t *testing.T) {
	c := qt.New(t)
	target := startScriptedTarget(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return writeText(conn, okResponse) })
	h, q := newQuarantineHarness(t, hemlocktally.Contract{}, target)
	send := func(method, path, body string, header ...string) hemlocktally.Fingerprint {
		c.Assert(h.send(method, path, body, header...).status, qt.Equals, http.StatusOK)
		return q.checked[len(q.checked)-1]
	}
	first := send(http.MethodPost, "/a?x=1", "body", "Request-Id", "1")
	c.Check(send(http.MethodPost, "/a?x=1", "body", "Request-Id", "2", "User-Agent", "other"), qt.Equals, first)
	seen := map[hemlocktally.Fingerprint]bool{first: true}
	large := strings.Repeat("x", 5<<10)
	for _, f := range []hemlocktally.Fingerprint{
		send(http.MethodPut, "/a?x=1", "body"), send(http.MethodPost, "/a?x=2", "body"), send(http.MethodPost, "/a?x=", "1body"),
		send(http.MethodPost, "/b?x=1", "body"), send(http.MethodPost, "/a?x=1", "bodz"), send(http.MethodPost, "/a?x=1", ""),
		send(http.MethodPost, "/a?x=1", "body", "Authorization", "Bearer k"), send(http.MethodPost, "/a?x=1", large), send(http.MethodPost, "/a?x=1", large+"x"),
	} {
		c.Check(seen[f], qt.IsFalse)
		seen[f] = true
	}
}
