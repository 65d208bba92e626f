package imitator

import (
	"net"
	"net/http"
)

// guard counts a call and lets the faults in force act on it.
func (d *Directory) guard(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		kind := kind
		if r.URL.Query().Get("serializable") == "1" {
			kind = "stale" // A read that may be stale costs a tenth.
		}
		d.mu.Lock()
		if d.calls == nil {
			d.calls = map[string]int{}
		}
		d.calls[kind]++
		faults, refused := d.faults, d.refused[host]
		d.expire()
		loses := false
		if kind == "txn" || kind == "lease" {
			d.lost += faults.LoseShare
			if loses = d.lost >= 1; loses {
				d.lost--
			}
		}
		d.mu.Unlock()
		d.nameEra(w)
		switch {
		case faults.Busy || refused:
			w.WriteHeader(http.StatusServiceUnavailable)
		case faults.Silent:
			<-r.Context().Done()
		case loses:
			next(discardWriter{w.Header()}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

// discardWriter takes an answer that is lost.
type discardWriter struct{ header http.Header }

// Header returns a header that nobody reads.
func (w discardWriter) Header() http.Header { return w.header }

// Write drops the bytes.
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (w discardWriter) WriteHeader(int) {}
