package balancer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/platform"
	"hemlocktally/prober"
)

// startRespondingServer starts a server that responds to each request with the text and closes
// the connection.
func startRespondingServer(t *testing.T, text string) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against malformed responses to load probes, and of the store, that pass for valid ones.
func TestMalformedResponsesOfStoreAndProbes(t *testing.T) {
	const body = `{"revision":12}`
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "HTTP/1.1 200 OK\r\nName: x\r\n y\r\n",
		"HTTP/1.1 099 Odd\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 15\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			response := head + "\r\n" + body
			address := startRespondingServer(t, response)
			store := &platform.Store{Address: address, HTTP: &http.Client{Transport: StoreTransport()}}
			_, err := store.CompareAndSwap(context.Background(), hemlocktally.Entry{Key: "k"})
			qt.Check(t, err, qt.IsNotNil)
			loads := &prober.LoadProber{Dialect: platform.Translator{}, HTTP: &http.Client{Transport: probeTransport(dial)}}
			_, err = loads.Load(context.Background(), hemlocktally.Target{Address: address}, "/health")
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// Guards against a status that no response may have, from another instance.
func TestMalformedResponsesOfPeers(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(700) }))
	server.Config = peerServer(server.Config.Handler)
	server.Start()
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, server.URL, http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	transport := peerRoundTripper()
	defer transport.(interface{ CloseIdleConnections() }).CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	qt.Check(t, err, qt.IsNotNil)
}
