package validator_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/validator"
)

// responses are valid and malformed responses, from which the fuzz target starts.
var responses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nA: b\r\n\r\n",
	"HTTP/1.1 200 OK\r\n\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.0 200\nContent-Length: 4\n\nbody",
	"HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nHTTP/1.1 304 Not Modified\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\nmore",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4 \r\nbody\r\n0\r\nA : b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n04\r\nbody\r\n0\r\nA: b\n c\n\n",
	"HTTP/1.1 200 OK\r\nContent-Length: +4\r\nBad Name: x\r\n folded\r\n\r\nbody",
	"HTTP/1.1 099 Odd\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n",
}

// judge feeds the text, in parts of the given size, up to the end of the first final response.
// It returns how many bytes are valid, whether the response is complete there, and whether it ends
// with its connection.
func judge(text []byte, head bool, part int) (valid int, complete, untilEnd bool, err error) {
	s := validator.Scanner{NoBody: head}
	final := false
	for valid < len(text) {
		end := min(len(text), valid+part)
		if part == 1 && s.Idle() {
			// The status of the response that begins here says whether it is the final one.
			final = !bytes.HasPrefix(text[min(len(text), valid+len("HTTP/1.x ")):], []byte("1"))
		}
		n, err := s.Feed(text[valid:end])
		valid += n
		if err != nil {
			return valid, false, false, err
		}
		if part == 1 && final && s.Idle() {
			return valid, true, false, nil
		}
	}
	return valid, false, s.UntilEnd(), nil
}

// failingReader returns the text and then an error.
type failingReader struct {
	text []byte
	err  error
}

func (r *failingReader) Read(p []byte) (int, error) {
	if len(r.text) == 0 {
		return 0, r.err
	}
	n := copy(p, r.text)
	r.text = r.text[n:]
	return n, nil
}

// readWithNetHTTP reads one final response as net/http's transport does.
func readWithNetHTTP(source io.Reader, head bool) (status int, read []byte, rest int, err error) {
	request := &http.Request{Method: http.MethodGet}
	if head {
		request.Method = http.MethodHead
	}
	reader := bufio.NewReader(source)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return 0, nil, 0, err
		}
		if s := response.StatusCode; s >= 100 && s < 200 && s != http.StatusSwitchingProtocols {
			continue
		}
		body, err := io.ReadAll(response.Body)
		return response.StatusCode, body, reader.Buffered(), errors.Join(err, response.Body.Close())
	}
}

var errInvalid = errors.New("the validator refused the next byte")

// FuzzScanner compares the scanner with the reader of net/http, which reads what the scanner lets
// through. Guards against two faults: net/http takes a response for complete that the scanner
// refuses, or both find its end at different bytes.
func FuzzScanner(f *testing.F) {
	for _, response := range responses {
		f.Add([]byte(response), false)
		f.Add([]byte(response), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, head bool) {
		valid, complete, untilEnd, refused := judge(text, head, 1)
		source := &failingReader{text: text[:valid], err: io.ErrUnexpectedEOF}
		switch {
		case refused != nil:
			source.err = errInvalid
		case untilEnd:
			source.err = io.EOF
		}
		status, _, rest, err := readWithNetHTTP(source, head)
		switch {
		case err != nil: // net/http refuses more: nothing reaches a caller.
		case !complete && !untilEnd:
			t.Fatalf("net/http read status %d although the response is not complete (%v): %q", status, refused, text)
		case rest != 0 || len(source.text) != 0:
			t.Fatalf("net/http left %d bytes of the response: %q", rest+len(source.text), text)
		case status < 100 || status > 599 || status == http.StatusSwitchingProtocols:
			t.Fatalf("status %d passed: %q", status, text)
		}
	})
}

// FuzzParts guards against a judgement that depends on how the bytes arrive.
func FuzzParts(f *testing.F) {
	for _, response := range responses {
		f.Add([]byte(response), 3, false)
	}
	f.Fuzz(func(t *testing.T, text []byte, part int, head bool) {
		if part < 1 {
			return
		}
		var whole, parts validator.Scanner
		whole.NoBody, parts.NoBody = head, head
		wholeValid, wholeErr := whole.Feed(text)
		valid := 0
		var err error
		for valid < len(text) && err == nil {
			var n int
			n, err = parts.Feed(text[valid:min(len(text), valid+part)])
			valid += n
		}
		if (wholeErr == nil) != (err == nil) || whole.Idle() != parts.Idle() || whole.UntilEnd() != parts.UntilEnd() {
			t.Fatalf("%q: whole %d, %v, in parts of %d: %d, %v", text, wholeValid, wholeErr, part, valid, err)
		}
	})
}

func TestScannerJudgesStatus(t *testing.T) {
	for status := range 1000 {
		c := qt.New(t)
		digits := string([]byte{'0' + byte(status/100), '0' + byte(status/10%10), '0' + byte(status%10)})
		var s validator.Scanner
		_, err := s.Feed([]byte("HTTP/1.1 " + digits + " x\r\nContent-Length: 0\r\n\r\n"))
		var refused *hemlocktally.ResponseError
		valid := status >= 100 && status <= 599 && status != 101
		c.Check(errors.As(err, &refused), qt.Equals, !valid, qt.Commentf("%s", digits))
	}
}

// The bytes of names and values are those of RFC 9110, 5.1 and 5.5.
func TestScannerJudgesBytes(t *testing.T) {
	const others = "!#$%&'*+-.^_`|~"
	for b := range 256 {
		c := qt.New(t)
		letter := (b >= '0' && b <= '9') || (b >= 'a' && b <= 'z') || (b >= 'A' && b <= 'Z')
		var name, value validator.Scanner
		_, err := name.Feed([]byte("HTTP/1.1 200 OK\r\nA" + string([]byte{byte(b)}) + "b: x\r\n\r\n"))
		c.Check(err == nil, qt.Equals, letter || b == ':' || strings.IndexByte(others, byte(b)) >= 0, qt.Commentf("%#x in a name", b))
		_, err = value.Feed([]byte("HTTP/1.1 200 OK\r\nA: x" + string([]byte{byte(b)}) + "y: x\r\n\r\n"))
		c.Check(err == nil, qt.Equals, (b >= ' ' && b != 0x7f) || b == '\t' || b == '\n', qt.Commentf("%#x in a value", b))
	}
}

func BenchmarkScanner(b *testing.B) {
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nRequest-Id: 0123456789abcdef\r\n" +
		"Server-Load: 1,0,2,700\r\nResponse-Seal: 4096\r\nCache-Control: no-store\r\nContent-Length: 4096\r\n\r\n")
	response = append(response, make([]byte, 4096)...)
	var s validator.Scanner
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Feed(response); err != nil {
			b.Fatal(err)
		}
	}
}
