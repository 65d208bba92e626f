package acceptor_test

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally/acceptor"
)

// echoHandler is a handler whose responses describe the request, and that counts
// the requests by path.
type echoHandler struct {
	mu   sync.Mutex
	runs map[string]int
}

func (a *echoHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.mu.Lock()
	a.runs[r.URL.Path]++
	a.mu.Unlock()
	if strings.Contains(r.URL.Path, "slow") {
		time.Sleep(time.Millisecond)
	}
	if strings.Contains(r.URL.Path, "broken") {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, _ = fmt.Fprintf(w, "%s %s on %s: %s", r.Method, r.URL.Path, r.Host, body)
}

// exchange sends the pieces on one connection to a server. It returns all bytes
// received until the connection ends, without Date headers, and the number of
// handled requests by path.
func exchange(pipeline bool, pieces []string) (back string, runs map[string]int, err error) {
	handler := &echoHandler{runs: map[string]int{}}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, DisableGeneralOptionsHandler: true}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	var wrapped net.Listener = acceptor.Listener{Listener: listener}
	if pipeline {
		p := &acceptor.Pipeline{Handler: handler, Idempotent: idempotent}
		p.ConfigureServer(server)
		wrapped = p.Listener(wrapped)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(wrapped) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return "", nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", nil, err
	}
	var text []byte
	received := make(chan error, 1)
	go func() {
		var err error
		text, err = io.ReadAll(conn)
		received <- err
	}()
	for _, piece := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			break // The server has closed the connection.
		}
	}
	err = <-received
	_ = conn.Close()
	_ = server.Close()
	if end := <-done; !errors.Is(end, http.ErrServerClosed) {
		return "", nil, end
	}
	handler.mu.Lock()
	defer handler.mu.Unlock()
	var reset *net.OpError
	if errors.As(err, &reset) && !reset.Timeout() {
		err = nil // A close with unread data in the server's socket sends a reset.
	}
	return regexp.MustCompile(`Date: [^\r]*`).ReplaceAllString(string(text), ""), handler.runs, err
}

// drawRequest draws the n-th request of a connection.
func drawRequest(t *rapid.T, n int) string {
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		return post(fmt.Sprintf("/%d", n), get("/hidden"))
	case 1:
		return post(fmt.Sprintf("/once/%d", n), "pay")
	case 2:
		return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", n)
	case 3:
		return fmt.Sprintf("HEAD /%d HTTP/1.1\r\nHost: h\r\n\r\n", n)
	case 4:
		return fmt.Sprintf("GET /%d HTTP/1.1\nHost: h\n\n", n)
	case 5:
		return fmt.Sprintf("GET /once/slow/%d HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", n)
	case 6:
		return rapid.SampledFrom([]string{
			"\r\n", "nonsense\r\n\r\n", "GET /x HTTP/1.1\r\n\r\n", "GET /x HTTP/1.0\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
			"GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
			"GET /broken HTTP/1.1\r\nHost: h\r\n\r\n",
		}).Draw(t, "odd")
	default:
		return get(fmt.Sprintf("/%s%d", rapid.SampledFrom([]string{"", "slow/"}).Draw(t, "slow"), n))
	}
}

// Whatever a caller sends and however it is split into packets, the responses
// equal those of a server that handles one request after the other, and the same
// requests are handled.
func TestPipelineAnswersLikeAPlainServer(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		for n := range rapid.IntRange(1, 12).Draw(t, "requests") {
			all.WriteString(drawRequest(t, n))
		}
		all.WriteString("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		all.WriteString(get("/behind"))
		text := all.String()
		var pieces []string
		for len(text) > 0 {
			n := min(len(text), rapid.IntRange(1, 400).Draw(t, "piece"))
			pieces, text = append(pieces, text[:n]), text[n:]
		}
		want, plainRuns, err := exchange(false, pieces)
		if err != nil {
			t.Fatalf("plain server: %v", err)
		}
		got, runs, err := exchange(true, pieces)
		if err != nil || got != want {
			t.Fatalf("%v\ngot  %q\nwant %q\nfor  %q", err, got, want, pieces)
		}
		if !strings.Contains(all.String(), "/broken") && !maps.Equal(runs, plainRuns) {
			// Without an aborted response, reading ahead must not run other requests. After
			// one, requests that were read ahead have run although the connection is closed.
			t.Fatalf("ran %v, want %v\nfor %q", runs, plainRuns, pieces)
		}
	})
}

// FuzzPipeline sends arbitrary bytes: the server must not panic or hang, and must
// not handle a request that a server without reading ahead would not handle.
func FuzzPipeline(f *testing.F) {
	for _, seed := range []string{
		get("/1") + get("/2"), post("/1", "body") + get("/2"), get("/1") + post("/once/2", "x") + get("/3"),
		"GET / HTTP/1.1\nHost: h\n\n" + get("/2"), get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
		get("/1") + "\r\n\r\n" + get("/2"), get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		last := "\r\n\r\nGET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
		_, plainRuns, err := exchange(false, []string{text, last})
		if err != nil {
			t.Skip() // The plain server fails on this input, too, as it waits for more bytes.
		}
		_, runs, err := exchange(true, []string{text, last})
		qt.Assert(t, err, qt.IsNil)
		for path := range runs {
			qt.Check(t, plainRuns[path] > 0, qt.IsTrue, qt.Commentf("%q", path))
		}
	})
}
