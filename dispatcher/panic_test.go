package dispatcher_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// panickingDialect panics where the field of the same name is set.
type panickingDialect struct {
	namingDialect
	readsRequest, readsResponse, writesResponse bool
}

func (d *panickingDialect) CallID(header http.Header) hemlocktally.CallID {
	if d.readsRequest {
		panic("a fault while the request is read")
	}
	return d.namingDialect.CallID(header)
}

func (d *panickingDialect) ReadResponse(status int, header http.Header) hemlocktally.ResponseInfo {
	if d.readsResponse {
		panic("a fault while the response is read")
	}
	return d.namingDialect.ReadResponse(status, header)
}

func (d *panickingDialect) WriteResponse(http.Header, hemlocktally.CallID) {
	if d.writesResponse {
		panic("a fault while the response is written")
	}
}

// Guards against a panic of a call that ends the process, the connection of its caller or a grant
// that is never released.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	for name, dialect := range map[string]*panickingDialect{
		"request": {readsRequest: true}, "response": {readsResponse: true}, "answer": {writesResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, startScriptedTarget(t, respondWith(okResponse)))
			h.Dialect = dialect
			conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for range 2 {
				c.Assert(writeText(conn, "GET /pay HTTP/1.1\r\nHost: h\r\n\r\n"), qt.IsTrue)
				status, err := readWhole(reader)
				c.Assert(err, qt.IsNil)
				c.Check(status, qt.Equals, http.StatusBadGateway)
			}
			c.Check(len(h.granter.outcomes()), qt.Equals, len(h.granter.requests))
		})
	}
}
