package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// headScan finds the end of a request's headers as net/http does: the first empty
// line after a non-empty one, each with or without a carriage return. Its zero
// value is the state at the start of a request.
type headScan struct {
	started  bool // started is set once a line was not empty; empty lines before it are skipped.
	nonEmpty bool // nonEmpty is set if the current line holds more than a carriage return.
	cr       bool // cr is set if the current line is a single carriage return so far.
	bytes    int  // bytes is the number of bytes so far.
	lines    int  // lines is the number of lines that have ended and were not empty.
	empty    int  // empty is the number of empty lines before the first other one.
}

// feed scans bytes. It returns how many of them belong to the headers, and whether
// the headers are complete.
func (h *headScan) feed(p []byte) (int, bool) {
	for i, b := range p {
		switch {
		case b == '\n' && !h.nonEmpty && h.started:
			h.bytes += i + 1
			return i + 1, true
		case b == '\n':
			if h.started {
				h.lines++
			} else {
				h.empty++
			}
			h.nonEmpty, h.cr = false, false
		case b == '\r' && !h.nonEmpty && !h.cr:
			h.cr = true
		default:
			h.nonEmpty, h.started = true, true
		}
	}
	h.bytes += len(p)
	return len(p), false
}

// aheadResult is the result of parsing the bytes after the requests that are being
// served.
type aheadResult int

const (
	aheadComplete   aheadResult = iota // aheadComplete is a complete request that may be served ahead.
	aheadPartial                       // aheadPartial is the beginning of such a request.
	aheadIneligible                    // aheadIneligible must wait until the server reads it.
)

// maxHeadBytes is the maximum size of request line and headers that are read
// ahead, in bytes. It is less than a server accepts.
const maxHeadBytes = 8 << 10

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
)

// parseAhead parses the request at the start of the text, with a body of a
// declared length, and returns it and its size in bytes. Anything that two parsers
// might interpret differently is left to the server, to prevent request smuggling.
func parseAhead(text []byte) (*http.Request, int, aheadResult) {
	end := bytes.Index(text, headEnd)
	switch {
	case end > maxHeadBytes || !plainLines(text[:max(0, end)]):
		return nil, 0, aheadIneligible
	case end < 0:
		return nil, 0, aheadPartial
	}
	size := end + len(headEnd)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text[:size])))
	if err != nil || !eligibleAhead(request) {
		return nil, 0, aheadIneligible
	}
	if request.ContentLength > int64(len(text)-size) {
		return nil, 0, aheadPartial
	}
	body := text[size : size+int(request.ContentLength)]
	request.Body = http.NoBody
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(bytes.Clone(body)))
	}
	return request, size + len(body), aheadComplete
}

// plainLines reports whether all lines end with CRLF and hold only visible ASCII,
// spaces and tabs.
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

// eligibleAhead reports whether a request may be served ahead: it is HTTP/1.1, has
// a host and no chunked body, and nothing in it affects the connection.
func eligibleAhead(r *http.Request) bool {
	if !r.ProtoAtLeast(1, 1) || r.ContentLength < 0 || len(r.TransferEncoding) > 0 || r.Host == "" || r.Close {
		return false
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false // The server rejects such a request.
		}
	}
	for _, name := range []string{"Connection", "Upgrade", "Expect", "Trailer", "Te"} {
		if len(r.Header[name]) > 0 {
			return false
		}
	}
	return true
}
