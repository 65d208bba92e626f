package dispatcher_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// brokenResponses are responses that RFC 9112 or RFC 9110 doesn't allow.
var brokenResponses = map[string]string{
	"status 000":               "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status 099":               "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status 600":               "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status 999":               "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status 101":               "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	"status of four digits":    "HTTP/1.1 2000 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status with a sign":       "HTTP/1.1 +20 Odd\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/2.0":                 "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":          "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nok",
	"blank before the colon":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"no colon":                 "HTTP/1.1 200 OK\r\nBadName\r\nContent-Length: 2\r\n\r\nok",
	"empty name":               "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":  "HTTP/1.1 200 OK\r\nName: x\x01y\r\nContent-Length: 2\r\n\r\nok",
	"bare CR in a value":       "HTTP/1.1 200 OK\r\nName: x\ry\r\nContent-Length: 2\r\n\r\nok",
	"NUL in the reason":        "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok",
	"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"length with a sign":       "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"list of lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\nok",
	"length and chunks":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"folded line":              "HTTP/1.1 200 OK\r\nName: x\r\n y\r\nContent-Length: 2\r\n\r\nok",
	"empty line at the start":  "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"invalid name in a 103":    "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"invalid name in trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: x\r\n\r\n",
	"folded line in trailers":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nName: x\r\n y\r\n\r\n",
	"chunks in HTTP/1.0":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"unknown transfer coding":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunk size with a sign":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
}

// Guards against malformed responses that reach a caller, that end the caller's connection, or
// that keep the second attempt from being made.
func TestMalformedResponseIsAFailureOfTheTarget(t *testing.T) {
	for name, response := range brokenResponses {
		for _, closes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, closes %v", name, closes), func(t *testing.T) {
				c := qt.New(t)
				script := respondWith(response)
				if closes {
					script = respondAndClose(response)
				}
				h := newHarness(t, hemlocktally.Contract{NonIdempotent: true}, startScriptedTarget(t, script))
				h.Dialect = namingDialect{}
				conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for range 2 { // The caller's connection stays open.
					c.Assert(writeText(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"), qt.IsTrue)
					status, err := readWhole(reader)
					c.Assert(err, qt.IsNil)
					c.Assert(status, qt.Equals, http.StatusBadGateway)
				}
				c.Check(h.granter.outcomes(), qt.DeepEquals, []hemlocktally.AttemptOutcome{hemlocktally.AttemptFailed, hemlocktally.AttemptFailed})
				second := newHarness(t, hemlocktally.Contract{}, startScriptedTarget(t, script), startScriptedTarget(t, respondWith(okResponse)))
				c.Check(second.send("GET", "/log", "").body, qt.Equals, "ok")
			})
		}
	}
}

// readWhole reads a response to its end and returns its status.
func readWhole(reader *bufio.Reader) (int, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against responses that are refused although they are valid, if unusual.
func TestUnusualResponseIsValid(t *testing.T) {
	for name, response := range map[string]string{
		"no reason":               "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
		"no blank and no reason":  "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"lines without CR":        "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"the same length twice":   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"tabs and empty values":   "HTTP/1.1 200 OK\r\nA:\r\nB:\t\r\nC: x\ty\t\r\nContent-Length:\t2 \r\n\r\nok",
		"bytes over 127":          "HTTP/1.1 200 \xc3\x96K\r\nName: \xff\xc3\x96\r\nContent-Length: 2\r\n\r\nok",
		"unusual names":           "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: x\r\nContent-Length: 2\r\n\r\nok",
		"interim responses":       "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"extensions and trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1;a=\"b\"\r\no\r\n01 \r\nk\r\n000\r\nA: b\r\nC:\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			target := startScriptedTarget(t, respondWith(response))
			h := newHarness(t, hemlocktally.Contract{}, target)
			for range 2 {
				got := h.send("GET", "/log", "")
				c.Check(got.status, qt.Equals, http.StatusOK)
				c.Check(got.body, qt.Equals, "ok")
			}
			c.Check(target.runs.Load(), qt.Equals, int64(2))
		})
	}
}

// Guards against a reset that the writer of a request sees first and that the reader then takes
// for the end of a response without a length. The cut comes behind each byte.
func TestResetIsNoEndOfAResponse(t *testing.T) {
	for name, response := range map[string]string{
		"length first":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\nbody",
		"length last":    "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\nbody",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nbody",
		"after a 103":    "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int64
			address := startResettingTarget(t, func(conn net.Conn, _ *bufio.Reader) {
				_ = writeText(conn, response[:cut.Load()])
				time.Sleep(200 * time.Microsecond)
			})
			h := newUploadHarness(t, address)
			body := bytes.Repeat([]byte("x"), 1<<20)
			for n := range len(response) {
				cut.Store(int64(n))
				checkNoSuccess(t, h, body, fmt.Sprintf("reset behind %d bytes", n))
			}
		})
	}
}

// resetsEnv sets how many resets TestResetsDuringUploads generates.
const resetsEnv = "HEMLOCKTALLY_RESETS"

// Guards against parts of responses that pass for whole ones: a target answers an upload early,
// and resets its connection at a random moment. The sequence is generated from a fixed seed.
func TestResetsDuringUploads(t *testing.T) {
	const (
		resets  = 400
		workers = 4
		seed    = 20261207
	)
	total := resets
	if text := os.Getenv(resetsEnv); text != "" {
		n, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		total = n
	}
	var group sync.WaitGroup
	var refused, brokenOff atomic.Int64
	for worker := range workers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)))
			var current atomic.Pointer[uploadReset]
			address := startResettingTarget(t, func(conn net.Conn, reader *bufio.Reader) { current.Load().play(conn, reader) })
			h := newUploadHarness(t, address)
			if worker%2 == 0 {
				h.BufferLimit = 256 << 10 // The responses are buffered; those of the other workers are mostly streamed.
			}
			body := bytes.Repeat([]byte("x"), 8<<20)
			for n := worker; n < total && !t.Failed(); n += workers {
				plan := newUploadReset(random)
				current.Store(&plan)
				if checkNoSuccess(t, h, body[:plan.size], fmt.Sprintf("%d: %s", n, plan)) {
					refused.Add(1)
				} else {
					brokenOff.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d resets: %d calls refused, %d responses broken off", refused.Load()+brokenOff.Load(), refused.Load(), brokenOff.Load())
}

// uploadReset is what a target does during one upload.
type uploadReset struct {
	size     int // size is the length of the upload.
	readSize int // readSize is how much of it the target reads before it responds.
	response string
	pause    time.Duration // pause is the time between response and reset.
	readOn   bool          // readOn lets the target read during the pause.
}

func newUploadReset(random *rand.Rand) uploadReset {
	const minSize, maxSize, maxPart, maxPause = 1 << 10, 8 << 20, 64 << 10, 3 * time.Millisecond
	size := int(minSize * math.Pow(maxSize/minSize, random.Float64()))
	part := strings.Repeat("x", random.IntN(maxPart))
	form := []string{
		"HTTP/1.1 200 OK\r\n\r\n" + part,
		"HTTP/1.0 200 OK\r\n\r\n" + part,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part,
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxPart, part),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", max(1, len(part)), part),
	}[random.IntN(5)]
	if random.IntN(8) == 0 {
		form = form[:random.IntN(len(form))]
	}
	return uploadReset{
		size: size, readSize: random.IntN(size), response: form,
		pause: time.Duration(random.Int64N(int64(maxPause))), readOn: random.IntN(2) == 0,
	}
}

// String describes the plan without the body of the response.
func (u uploadReset) String() string {
	return fmt.Sprintf("upload of %d, %d read, response %.60q of %d bytes, pause %s, reads on %v", u.size, u.readSize, u.response, len(u.response), u.pause, u.readOn)
}

func (u uploadReset) play(conn net.Conn, reader *bufio.Reader) {
	_, _ = io.CopyN(io.Discard, reader, int64(u.readSize))
	_ = writeText(conn, u.response)
	if u.readOn {
		_ = conn.SetReadDeadline(time.Now().Add(u.pause))
		_, _ = io.CopyN(io.Discard, reader, int64(u.size-u.readSize-1))
		return
	}
	time.Sleep(u.pause)
}

// startResettingTarget starts a target that reads the head of each request, plays the script and
// resets the connection.
func startResettingTarget(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					script(conn, reader)
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func newUploadHarness(t *testing.T, address string) *harness {
	t.Helper()
	h := newHarness(t, hemlocktally.Contract{NonIdempotent: true, Deadline: 10 * time.Second}, &scriptedTarget{address: address})
	h.Dialect = namingDialect{}
	h.BodyLimit = 16 << 20
	return h
}

// checkNoSuccess sends a request whose target always breaks off its response. It reports whether
// the caller got a refusal, in place of a broken response.
func checkNoSuccess(t *testing.T, h *harness, body []byte, what string) (refused bool) {
	t.Helper()
	response, err := postOnce(h.url+"/pay", body)
	if err != nil {
		checkNoTimeout(t, err, what)
		return false // The caller's connection ended.
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	checkNoTimeout(t, err, what)
	if err == nil && response.StatusCode == http.StatusServiceUnavailable && bytes.Contains(text, []byte("dial tcp")) {
		return true // The target could not be reached in time, so the request was not sent.
	}
	if err == nil && response.StatusCode != http.StatusBadGateway {
		t.Errorf("%s: status %d with a complete body of %d bytes", what, response.StatusCode, len(text))
	}
	return err == nil
}

func postOnce(url string, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Close = true
	return (&http.Client{Timeout: time.Minute}).Do(request)
}

// checkNoTimeout guards against a response that is neither completed nor broken off.
func checkNoTimeout(t *testing.T, err error, what string) {
	t.Helper()
	if os.IsTimeout(err) {
		t.Errorf("%s: %v", what, err)
	}
}
