package acceptor_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/acceptor"
)

// testServer is a server with a pipeline. Its handler blocks requests whose path
// contains "held" until the test releases them.
type testServer struct {
	pipeline acceptor.Pipeline
	server   *http.Server
	address  string

	mu         sync.Mutex
	started    []string // started lists the paths in the order in which their handlers started.
	running    int
	maxRunning int // maxRunning is the maximum number of handlers that ran at once.
	gates      map[string]chan struct{}
	cancelled  atomic.Int64 // cancelled counts the requests whose context was cancelled.
}

// idempotent reports false for requests below /once/.
func idempotent(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/once/") }

func startTestServer(t *testing.T, configure func(*acceptor.Pipeline)) *testServer {
	t.Helper()
	e := &testServer{gates: map[string]chan struct{}{}}
	e.pipeline.Handler = http.HandlerFunc(e.serve)
	e.pipeline.Idempotent = idempotent
	if configure != nil {
		configure(&e.pipeline)
	}
	e.server = &http.Server{ReadHeaderTimeout: 5 * time.Second}
	e.pipeline.ConfigureServer(e.server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e.address = listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- e.server.Serve(e.pipeline.Listener(acceptor.Listener{Listener: listener})) }()
	t.Cleanup(func() {
		_ = e.server.Close()
		qt.Check(t, errors.Is(<-done, http.ErrServerClosed), qt.IsTrue)
	})
	return e
}

func (e *testServer) gate(path string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	gate := e.gates[path]
	if gate == nil {
		gate = make(chan struct{})
		e.gates[path] = gate
	}
	return gate
}

// release lets the blocked handler of the path continue.
func (e *testServer) release(path string) { close(e.gate(path)) }

func (e *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.started = append(e.started, r.URL.Path)
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if strings.Contains(r.URL.Path, "held") {
		select {
		case <-e.gate(r.URL.Path):
		case <-r.Context().Done():
			e.cancelled.Add(1)
			if strings.Contains(r.URL.Path, "late") {
				time.Sleep(50 * time.Millisecond) // By then, all earlier responses have been written.
			}
			return
		}
	}
	if strings.Contains(r.URL.Path, "broken") {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, _ = io.WriteString(w, "answer to "+r.URL.Path+" "+string(body))
}

// startedPaths returns the paths whose handlers have started, joined by spaces.
func (e *testServer) startedPaths() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strings.Join(e.started, " ")
}

// awaitStarted waits until the handlers of the paths have started, in any order.
func (e *testServer) awaitStarted(t *testing.T, paths ...string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		missing := ""
		for _, path := range paths {
			if !strings.Contains(" "+e.startedPaths()+" ", " "+path+" ") {
				missing = path
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the handler of %s has not started; started are: %s", missing, e.startedPaths())
		}
	}
}

// caller is one client connection to the test server.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (e *testServer) dial(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", e.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &caller{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	qt.Assert(c.t, err, qt.IsNil)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: id-" + path + "\r\n\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: id-%s\r\nContent-Length: %d\r\n\r\n%s", path, path, len(body), body)
}

// reply is one response.
type reply struct {
	status int
	id     string
	last   bool // last is set if the response announces the close of the connection.
	body   string
}

// response reads the next response.
func (c *caller) response() (reply, error) {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, id: response.Header.Get("Request-Id"), last: response.Close, body: string(body)}, err
}

// expect reads the next response and checks that it is complete and belongs to the
// path. It reports whether it is the last one on the connection.
func (c *caller) expect(path, body string) (last bool) {
	c.t.Helper()
	got, err := c.response()
	qt.Assert(c.t, err, qt.IsNil, qt.Commentf("%s", path))
	qt.Check(c.t, got.status, qt.Equals, http.StatusOK)
	qt.Check(c.t, got.id, qt.Equals, "id-"+path)
	qt.Check(c.t, got.body, qt.Equals, "answer to "+path+" "+body)
	return got.last
}

// expectClosed checks that the connection ends without further bytes.
func (c *caller) expectClosed() {
	c.t.Helper()
	rest, err := io.ReadAll(c.in)
	qt.Check(c.t, err, qt.IsNil)
	qt.Check(c.t, string(rest), qt.Equals, "")
}

func TestPipelinedRequestsAreServedConcurrentlyAndAnsweredInOrder(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1") + get("/held/2") + post("/held/3", "with a body") + get("/4"))
	e.awaitStarted(t, "/held/1", "/held/2", "/held/3", "/4")
	e.release("/held/3")
	e.release("/held/2")
	time.Sleep(10 * time.Millisecond)
	e.release("/held/1")
	caller.expect("/held/1", "")
	caller.expect("/held/2", "")
	caller.expect("/held/3", "with a body")
	caller.expect("/4", "")
	caller.send(get("/5"))
	caller.expect("/5", "")
	c.Check(e.pipeline.ReadAheadCount(), qt.Equals, uint64(3))
}

// Requests that arrive in fragments while the first one is being served are read
// ahead.
func TestRequestsThatArriveLaterAreReadAhead(t *testing.T) {
	t.Parallel()
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1"))
	e.awaitStarted(t, "/held/1")
	for _, piece := range []string{"G", "ET /held/2 HTTP/1.1\r", "\nHost: h\r\nRequest-Id: id-/held/2\r\n\r", "\n" + get("/3")[:20], get("/3")[20:]} {
		caller.send(piece)
		time.Sleep(5 * time.Millisecond)
	}
	e.awaitStarted(t, "/held/2", "/3")
	e.release("/held/2")
	e.release("/held/1")
	caller.expect("/held/1", "")
	caller.expect("/held/2", "")
	caller.expect("/3", "")
}

// A non-idempotent request runs only after all earlier requests have their
// responses, and later requests wait for it.
func TestNonIdempotentRequestWaitsForEarlierResponses(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1") + get("/2") + post("/once/held/3", "pay") + get("/4"))
	e.awaitStarted(t, "/held/1", "/2")
	time.Sleep(30 * time.Millisecond)
	c.Check(e.startedPaths(), qt.Not(qt.Contains), "/once/")
	e.release("/held/1")
	caller.expect("/held/1", "")
	caller.expect("/2", "")
	e.awaitStarted(t, "/once/held/3")
	time.Sleep(30 * time.Millisecond)
	c.Check(e.startedPaths(), qt.Not(qt.Contains), "/4")
	e.release("/once/held/3")
	caller.expect("/once/held/3", "pay")
	caller.expect("/4", "")
}

func TestDepthIsBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, func(p *acceptor.Pipeline) { p.MaxConcurrent = 3 })
	caller := e.dial(t)
	var all strings.Builder
	for n := range 10 {
		all.WriteString(get(fmt.Sprintf("/held/%d", n)))
	}
	caller.send(all.String())
	e.awaitStarted(t, "/held/0", "/held/1", "/held/2")
	time.Sleep(20 * time.Millisecond)
	for n := range 10 {
		e.release(fmt.Sprintf("/held/%d", n))
	}
	for n := range 10 {
		caller.expect(fmt.Sprintf("/held/%d", n), "")
	}
	c.Check(e.maxRunning <= 3, qt.IsTrue, qt.Commentf("%d handlers ran at once", e.maxRunning))
}

// The amount that is read ahead is bounded; the remaining data stays in the socket
// buffers and at the caller.
func TestBytesReadAheadAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, func(p *acceptor.Pipeline) { p.MaxReadAheadBytes, p.MaxConcurrent = 4096, 1 })
	caller := e.dial(t)
	const requests = 3000
	go func() {
		for n := range requests {
			if _, err := io.WriteString(caller.conn, get(fmt.Sprintf("/%d", n))); err != nil {
				return
			}
		}
	}()
	for n := range requests {
		caller.expect(fmt.Sprintf("/%d", n), "")
	}
	c.Check(e.pipeline.ReadAheadCount(), qt.Equals, uint64(0))
}

// Valid requests before a malformed one get their responses first.
func TestMalformedBytesAfterValidRequests(t *testing.T) {
	t.Parallel()
	for name, bad := range map[string]string{
		"no request":         "nonsense\r\n\r\n",
		"two lengths":        "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"unknown coding":     "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: gzip\r\n\r\nabc",
		"folded first line":  "GET /x HTTP/1.1\r\n Host: h\r\n\r\n",
		"negative length":    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc",
		"no host":            "GET /x HTTP/1.1\r\n\r\n",
		"two hosts":          "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"space before colon": "GET /x HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n",
		"control bytes":      "GET /x HTTP/1.1\r\nHost: h\r\nA: \x01\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			e := startTestServer(t, nil)
			caller := e.dial(t)
			caller.send(get("/held/1") + get("/2") + bad)
			e.awaitStarted(t, "/held/1", "/2")
			e.release("/held/1")
			caller.expect("/held/1", "")
			caller.expect("/2", "")
			got, err := caller.response()
			c.Assert(err, qt.IsNil)
			want := http.StatusBadRequest
			if name == "unknown coding" {
				want = http.StatusNotImplemented
			}
			c.Check(got.status, qt.Equals, want)
			c.Check(got.last, qt.IsTrue)
			caller.expectClosed()
			c.Check(e.startedPaths(), qt.Not(qt.Contains), "/x")
		})
	}
}

// Headers whose end parsers might see at different places are left to the server.
func TestBareLineFeedsAreNotReadAhead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1") + "GET /2 HTTP/1.1\nHost: h\nRequest-Id: id-/2\n\n" + get("/3"))
	e.awaitStarted(t, "/held/1")
	time.Sleep(20 * time.Millisecond)
	c.Check(e.startedPaths(), qt.Equals, "/held/1")
	e.release("/held/1")
	caller.expect("/held/1", "")
	caller.expect("/2", "")
	caller.expect("/3", "")
}

// A request inside the body of another one is never served.
func TestBodyIsNotParsedAsRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	for _, body := range []string{
		post("/1", get("/hidden")),
		"POST /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: id-/1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(get("/hidden")), get("/hidden")),
	} {
		caller := e.dial(t)
		caller.send(body + get("/2"))
		caller.expect("/1", get("/hidden"))
		caller.expect("/2", "")
	}
	c.Check(e.startedPaths(), qt.Not(qt.Contains), "hidden")
}

// A caller that closes its connection cancels all of its open requests.
func TestClosedConnectionCancelsWhatWasReadAhead(t *testing.T) {
	t.Parallel()
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1") + get("/held/2") + get("/held/3"))
	e.awaitStarted(t, "/held/1", "/held/2", "/held/3")
	qt.Assert(t, caller.conn.Close(), qt.IsNil)
	for end := time.Now().Add(5 * time.Second); e.cancelled.Load() < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests were cancelled, want 3", e.cancelled.Load())
		}
	}
}

// An aborted response closes the connection. Later responses are not sent, because
// they would look like its remaining bytes.
func TestAbortedResponseClosesTheConnection(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1") + get("/broken/2") + get("/3"))
	e.awaitStarted(t, "/held/1", "/broken/2", "/3")
	e.release("/held/1")
	caller.expect("/held/1", "")
	_, err := caller.response()
	c.Check(err, qt.IsNotNil)
}
