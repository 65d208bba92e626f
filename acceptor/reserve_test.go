package acceptor_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/acceptor"
	"hemlocktally/reserver"
)

// serveReserved serves callers within a budget and returns the address.
func serveReserved(t *testing.T, r *reserver.Reserver, handler http.HandlerFunc) string {
	t.Helper()
	p := &acceptor.Pipeline{
		Handler: handler, Idempotent: func(r *http.Request) bool { return r.Method == http.MethodGet }, Reserver: r,
		HeadLimit: func() int { return 16 << 10 },
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 1 << 20}
	p.ConfigureServer(server)
	go func() { _ = server.Serve(p.Listener(acceptor.Listener{Listener: listener})) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// statusFor sends the text and returns the status of the response; zero if there is none.
func statusFor(c *qt.C, address, text string) int {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, _ = io.WriteString(conn, text)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func awaitEmpty(c *qt.C, r *reserver.Reserver) {
	for end := time.Now().Add(10 * time.Second); r.Stats().Used > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Check(r.Stats().Used, qt.Equals, int64(0), qt.Commentf("not all was released"))
}

func ok(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusOK)
}

// Heads beyond the limits are refused while they arrive, and nothing stays reserved; a head of
// legal size is served however many lines it has.
func TestHeadsAreJudgedWhileTheyArrive(t *testing.T) {
	c := qt.New(t)
	const start = "GET / HTTP/1.1\r\nHost: h\r\n"
	for name, test := range map[string]struct {
		text   string
		status int
		kind   reserver.Kind
	}{
		"endless lines":   {start + strings.Repeat("a:\r\n", 10_000), http.StatusRequestHeaderFieldsTooLarge, reserver.KindHeadSize},
		"an endless line": {start + "a: " + strings.Repeat("a", 40_000), http.StatusRequestHeaderFieldsTooLarge, reserver.KindHeadSize},
		"empty lines":     {strings.Repeat("\r\n", 100), http.StatusBadRequest, reserver.KindEmptyLines},
		"many lines":      {start + strings.Repeat("a:\r\n", 4000) + "\r\n", http.StatusOK, -1},
		"an ordinary one": {start + "\r\n", http.StatusOK, -1},
	} {
		r := &reserver.Reserver{Bytes: 8 << 20}
		c.Check(statusFor(c, serveReserved(t, r, ok), test.text), qt.Equals, test.status, qt.Commentf(name))
		awaitEmpty(c, r)
		if test.kind >= 0 {
			c.Check(r.Stats().Refusals[test.kind], qt.Equals, uint64(1), qt.Commentf(name))
		}
	}
}

// A head beyond the budget is refused as not run, and the handler does not see it.
func TestHeadBeyondTheBudgetIsRefused(t *testing.T) {
	c := qt.New(t)
	r := &reserver.Reserver{Bytes: 256 << 10}
	address := serveReserved(t, r, func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.URL.Path, qt.Equals, "/small")
		ok(w, r)
	})
	var lines strings.Builder
	for n := range 2500 {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	c.Check(statusFor(c, address, "GET /large HTTP/1.1\r\nHost: h\r\n"+lines.String()+"\r\n"), qt.Equals, http.StatusServiceUnavailable)
	awaitEmpty(c, r)
	c.Check(statusFor(c, address, "GET /small HTTP/1.1\r\nHost: h\r\n\r\n"), qt.Equals, http.StatusOK)
	awaitEmpty(c, r)
}

// A request whose body stays away is refused as not run when its memory is needed, and its
// handler learns why.
func TestEvictedBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	r := &reserver.Reserver{Bytes: 1 << 20}
	reading := make(chan *reserver.Holder, 1)
	causes := make(chan error, 1)
	address := serveReserved(t, r, func(w http.ResponseWriter, r *http.Request) {
		holder := reserver.FromContext(r.Context())
		holder.Wait(reserver.Receiving)
		reading <- holder
		_, err := io.ReadAll(r.Body)
		causes <- err
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status := make(chan int, 1)
	go func() {
		status <- statusFor(c, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nabc")
	}()
	holder := <-reading
	time.Sleep(300 * time.Millisecond) // A connection counts as slow after 250 ms.
	c.Check(holder.Reserve(2<<20), qt.IsFalse)
	var overload *hemlocktally.OverloadError
	c.Check(errors.As(<-causes, &overload), qt.IsTrue)
	c.Check(<-status, qt.Equals, http.StatusServiceUnavailable)
	awaitEmpty(c, r)
}

// Pipelined requests are served, with or without room to serve them ahead.
func TestPipelineWithinBudget(t *testing.T) {
	c := qt.New(t)
	for _, budget := range []int64{reserver.ConnectionCost + 2*reserver.RequestCost, 8 << 20} {
		r := &reserver.Reserver{Bytes: budget}
		conn, err := net.Dial("tcp", serveReserved(t, r, ok))
		c.Assert(err, qt.IsNil)
		const requests = 50
		_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		reader := bufio.NewReader(conn)
		for range requests {
			response, err := http.ReadResponse(reader, nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			_ = response.Body.Close()
		}
		_ = conn.Close()
		awaitEmpty(c, r)
	}
}
