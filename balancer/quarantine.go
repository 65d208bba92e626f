package balancer

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hemlocktally"
	"hemlocktally/quarantiner"
)

// QuarantinePath is the path, at the address of the metrics, of the requests that are held back.
// GET lists them; DELETE of QuarantinePath + "/" + fingerprint releases one at all instances, and
// needs the operators' key.
const QuarantinePath = "/quarantine"

// operatorHandler serves the metrics, and the requests that are held back.
func (b *Balancer) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", b.metricsHandler())
	mux.HandleFunc("GET "+QuarantinePath, b.listHeld)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{fingerprint}", b.releaseHeld)
	return mux
}

func (b *Balancer) listHeld(w http.ResponseWriter, _ *http.Request) {
	for _, held := range b.suspects.Held() {
		if _, err := fmt.Fprintf(w, "%s %s for %s: %s\n", held.Suspect.Request, held.Suspect.Service,
			time.Until(held.Until).Round(time.Second), quarantiner.CrashesText(held.Suspect, time.Now())); err != nil {
			return // The client is gone.
		}
	}
}

func (b *Balancer) releaseHeld(w http.ResponseWriter, r *http.Request) {
	if !b.fromOperator(r) {
		http.Error(w, "the operators' key is missing, wrong or not set in the settings", http.StatusForbidden)
		return
	}
	request, err := hemlocktally.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !b.suspects.Release(request, "operator at "+b.Settings.Instance.ID) {
		http.Error(w, "no crash of this request is known", http.StatusNotFound)
	}
}

// fromOperator reports whether the request has the operators' key. Without one in the settings,
// none has.
func (b *Balancer) fromOperator(r *http.Request) bool {
	key := b.Settings.Operators.Key
	given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	want := sha256.Sum256([]byte(key))
	return key != "" && subtle.ConstantTimeCompare(given[:], want[:]) == 1
}
