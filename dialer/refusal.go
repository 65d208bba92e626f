package dialer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"hemlocktally"
)

// refusalTimeout limits the wait for a host to accept or refuse a connection.
const refusalTimeout = 50 * time.Millisecond

// RefusesConnections implements hemlocktally.CrashDetector.
func (d *Dialer) RefusesConnections(ctx context.Context, target hemlocktally.Target) bool {
	return errors.Is(d.Reach(ctx, target), syscall.ECONNREFUSED)
}

// Reach opens a connection to the target outside of the pool and closes it. It returns an error
// if the target accepts none.
func (d *Dialer) Reach(ctx context.Context, target hemlocktally.Target) error {
	d.init()
	ctx, cancel := context.WithTimeout(ctx, min(d.DialTimeout, refusalTimeout))
	defer cancel()
	conn, err := d.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return err
	}
	_ = conn.Close()
	return nil
}
