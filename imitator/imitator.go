// Package imitator holds small stand-ins for the systems around the load
// balancer: the platform's key-value service and instance list, and targets.
// Faults are set by struct or over HTTP, so that tests, the demo and the bench
// share them.
package imitator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"
)

// errCrashed is the cancellation cause of a server that stops without finishing its requests.
var errCrashed = errors.New("crashed")

// serve runs an HTTP server on the listener until the context ends.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-ctx.Done()
		if errors.Is(context.Cause(ctx), errCrashed) {
			_ = server.Close()
			return
		}
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := server.Shutdown(stop); err != nil {
			_ = server.Close()
		}
	}()
	err := server.Serve(listener)
	<-done
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes the body; it answers the request itself where that fails.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func decode(r *http.Request, value any) error {
	const maxDocumentBytes = 4 << 20
	return json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxDocumentBytes)).Decode(value)
}
