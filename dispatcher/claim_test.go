package dispatcher_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// fakeClaimer returns a fixed verdict and records its requests and results.
type fakeClaimer struct {
	verdict      hemlocktally.Claim
	err          error
	mu           sync.Mutex
	requests     []hemlocktally.ClaimRequest
	results      []hemlocktally.ClaimResult
	finishCalled chan struct{}
	runAfter     int // runAfter is the number of requests after which the verdict is Run; zero means never.
}

func (f *fakeClaimer) Begin(_ context.Context, request hemlocktally.ClaimRequest) (hemlocktally.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
	claim := f.verdict
	if f.runAfter > 0 && len(f.requests) > f.runAfter {
		claim.Verdict = hemlocktally.ClaimRun
	}
	claim.Request = request
	return claim, f.err
}

func (f *fakeClaimer) Finish(_ context.Context, result hemlocktally.ClaimResult) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
	f.finishCalled <- struct{}{}
	return nil
}

func (f *fakeClaimer) awaitResult(t *testing.T) hemlocktally.ClaimResult {
	t.Helper()
	select {
	case <-f.finishCalled:
	case <-time.After(5 * time.Second):
		t.Fatal("the claim was not finished within 5 s")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.results, qt.HasLen, 1)
	return f.results[0]
}

func newClaimHarness(t *testing.T, verdict hemlocktally.Claim, script func(int64, *http.Request, net.Conn) bool) (*harness, *fakeClaimer, *scriptedTarget) {
	t.Helper()
	target := startScriptedTarget(t, script)
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true, Deadline: 2 * time.Second}, target)
	f := &fakeClaimer{verdict: verdict, finishCalled: make(chan struct{}, 8)}
	h.Claimer = f
	return h, f, target
}

func TestClaimVerdicts(t *testing.T) {
	kept := &hemlocktally.StoredResponse{Status: 201, Header: http.Header{"Etag": {"x"}, "Hemlocktally-Call": {"old"}}, Body: []byte("kept")}
	for _, test := range []struct {
		claim              hemlocktally.Claim
		err                error
		status             int
		outcome, retry, is string
	}{
		{hemlocktally.Claim{Verdict: hemlocktally.ClaimDone, Response: kept}, nil, 201, "Done", "", "kept"},
		{hemlocktally.Claim{Verdict: hemlocktally.ClaimDone}, nil, 502, "Unknown", "", ""},
		{hemlocktally.Claim{Verdict: hemlocktally.ClaimRunning}, nil, 409, "Unknown", "1", ""},
		{hemlocktally.Claim{Verdict: hemlocktally.ClaimUnknown}, nil, 502, "Unknown", "", ""},
		{hemlocktally.Claim{Verdict: hemlocktally.ClaimDiffers}, nil, 422, "NotRun", "", ""},
		{hemlocktally.Claim{Verdict: hemlocktally.ClaimRefused}, nil, 503, "NotRun", "1", ""},
		{hemlocktally.Claim{}, errors.New("no holder"), 503, "NotRun", "1", ""},
	} {
		t.Run(string(test.claim.Verdict)+test.outcome, func(t *testing.T) {
			c := qt.New(t)
			h, f, target := newClaimHarness(t, test.claim, respondWith(okResponse))
			f.err = test.err
			got := h.send("POST", "/pay?x=1", "body", "Idempotency-Key", "k1")
			c.Check(got.status, qt.Equals, test.status)
			c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, test.outcome)
			c.Check(got.header.Get("Retry-After"), qt.Equals, test.retry)
			c.Check(target.runs.Load(), qt.Equals, int64(0))
			c.Check(f.results, qt.HasLen, 0)
			if test.is != "" {
				c.Check(got.body, qt.Equals, test.is)
				c.Check(got.header.Get(hemlocktally.HeaderReplayed), qt.Equals, "true")
				c.Check(got.header.Get("Etag"), qt.Equals, "x")
				c.Check(got.header.Get(hemlocktally.HeaderCall), qt.Not(qt.Equals), "old")
			}
		})
	}
}

// While the key's range is handed over to another instance, the call waits for the
// new holder.
func TestRefusedClaimIsRetried(t *testing.T) {
	c := qt.New(t)
	h, f, target := newClaimHarness(t, hemlocktally.Claim{Verdict: hemlocktally.ClaimRefused}, respondWith(okResponse))
	f.runAfter = 2
	got := h.send("POST", "/pay", "body", "Idempotency-Key", "k1")
	c.Check(got.status, qt.Equals, 200)
	c.Check(f.requests, qt.HasLen, 3)
	result := f.awaitResult(t)
	c.Check(result.Outcome, qt.Equals, hemlocktally.OutcomeDone)
	c.Check(target.runs.Load(), qt.Equals, int64(1))
	// Each request needs its own call ID: a late message that abandons an earlier
	// request must not release the key of the call that runs.
	calls := map[hemlocktally.CallID]bool{}
	for _, request := range f.requests {
		calls[request.Call] = true
	}
	c.Check(calls, qt.HasLen, 3)
	c.Check(result.Claim.Request.Call, qt.Equals, f.requests[2].Call)
}

func TestClaimIsFinishedWithTheOutcome(t *testing.T) {
	run := hemlocktally.Claim{Verdict: hemlocktally.ClaimRun}
	large := "HTTP/1.1 200 OK\r\nContent-Length: 8000\r\n\r\n" + string(make([]byte, 8000))
	for _, test := range []struct {
		name    string
		script  func(int64, *http.Request, net.Conn) bool
		outcome hemlocktally.Outcome
		kept    bool
	}{
		{"complete response", respondWith(okResponse), hemlocktally.OutcomeDone, true},
		{"large response", respondWith(large), hemlocktally.OutcomeDone, false},
		{"truncated large response", respondAndClose(large[:6000]), hemlocktally.OutcomeUnknown, false},
		{"lost response", respondAndClose(""), hemlocktally.OutcomeUnknown, false},
		{"declared as not run", respondWith("HTTP/1.1 503 Busy\r\nHemlocktally-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), hemlocktally.OutcomeNotRun, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, f, _ := newClaimHarness(t, run, test.script)
			h.send("POST", "/pay", "body", "Idempotency-Key", "k1")
			result := f.awaitResult(t)
			c.Check(result.Outcome, qt.Equals, test.outcome)
			c.Check(result.Response != nil, qt.Equals, test.kept)
			c.Check(result.Claim.Request.Key, qt.Equals, "k1")
		})
	}
}

func TestNothingIsSentAfterTheFence(t *testing.T) {
	c := qt.New(t)
	h, f, target := newClaimHarness(t, hemlocktally.Claim{Verdict: hemlocktally.ClaimRun, Fence: time.Now().Add(-time.Millisecond)}, respondWith(okResponse))
	got := h.send("POST", "/pay", "body", "Idempotency-Key", "k1")
	c.Check(got.header.Get(hemlocktally.HeaderOutcome), qt.Equals, "NotRun")
	c.Check(f.awaitResult(t).Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
	c.Check(target.runs.Load(), qt.Equals, int64(0))
}

func TestClaimedCallIsFinishedAfterItsCallerDisconnected(t *testing.T) {
	c := qt.New(t)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	h, f, _ := newClaimHarness(t, hemlocktally.Claim{Verdict: hemlocktally.ClaimRun}, func(_ int64, _ *http.Request, conn net.Conn) bool {
		close(arrived)
		<-proceed
		return writeText(conn, okResponse)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/pay", nil)
	c.Assert(err, qt.IsNil)
	request.Header.Set("Idempotency-Key", "k1")
	go func() {
		<-arrived
		cancel()
	}()
	c.Assert(sendAndDiscard(request), qt.ErrorIs, context.Canceled)
	close(proceed)
	result := f.awaitResult(t)
	c.Check(result.Outcome, qt.Equals, hemlocktally.OutcomeDone)
	c.Check(string(result.Response.Body), qt.Equals, "ok")
}

func TestDigestDistinguishesRequests(t *testing.T) {
	c := qt.New(t)
	h, f, _ := newClaimHarness(t, hemlocktally.Claim{Verdict: hemlocktally.ClaimRunning}, respondWith(okResponse))
	for _, call := range [][]string{{"POST", "/pay?a", "x"}, {"POST", "/pay?a", "x"}, {"POST", "/pay?b", "x"}, {"PUT", "/pay?a", "x"}, {"POST", "/pay?a", "y"}} {
		h.send(call[0], call[1], call[2], "Idempotency-Key", "k1")
	}
	digests := map[string]bool{}
	for _, request := range f.requests {
		digests[string(request.Digest)] = true
	}
	c.Check(digests, qt.HasLen, 4)
}
