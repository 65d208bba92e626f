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

// RefusesConnections implements hemlocktally.CrashDetector. It opens a connection outside of
// the pool and closes it.
func (d *Dialer) RefusesConnections(ctx context.Context, target hemlocktally.Target) bool {
	d.init()
	ctx, cancel := context.WithTimeout(ctx, min(d.DialTimeout, refusalTimeout))
	defer cancel()
	conn, err := d.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
