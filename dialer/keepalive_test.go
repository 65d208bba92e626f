package dialer_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// A target announces that it closes connections that are idle for a second. A request sent on
// one after that would be reset, and a non-idempotent one must not be sent again.
func TestLinkIsNotReusedAfterTheAnnouncedIdleTimeout(t *testing.T) {
	for header, reused := range map[string]bool{"timeout=1": false, "timeout=1, max=5": false, "timeout=60": true, "max=5": true, "": true} {
		t.Run(header, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if header != "" {
					w.Header().Set("Keep-Alive", header)
				}
				_, _ = fmt.Fprint(w, "done")
			})}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			d := newDialer(t, &fixedView{instances: 1})
			request := hemlocktally.ConnRequest{Target: hemlocktally.Target{Name: "a", Address: listener.Addr().String(), MaxConnections: 10}}
			first := take(t, d, request)
			c.Assert(roundTrip(first, request.Target.Address, time.Second), qt.IsNil)
			first.Release(false)
			time.Sleep(950 * time.Millisecond)
			second := take(t, d, request)
			c.Check(second.New(), qt.Equals, !reused)
			c.Check(roundTrip(second, request.Target.Address, time.Second), qt.IsNil)
			second.Release(false)
		})
	}
}
