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
// finished. A leaving instance is first no longer ready and gives its services
// up; it serves on until the platform's balancer has seen that, then closes
// what is idle and finishes what is open.
func (b *Balancer) serveCallers(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTime, MaxHeaderBytes: maxHeaderBytes,
	}
	b.callers.SetUp(server)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(b.callers.Listener(listener)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopBy := time.Now().Add(b.Settings.Bounds.StopTimeout - stopReserve)
	b.leave(ctx)
	time.Sleep(settleTime)
	stop, cancel := context.WithDeadline(context.WithoutCancel(ctx), stopBy)
	defer cancel()
	b.callers.AwaitAnswers(stop) // A shutdown closes connections after the answer at hand, whatever stands behind it.
	err := server.Shutdown(stop)
	if err != nil {
		b.Log.Log(logger.EventStopCut, logger.Fields{"Instance": b.Settings.Instance.ID, "Cause": err.Error()})
		_ = server.Close()
	}
	if serveError := <-failed; !errors.Is(serveError, http.ErrServerClosed) {
		return serveError
	}
	return nil
}

func (b *Balancer) leave(ctx context.Context) {
	b.leaving.Store(true)
	b.callers.Leave()
	b.follower.Leave()
	b.owner.Leave()
	b.Log.Log(logger.EventStopping, logger.Fields{"Instance": b.Settings.Instance.ID, "Cause": context.Cause(ctx).Error()})
	b.Log.Log(logger.EventSettling, logger.Fields{"Instance": b.Settings.Instance.ID, "Settle": settleTime})
}
