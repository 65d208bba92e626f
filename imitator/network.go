package imitator

import (
	"bytes"
	"io"
	"net/http"
)

// Network carries calls to handlers in memory, by host and port, so that fleets run
// in tests without sockets. Addresses without a handler never answer, as machines
// without power. It implements http.RoundTripper.
type Network map[string]http.Handler

// RoundTrip makes one call.
func (n Network) RoundTrip(r *http.Request) (*http.Response, error) {
	handler := n[r.URL.Host]
	if handler == nil {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := &recorded{header: http.Header{}, status: http.StatusOK}
	handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: w.status, Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Request: r,
	}, nil
}

// recorded is an answer in memory.
type recorded struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *recorded) Header() http.Header         { return w.header }
func (w *recorded) WriteHeader(status int)      { w.status = status }
func (w *recorded) Write(p []byte) (int, error) { return w.body.Write(p) }
