package acceptor

import (
	"net"
	"net/netip"

	"hemlocktally/reserver"
)

// LimitedListener limits the open connections of a listener. A new one beyond the limit takes the
// place of the oldest one, of the address with the most.
type LimitedListener struct {
	net.Listener
	Reserver *reserver.Reserver
}

// Accept returns the next connection.
func (l LimitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client, _ := netip.ParseAddrPort(accepted.RemoteAddr().String())
		limited := &limitedConn{Conn: accepted}
		if limited.holder = l.Reserver.Open(client.Addr().Unmap(), func(reserver.Activity) { _ = limited.Close() }); limited.holder != nil {
			limited.holder.Wait(reserver.Idle)
			return limited, nil
		}
		_ = accepted.Close()
	}
}

type limitedConn struct {
	net.Conn
	holder *reserver.Holder
}

// Close closes the connection and gives up its place.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}
