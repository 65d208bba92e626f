package prober_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/prober"
)

func TestMeasure(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"InFlight":2,"State":"Cold"}`))
	})
	mux.HandleFunc("/plain", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/broken", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	mux.HandleFunc("/slow", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	server := httptest.NewServer(mux)
	defer server.Close()
	target := hemlocktally.Target{Address: strings.TrimPrefix(server.URL, "http://")}
	for path, want := range map[string]hemlocktally.ProbeResult{
		"/report": {State: hemlocktally.TargetCold, InFlight: 2, Reported: true},
		"/plain":  {},
		"/broken": {Failed: true},
		"/slow":   {Failed: true},
	} {
		c := qt.New(t)
		p := &prober.Prober{Timeout: 50 * time.Millisecond}
		if path != "/slow" {
			p.Timeout = 0
		}
		got := p.Probe(context.Background(), target, path)
		c.Check(got.Latency > 0, qt.IsTrue)
		got.Latency = 0
		c.Check(got, qt.Equals, want, qt.Commentf("%s", path))
	}
}
