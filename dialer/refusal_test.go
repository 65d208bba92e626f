package dialer_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/dialer"
)

// Only a refused connection shows that a target crashed; silence may be the network's.
func TestRefusesConnections(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	target := hemlocktally.Target{Name: "t", Address: listener.Addr().String()}
	d := &dialer.Dialer{}
	c.Check(d.RefusesConnections(t.Context(), target), qt.IsFalse)
	c.Assert(listener.Close(), qt.IsNil)
	c.Check(d.RefusesConnections(t.Context(), target), qt.IsTrue)

	for _, outcome := range []struct {
		err  error
		want bool
	}{{syscall.ECONNREFUSED, true}, {syscall.ECONNRESET, false}, {syscall.EHOSTUNREACH, false}} {
		failing := &dialer.Dialer{Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: outcome.err}
		}}
		c.Check(failing.RefusesConnections(t.Context(), target), qt.Equals, outcome.want, qt.Commentf("%v", outcome.err))
	}
	silent := &dialer.Dialer{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	c.Check(silent.RefusesConnections(t.Context(), target), qt.IsFalse)
}
