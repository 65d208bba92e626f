package acceptor_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally/acceptor"
)

// panickingHandler panics for some paths: before it writes, by an invalid status, by a value, or
// after it has written a part of its response.
func panickingHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := strings.TrimPrefix(r.URL.Path, "/once")
		if path != r.URL.Path || strings.HasPrefix(path, "/panic") {
			w.Header().Set("Content-Length", "1000")
		}
		switch {
		case strings.HasPrefix(path, "/panic/value"):
			panic("a fault of the handler")
		case strings.HasPrefix(path, "/panic/status"):
			w.WriteHeader(0)
		case strings.HasPrefix(path, "/panic/late"):
			_, _ = w.Write([]byte("part"))
			panic("a fault of the handler")
		default:
			w.Header().Del("Content-Length")
			next.ServeHTTP(w, r)
		}
	})
}

// Guards against requests that lose their responses because the handler of another request on
// the same connection panics.
func TestPanicCostsNoOtherResponse(t *testing.T) {
	for _, path := range []string{"/panic/value", "/panic/status", "/once/panic/value", "/once/panic/status"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			e := startTestServer(t, func(p *acceptor.Pipeline) { p.Handler = panickingHandler(p.Handler) })
			caller := e.dial(t)
			caller.send(get("/a") + get(path) + get("/b") + get(path) + get(path) + get("/c"))
			caller.expect("/a", "")
			for _, panics := range []int{1, 2} {
				for range panics {
					got, err := caller.response()
					c.Assert(err, qt.IsNil)
					c.Check(got.status, qt.Equals, http.StatusBadGateway)
				}
				caller.expect([]string{"/b", "/c"}[panics-1], "")
			}
		})
	}
}

// Guards against a partial response that looks complete: a handler that panics after the start of
// its response can only break it off.
func TestPanicWithinAResponseBreaksItOff(t *testing.T) {
	for _, path := range []string{"/panic/late", "/once/panic/late"} {
		t.Run(path, func(t *testing.T) {
			e := startTestServer(t, func(p *acceptor.Pipeline) { p.Handler = panickingHandler(p.Handler) })
			caller := e.dial(t)
			caller.send(get("/a") + get(path))
			caller.expect("/a", "")
			_, err := caller.response()
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}
