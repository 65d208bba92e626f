package runner

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"hemlocktally"
)

// serveOperators answers operators, and the platform's balancer at /ready.
func (d *Daemon) serveOperators(ctx context.Context) error {
	guarded := http.NewServeMux()
	guarded.HandleFunc("GET /configuration", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, d.configurator.Current())
	})
	guarded.HandleFunc("POST /change", d.serveChange)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", d.serveReady)
	mux.Handle("/", requireKey(d.Settings.Keys.Operator, guarded))
	return serveUntil(ctx, d.server(mux), d.Listeners.Operators, peerStopTimeout)
}

// maxChangeBytes bounds the document of one change.
const maxChangeBytes = 8 << 20

func (d *Daemon) serveChange(w http.ResponseWriter, r *http.Request) {
	var change hemlocktally.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	accepted, err := d.configurator.Change(r.Context(), change)
	var race *hemlocktally.RaceError
	var bad *hemlocktally.ChangeError
	switch {
	case errors.As(err, &race):
		http.Error(w, race.Error(), http.StatusConflict)
	case errors.As(err, &bad):
		http.Error(w, bad.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, accepted)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
