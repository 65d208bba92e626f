package acceptor_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/acceptor"
)

// BenchmarkOneRequestAtATime compares the pipeline with the server of net/http
// alone, with one open request per connection.
func BenchmarkOneRequestAtATime(b *testing.B) {
	for name, pipelined := range map[string]bool{"Plain": false, "Pipeline": true} {
		b.Run(name, func(b *testing.B) {
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
			server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			var listener net.Listener = acceptor.Listener{Listener: tcp}
			if pipelined {
				p := &acceptor.Pipeline{Handler: handler, Idempotent: idempotent}
				p.ConfigureServer(server)
				listener = p.Listener(listener)
			}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			conn, err := net.Dial("tcp", tcp.Addr().String())
			qt.Assert(b, err, qt.IsNil)
			in := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, get("/a")); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
