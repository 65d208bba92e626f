package balancer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"hemlocktally/logger"
)

// serveCallers serves callers until the context ends and their calls are
// finished. A stopping instance first reports that it is not ready and gives up
// its services. It continues to serve until the platform's load balancer has
// noticed, then closes idle connections and finishes open calls.
func (b *Balancer) serveCallers(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxAnyHeaderBytes,
	}
	b.pipeline.ConfigureServer(server)
	serveDone := make(chan error, 1)
	go func() { serveDone <- server.Serve(b.pipeline.Listener(listener)) }()
	select {
	case err := <-serveDone:
		return err
	case <-ctx.Done():
	}
	deadline := time.Now().Add(b.Settings.Bounds.StopTimeout - stopReserve)
	b.closesAt.Store(&deadline)
	b.leave(ctx)
	time.Sleep(drainDelay)
	shutdownCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	b.pipeline.AwaitResponses(shutdownCtx) // Shutdown closes connections after the current response, even if more requests were read ahead.
	err := server.Shutdown(shutdownCtx)
	b.awaitForwarded(shutdownCtx)
	if err != nil {
		b.Log.Log(logger.EventShutdownTimedOut, logger.Fields{"Instance": b.Settings.Instance.ID, "Cause": err.Error()})
		b.interruptCalls(server)
	}
	if serveErr := <-serveDone; !errors.Is(serveErr, http.ErrServerClosed) {
		return serveErr
	}
	return nil
}

// interruptCalls answers the calls that are still open, and closes all connections.
func (b *Balancer) interruptCalls(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), interruptTime)
	defer cancel()
	b.dispatcher.Interrupt()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

// stopsAt returns when a stopping instance closes its callers' connections; zero while it does
// not stop.
func (b *Balancer) stopsAt() time.Time {
	if at := b.closesAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// awaitForwarded waits until the calls of other instances have ended. No new ones are taken.
func (b *Balancer) awaitForwarded(ctx context.Context) {
	const interval = 5 * time.Millisecond
	for b.dispatcher.Forwarded() > 0 && ctx.Err() == nil {
		time.Sleep(interval)
	}
}

func (b *Balancer) leave(ctx context.Context) {
	b.leaving.Store(true)
	b.pipeline.StopReadAhead()
	b.follower.ResignHub()
	b.owner.Leave()
	b.quotas.Leave()
	b.Log.Log(logger.EventStopping, logger.Fields{"Instance": b.Settings.Instance.ID, "Cause": context.Cause(ctx).Error()})
	b.Log.Log(logger.EventReadinessWithdrawn, logger.Fields{"Instance": b.Settings.Instance.ID, "Settle": drainDelay})
}
