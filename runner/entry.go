package runner

import (
	"context"
	"net/http"
	"time"

	"hemlocktally"
	"hemlocktally/dialer"
	"hemlocktally/dispatcher"
	"hemlocktally/logger"
	"hemlocktally/recorder"
)

// assembleEntry makes the links to targets.
func (d *Daemon) assembleEntry() {
	d.recorder = &recorder.Recorder{}
	d.links = &dialer.Dialer{Viewer: d.registrar, Configuration: d.configurator}
}

// serveCallers serves calls until the context ends and all calls are finished.
// A leaving instance is first no longer ready, then settles: it still serves
// until the platform's balancer has seen that, and ends the connections of its
// callers one by one. Only then does it close the listener.
func (d *Daemon) serveCallers(ctx context.Context) error {
	limits := d.Settings.Limits
	server := d.server(d.endConnections(&dispatcher.Dispatcher{
		InstanceID: d.self.ID, Configuration: d.configurator, Granter: d.granter, Recorder: d.recorder,
		Claimer: d.claims, Links: d.links, Log: d.Log, BodyLimit: limits.BodyBytes, BufferLimit: limits.HoldBackBytes,
		ReadTimeout: limits.ReadBodyTimeout, WriteTimeout: limits.WriteTimeout,
	}))
	server.Protocols = callerProtocols()
	settled, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		d.noteLeaving(ctx)
		settle(settled, limits.SettleTime)
		cancel()
	})
	defer stop()
	return serveUntilWithin(settled, server, d.Listeners.Callers, d.stopLimit)
}

// callerProtocols are HTTP/1.1 and HTTP/2 without TLS. Links to targets carry
// HTTP/1.1 only: a link that goes silent then costs one call and not many.
func callerProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// endConnections asks callers to close their connections once the instance is
// leaving, so that none is in use when the listener closes.
func (d *Daemon) endConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stopLimit is how long calls in flight may take to end: no call that keeps its
// deadline is cut.
func (d *Daemon) stopLimit() time.Duration {
	limit := d.Settings.Limits.StopTimeout
	for _, contract := range d.configurator.Current().Contracts {
		limit = max(limit, contract.CallDeadline()+d.Settings.Limits.WriteTimeout)
	}
	return limit
}

func (d *Daemon) noteLeaving(ctx context.Context) {
	d.leaving.Store(true)
	d.registrar.Leave()
	d.Log.Log(logger.EventStopping, logger.Fields{"Instance": d.self.ID, "Cause": context.Cause(ctx).Error()})
	d.Log.Log(logger.EventReadinessWithdrawn, logger.Fields{"Instance": d.self.ID, "Settle": d.Settings.Limits.SettleTime})
}

// Accepting reports whether the platform's balancer may send new calls here: not
// while the instance is leaving, or operators have it or its zone out of service.
func (d *Daemon) Accepting() bool {
	config := d.configurator.Current()
	return !d.leaving.Load() && config.Revision > 0 && !config.InstanceOut(d.self.ID) && !config.ZoneOut(d.self.Zone)
}

// serveReady tells the platform's balancer whether to send new calls here.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Accepting() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Configuration returns the configuration in force at the instance.
func (d *Daemon) Configuration() *hemlocktally.Configuration { return d.configurator.Current() }
