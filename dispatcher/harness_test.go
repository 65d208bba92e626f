package dispatcher_test

import (
	"bufio"
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"hemlocktally"
	"hemlocktally/dialer"
	"hemlocktally/dispatcher"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// sendAndDiscard sends a request and discards the response.
func sendAndDiscard(request *http.Request) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// fixedConfiguration implements hemlocktally.ConfigurationSource.
type fixedConfiguration struct{ config hemlocktally.Configuration }

func (f *fixedConfiguration) Current() *hemlocktally.Configuration { return &f.config }

// fakeGranter grants the first target that is not excluded, and records its
// requests and results.
type fakeGranter struct {
	mu       sync.Mutex
	targets  []hemlocktally.Target
	requests []hemlocktally.GrantRequest
	results  []hemlocktally.GrantResult
	leaseEnd time.Time
	refuse   func(hemlocktally.GrantRequest) error
}

func (g *fakeGranter) Acquire(_ context.Context, request hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests = append(g.requests, request)
	if g.refuse != nil {
		if err := g.refuse(request); err != nil {
			return hemlocktally.Grant{}, err
		}
	}
	for _, t := range g.targets {
		if !slices.Contains(request.Exclude, t.Name) {
			return hemlocktally.Grant{ID: "turn", Service: request.Service, Target: t, Deadline: request.Deadline, LeaseEnd: g.leaseEnd}, nil
		}
	}
	return hemlocktally.Grant{}, &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonNoTarget}
}

func (g *fakeGranter) Release(result hemlocktally.GrantResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, result)
}

func (g *fakeGranter) outcomes() []hemlocktally.AttemptOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []hemlocktally.AttemptOutcome
	for _, r := range g.results {
		out = append(out, r.Outcome)
	}
	return out
}

// awaitOutcomes waits until the grants were released with the outcomes, in this
// order.
func (g *fakeGranter) awaitOutcomes(t *testing.T, want ...hemlocktally.AttemptOutcome) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); len(g.outcomes()) < len(want) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, g.outcomes(), qt.DeepEquals, want)
}

// scriptedTarget serves scripted connections and counts the requests that it read
// completely.
type scriptedTarget struct {
	address string
	runs    atomic.Int64
}

// startScriptedTarget calls the script for each request with its number, counted
// over all connections. A script that returns false closes the connection.
func startScriptedTarget(t *testing.T, script func(n int64, r *http.Request, conn net.Conn) bool) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	target := &scriptedTarget{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn, script)
		}
	}()
	return target
}

func (r *scriptedTarget) serve(conn net.Conn, script func(int64, *http.Request, net.Conn) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !script(r.runs.Add(1), request, conn) {
			return
		}
	}
}

func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// harness is a dispatcher in front of scripted targets.
type harness struct {
	*dispatcher.Dispatcher
	granter *fakeGranter
	config  *fixedConfiguration
	url     string
}

func newHarness(t *testing.T, contract hemlocktally.Contract, targets ...*scriptedTarget) *harness {
	t.Helper()
	contract.Name, contract.Service = "Class", "svc"
	g := &fakeGranter{}
	for i, target := range targets {
		g.targets = append(g.targets, hemlocktally.Target{Name: hemlocktally.TargetName(rune('a' + i)), Address: target.address, Zone: "z"})
	}
	config := &fixedConfiguration{hemlocktally.Configuration{
		Revision: 7, Services: []hemlocktally.Service{{Name: "svc", Targets: g.targets}}, Contracts: []hemlocktally.Contract{contract},
	}}
	h := &harness{Dispatcher: newDispatcher(config, g), granter: g, config: config}
	t.Cleanup(h.Links.(*dialer.Dialer).CloseIdle)
	server := httptest.NewUnstartedServer(h.Dispatcher)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

// send makes one call over HTTP/1.1 on a new connection. header lists names and
// values in turn.
func (h *harness) send(method, path, body string, header ...string) callResult {
	return h.sendOver(&http.Transport{DisableKeepAlives: true}, method, path, body, header...)
}

func (h *harness) sendOver(transport *http.Transport, method, path, body string, header ...string) callResult {
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	if body == "" {
		request.Body = nil
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	client := &http.Client{Timeout: 10 * time.Second, Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}
