package runner

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"hemlocktally/messenger"
)

// peerStopTimeout bounds the shutdown of the peers' and operators' servers.
const peerStopTimeout = 2 * time.Second

// servePeers answers the other instances.
func (d *Daemon) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(messenger.AllocationPathPrefix, messenger.NewAllocationServer(d.tally))
	mux.Handle(messenger.MembershipPathPrefix, messenger.NewMembershipServer(d.registrar))
	mux.Handle(messenger.ConfigurationPathPrefix, messenger.NewConfigurationServer(d.configurator))
	server := d.server(requireKey(d.Settings.Keys.Peer, mux))
	return serveUntil(ctx, server, d.Listeners.Peers, peerStopTimeout)
}

// keyTransport adds the peers' key to each request.
type keyTransport struct {
	key  string
	next *http.Transport
}

// RoundTrip sends a copy of the request with the key.
func (t *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return t.next.RoundTrip(r)
}

// CloseIdleConnections closes the links that no request uses.
func (t *keyTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// requireKey turns away requests without the key, comparing in constant time.
func requireKey(key string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(shown))
		if key == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
