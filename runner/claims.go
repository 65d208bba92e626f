package runner

import (
	"context"
	"time"

	"hemlocktally/claimer"
)

// leaveTimeout bounds the hand-over of claims on a planned stop.
const leaveTimeout = 5 * time.Second

// assembleClaims makes the holder of ranges of keys and the client that asks
// the holders.
func (d *Daemon) assembleClaims() {
	d.claimHolder = &claimer.Server{
		Self: d.self, Store: d.store, Leaser: d.registrar, Members: d.registrar, HTTP: d.peerHTTP, Log: d.Log,
	}
	d.claims = &claimer.Client{Server: d.claimHolder}
}

// serveCallersAndLeave serves callers until the context ends. Then it hands the
// ranges of keys over while calls in flight are finished, and returns after both.
func (d *Daemon) serveCallersAndLeave(ctx context.Context) error {
	left := make(chan struct{})
	serving, served := context.WithCancel(ctx)
	go func() {
		defer close(left)
		<-serving.Done()
		leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
		defer cancel()
		d.claimHolder.Leave(leave)
	}()
	err := d.serveCallers(ctx)
	served()
	<-left
	return err
}

// Claims returns the holder of ranges of keys.
func (d *Daemon) Claims() *claimer.Server { return d.claimHolder }
