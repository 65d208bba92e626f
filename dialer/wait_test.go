package dialer

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// Guards against a panic that ends the process: a request has been woken, the pool has been
// swept, and only then the request notices that its caller is gone.
func TestCancelledWaitForSweptPool(t *testing.T) {
	c := qt.New(t)
	d := &Dialer{}
	cause := errors.New("the caller is gone")
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(cause)
	err := d.waitForLink(ctx, hemlocktally.Target{Name: "a", Address: "127.0.0.1:1"}, make(chan struct{}))
	c.Check(err, qt.ErrorIs, cause)
}
