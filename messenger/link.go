package messenger

import (
	"io"
	"net/http"
	"time"
)

// Instances use HTTP/2 among each other. Many requests of an instance wait at
// another at the same time: with HTTP/1.1 each of them would need a connection,
// and the connections and the repeated headers would cost more than the requests
// themselves. HTTP/2 shares one connection and sends repeated headers once.
const (
	// pingDelay is the time without a received frame after which a connection is
	// checked with a ping. All requests to an instance share one connection, which
	// may be dead without having been closed.
	pingDelay   = 500 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// maxConcurrentStreams limits the requests of one instance that wait at another.
	maxConcurrentStreams = 4096
)

func http2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// ConfigureTransport configures a transport for requests to other instances: HTTP/2,
// also without TLS, with pings on silent connections.
func ConfigureTransport(t *http.Transport) {
	t.Protocols = http2()
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingDelay, PingTimeout: pingTimeout}
}

// maxResponseBytes limits the response of another instance. The largest response
// contains the whole configuration.
const maxResponseBytes = 8 << 20

// LimitResponses returns a transport whose response bodies fail with an
// *http.MaxBytesError after 8 MiB. Twirp reads a response to its end, without a
// limit of its own.
func LimitResponses(transport http.RoundTripper) http.RoundTripper {
	return limitedTransport{transport}
}

type limitedTransport struct{ http.RoundTripper }

// RoundTrip sends one request and limits the body of its response.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil {
		response.Body = &limitedBody{ReadCloser: response.Body, remaining: maxResponseBytes}
	}
	return response, err
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t limitedTransport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read returns an *http.MaxBytesError once maxResponseBytes have been read.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &http.MaxBytesError{Limit: maxResponseBytes}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// ConfigureServer configures a server for requests from other instances: HTTP/2, also
// without TLS, with a limit on concurrent streams per connection.
func ConfigureServer(s *http.Server) {
	s.Protocols = http2()
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}
}
