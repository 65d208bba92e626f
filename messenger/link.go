package messenger

import (
	"io"
	"net/http"
	"time"
)

// Instances speak HTTP/2 to each other. Many questions wait at once at an
// instance: a connection for each of them would cost more than the questions,
// and so would their headers, which HTTP/2 sends once a connection.
const (
	// silence is the time without a byte after which a connection is tried. All
	// questions to an instance share one, which may have gone silent for good.
	silence     = 500 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// mostWaiting is how many questions of one instance may wait at another.
	mostWaiting = 4096
)

func http2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// SetUpClient readies a transport for calls of other instances.
func SetUpClient(t *http.Transport) {
	t.Protocols = http2()
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: silence, PingTimeout: pingTimeout}
}

// mostAnswerBytes bounds the answer of another instance: its largest one holds the
// whole configuration.
const mostAnswerBytes = 8 << 20

// Bounded returns a transport whose answers end with an error after so many bytes as
// an instance may answer with: twirp reads an answer to its end.
func Bounded(transport http.RoundTripper) http.RoundTripper { return bounded{transport} }

type bounded struct{ http.RoundTripper }

// RoundTrip makes one call.
func (b bounded) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := b.RoundTripper.RoundTrip(request)
	if err == nil {
		response.Body = &boundedBody{ReadCloser: response.Body, left: mostAnswerBytes}
	}
	return response, err
}

// CloseIdleConnections closes the idle connections of the transport below.
func (b bounded) CloseIdleConnections() {
	if closer, ok := b.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read returns an *http.MaxBytesError where the answer goes on beyond the bound.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &http.MaxBytesError{Limit: mostAnswerBytes}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// SetUpServer readies a server for calls of other instances.
func SetUpServer(s *http.Server) {
	s.Protocols = http2()
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: mostWaiting}
}
