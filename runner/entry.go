package runner

import (
	"context"
	"net/http"
	"time"

	"hemlocktally/dispatcher"
	"hemlocktally/logger"
	"hemlocktally/recorder"
)

// assembleEntry makes the links to targets.
func (d *Daemon) assembleEntry() {
	d.recorder = &recorder.Recorder{}
	d.links = &http.Transport{
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// serveCallers serves calls until the context ends and all calls are finished.
func (d *Daemon) serveCallers(ctx context.Context) error {
	server := d.server(&dispatcher.Dispatcher{
		Self: d.self.ID, Configuration: d.configurator, Granter: d.granter, Recorder: d.recorder,
		Transport: d.links, BodyLimit: d.Settings.Limits.BodyBytes, HoldBack: d.Settings.Limits.HoldBackBytes,
	})
	go d.noteLeaving(ctx)
	return serveUntil(ctx, server, d.Listeners.Callers, d.Settings.Limits.StopTimeout)
}

func (d *Daemon) noteLeaving(ctx context.Context) {
	<-ctx.Done()
	d.leaving.Store(true)
	d.registrar.Leave()
	d.Log.Log(logger.EventStopping, logger.Fields{"Instance": d.self.ID, "Cause": context.Cause(ctx).Error()})
}

// serveReady tells the platform's balancer whether to send new calls here.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || d.configurator.Current().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
