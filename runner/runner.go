// Package runner assembles one entry instance from its parts and runs them as
// groups that stop together.
package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"
	"github.com/zeebo/errs"

	"hemlocktally"
	"hemlocktally/acceptor"
	"hemlocktally/allocator"
	"hemlocktally/claimer"
	"hemlocktally/commander"
	"hemlocktally/configurator"
	"hemlocktally/dialer"
	"hemlocktally/inspector"
	"hemlocktally/loader"
	"hemlocktally/logger"
	"hemlocktally/recorder"
	"hemlocktally/registrar"
	"hemlocktally/storer"
)

// Error is the class of this package's errors.
var Error = errs.Class("runner")

// Listeners are the three sockets of an instance.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(s loader.ListenSettings) (Listeners, error) {
	var l Listeners
	for _, open := range []struct {
		listener *net.Listener
		address  string
	}{{&l.Callers, s.Callers}, {&l.Peers, s.Peers}, {&l.Operators, s.Operators}} {
		listener, err := net.Listen("tcp", open.address)
		if err != nil {
			l.Close()
			return Listeners{}, Error.Wrap(err)
		}
		*open.listener = acceptor.Listener{Listener: listener}
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Daemon is one entry instance.
type Daemon struct {
	Settings  loader.Settings
	Log       logger.Logger
	Listeners Listeners

	self         hemlocktally.Instance
	store        *storer.Client
	registrar    *registrar.Registrar
	configurator *configurator.Configurator
	recorder     *recorder.Recorder
	tally        *allocator.Server
	peers        *allocator.Peers
	granter      hemlocktally.Granter
	peerHTTP     *http.Client
	links        *dialer.Dialer
	claimHolder  *claimer.Server
	claims       *claimer.Client
	controlHTTP  *http.Client // controlHTTP keeps heartbeats apart from calls for turns.
	leaving      atomic.Bool
	inspector    *inspector.Inspector
	commander    *commander.Commander
	offers       chan struct{} // offers holds one item for each command that is being followed.
	certificate  *certificate
	peerTraffic  trafficCounter
	storeTraffic trafficCounter
	started      time.Time
	sockets      sockets
	peerDelay    atomic.Pointer[PeerDelay]
}

// New assembles an instance. The listeners stay open until Run ends.
func New(settings loader.Settings, log logger.Logger, listeners Listeners) *Daemon {
	d := &Daemon{Settings: settings.WithDefaults(), Log: log, Listeners: listeners}
	d.self = hemlocktally.Instance{
		ID:              hemlocktally.InstanceID(d.Settings.Instance.ID),
		Incarnation:     ulid.Make().String(),
		Zone:            hemlocktally.ZoneName(d.Settings.Instance.Zone),
		CallerAddress:   listeners.Callers.Addr().String(),
		PeerAddress:     listeners.Peers.Addr().String(),
		OperatorAddress: listeners.Operators.Addr().String(),
		State:           hemlocktally.InstanceServing,
	}
	d.started = time.Now()
	d.certificate = &certificate{keys: d.Settings.Keys, log: log}
	d.keepListeners()
	d.assemblePlatform()
	d.assembleTally()
	d.assembleClaims()
	d.assembleEntry()
	d.assembleInspection()
	return d
}

// Self returns the instance's own record.
func (d *Daemon) Self() hemlocktally.Instance { return d.self }

// Recorder returns the instance's histograms.
func (d *Daemon) Recorder() *recorder.Recorder { return d.recorder }

// Run serves until the context ends, then stops gracefully: new calls are
// turned away, calls in flight are finished, and only then the other tasks end.
func (d *Daemon) Run(ctx context.Context) error {
	d.Log.Log(logger.EventStarted, logger.Fields{
		"Instance": d.self.ID, "Zone": d.self.Zone, "Callers": d.self.CallerAddress,
		"Peers": d.self.PeerAddress, "Operators": d.self.OperatorAddress,
	})
	defer d.Log.Log(logger.EventStopped, logger.Fields{"Instance": d.self.ID})
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	group.Add(func() error { return d.serveCallersAndLeave(ctx) }, func(error) {})
	for _, task := range []func(context.Context) error{
		d.links.Run, d.configurator.Run, d.registrar.Run, d.peers.Run, d.tally.Run, d.claimHolder.Run, d.servePeers, d.serveOperators,
	} {
		group.Add(func() error { return task(inner) }, func(error) { cancel() })
	}
	err := group.Run()
	d.closeIdle()
	return Error.Wrap(err)
}

// server returns an HTTP server with the limits of the settings.
func (d *Daemon) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.Settings.Limits.ReadHeaderTimeout,
		IdleTimeout:       d.Settings.Limits.IdleTimeout,
		MaxHeaderBytes:    d.Settings.Limits.HeaderBytes,
	}
}

// serveUntil serves until the context ends, then shuts down within the limit.
func serveUntil(ctx context.Context, server *http.Server, listener net.Listener, limit time.Duration) error {
	return serveUntilWithin(ctx, server, listener, func() time.Duration { return limit })
}

// serveUntilWithin is serveUntil with a limit that is known only at the end.
func serveUntilWithin(ctx context.Context, server *http.Server, listener net.Listener, limit func() time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit())
	defer cancel()
	err := server.Shutdown(stop)
	if err != nil {
		_ = server.Close()
	}
	if serveError := <-failed; !errors.Is(serveError, http.ErrServerClosed) {
		return serveError
	}
	return err
}

func (d *Daemon) closeIdle() {
	d.links.CloseIdle()
	d.peerHTTP.CloseIdleConnections()
	d.controlHTTP.CloseIdleConnections()
	d.store.HTTP.CloseIdleConnections()
}

// Ready reports whether the instance has a configuration, knows of at least the
// given number of members, and can give turns on the services that it owns.
func (d *Daemon) Ready(members int) bool {
	return d.claimHolder.Ready() && d.configurator.Current().Revision > 0 && len(d.registrar.View().Members) >= members && d.tally.Ready()
}

// Change offers a change to the store.
func (d *Daemon) Change(ctx context.Context, change hemlocktally.Change) error {
	_, err := d.configurator.Change(ctx, change)
	return err
}
