package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// headScan finds the end of a request's head as net/http does: the first empty
// line after one that is not, with or without a carriage return. Its zero value
// stands at the start of a head.
type headScan struct {
	begun bool // begun is set once a line was not empty: those before it are passed over.
	line  bool // line is set where the present line holds more than a carriage return.
	cr    bool // cr is set where the present line is one carriage return so far.
}

// feed takes bytes of the head. It returns how many belong to it, and whether
// they end it.
func (h *headScan) feed(p []byte) (int, bool) {
	for i, b := range p {
		switch {
		case b == '\n' && !h.line && h.begun:
			return i + 1, true
		case b == '\n':
			h.line, h.cr = false, false
		case b == '\r' && !h.line && !h.cr:
			h.cr = true
		default:
			h.line, h.begun = true, true
		}
	}
	return len(p), false
}

// What stands behind the requests that are served.
type aheadFound int

const (
	aheadWhole   aheadFound = iota // aheadWhole is a request that may be served ahead.
	aheadPartial                   // aheadPartial is the beginning of one.
	aheadUnfit                     // aheadUnfit has to wait until it is the server's turn to read it.
)

// mostHead is the longest head that is read ahead, in bytes: less than a server
// accepts.
const mostHead = 8 << 10

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// parseAhead reads the request at the start of the text, with a body of a
// declared length. Whatever is not plainly one is left to the server: bytes that
// two readers could understand in two ways are never served ahead.
func parseAhead(text []byte) (*http.Request, int, aheadFound) {
	end := bytes.Index(text, headEnd)
	switch {
	case end > mostHead || !plainLines(text[:max(0, end)]):
		return nil, 0, aheadUnfit
	case end < 0:
		return nil, 0, aheadPartial
	}
	size := end + len(headEnd)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text[:size])))
	if err != nil || !mayGoAhead(request) {
		return nil, 0, aheadUnfit
	}
	if request.ContentLength > int64(len(text)-size) {
		return nil, 0, aheadPartial
	}
	body := text[size : size+int(request.ContentLength)]
	request.Body = http.NoBody
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(bytes.Clone(body)))
	}
	return request, size + len(body), aheadWhole
}

// plainLines reports whether each line ends with both its bytes and holds
// visible ASCII only.
func plainLines(head []byte) bool {
	for line := range bytes.SplitSeq(head, lineEnd) {
		if len(line) == 0 && len(head) > 0 {
			return false
		}
		for _, b := range line {
			if (b < ' ' && b != '\t') || b > '~' {
				return false
			}
		}
	}
	return true
}

// mayGoAhead reports whether a request has nothing about it that concerns the
// connection.
func mayGoAhead(r *http.Request) bool {
	if !r.ProtoAtLeast(1, 1) || r.ContentLength < 0 || len(r.TransferEncoding) > 0 || r.Host == "" || r.Close {
		return false
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false // The server turns such a request away.
		}
	}
	for _, name := range []string{"Connection", "Upgrade", "Expect", "Trailer", "Te"} {
		if len(r.Header[name]) > 0 {
			return false
		}
	}
	return true
}
