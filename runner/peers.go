package runner

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"hemlocktally/messenger"
)

// peerStopTimeout bounds the shutdown of the peers' and operators' servers.
const peerStopTimeout = 2 * time.Second

// servePeers answers the other instances.
func (d *Daemon) servePeers(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(messenger.AllocationPathPrefix, messenger.NewAllocationServer(d.tally))
	mux.Handle(messenger.InspectionPathPrefix, messenger.NewInspectionServer(d.inspector))
	mux.Handle(messenger.ClaimsPathPrefix, messenger.NewClaimsServer(d.claimHolder))
	mux.Handle(messenger.MembershipPathPrefix, messenger.NewMembershipServer(d.registrar))
	mux.Handle(messenger.ConfigurationPathPrefix, messenger.NewConfigurationServer(d.configurator))
	server := d.server(requireKey([]string{d.Settings.Keys.Peer, d.Settings.Keys.PeerAlso}, mux))
	messenger.ConfigureServer(server)
	return d.serveSecure(ctx, server, &countedListener{d.Listeners.Peers, &d.peerTraffic})
}

// peerIdleTime is shorter than the time after which a peer closes an idle link,
// so that no question is sent into a link that is being closed.
const peerIdleTime = 30 * time.Second

// peerClient returns a client that shows the peers' key.
func (d *Daemon) peerClient() *http.Client {
	next := &http.Transport{
		IdleConnTimeout: peerIdleTime, DialContext: d.peerTraffic.through(d.sockets.dial), TLSClientConfig: d.certificate.clientConfig(),
	}
	messenger.ConfigureTransport(next)
	return &http.Client{Transport: &keyTransport{key: d.Settings.Keys.Peer, tls: d.certificate.isSet(), delay: &d.peerDelay, next: next}}
}

// keyTransport adds the peers' key to each request.
type keyTransport struct {
	key   string
	tls   bool
	next  *http.Transport
	delay *atomic.Pointer[PeerDelay]
}

// PeerDelay gives the one-way delay to a peer's address.
type PeerDelay func(address string) time.Duration

// DelayPeers adds a delay to each call of a peer, there and back, so that the
// bench can place instances in zones at a distance.
func (d *Daemon) DelayPeers(delay PeerDelay) { d.peerDelay.Store(&delay) }

// RoundTrip sends a copy of the request with the key.
func (t *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	if t.tls {
		r.URL.Scheme = "https"
	}
	delay := t.delay.Load()
	if delay == nil {
		return t.next.RoundTrip(r)
	}
	oneWay := (*delay)(r.URL.Host)
	time.Sleep(oneWay)
	response, err := t.next.RoundTrip(r)
	time.Sleep(oneWay)
	return response, err
}

// CloseIdleConnections closes the links that no request uses.
func (t *keyTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// requireKey turns away requests without one of the keys, comparing each in
// constant time. An empty key lets nobody in.
func requireKey(keys []string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		known := false
		for _, key := range keys {
			want := sha256.Sum256([]byte(key))
			if key != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
				known = true
			}
		}
		if !known {
			http.Error(w, "the key is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
