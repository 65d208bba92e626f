package acceptor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/acceptor"
)

// During a planned stop several requests of a connection are open. Those whose
// handlers run get their responses in order, and then the connection is closed.
// Later requests are not served.
func TestPlannedStopAnswersWhatWasReadAhead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	caller, idle := e.dial(t), e.dial(t)
	idle.send(get("/0"))
	idle.expect("/0", "")
	caller.send(get("/held/1") + get("/held/2") + get("/held/3"))
	e.awaitStarted(t, "/held/1", "/held/2", "/held/3")
	e.pipeline.StopReadAhead()
	caller.send(get("/4") + post("/once/5", "pay"))
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		e.pipeline.AwaitResponses(ctx)
		stopped <- e.server.Shutdown(ctx)
	}()
	time.Sleep(30 * time.Millisecond)
	for _, path := range []string{"/held/3", "/held/1", "/held/2"} {
		e.release(path)
		time.Sleep(5 * time.Millisecond)
	}
	c.Check(caller.expect("/held/1", ""), qt.IsFalse)
	c.Check(caller.expect("/held/2", ""), qt.IsFalse)
	c.Check(caller.expect("/held/3", ""), qt.IsTrue)
	caller.expectClosed()
	c.Check(<-stopped, qt.IsNil)
	c.Check(e.startedPaths(), qt.Not(qt.Contains), "/4")
	c.Check(e.startedPaths(), qt.Not(qt.Contains), "/once/")
}

// Guards against requests that had arrived whole before a planned stop and get no response:
// more of them than are served at once wait in the buffer.
func TestPlannedStopAnswersWhatArrivedBefore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1"))
	e.awaitStarted(t, "/held/1")
	const requests = 3 * acceptor.DefaultMaxConcurrent
	var later strings.Builder
	for n := range requests {
		later.WriteString(get(fmt.Sprintf("/later/%d", n)))
	}
	caller.send(later.String())
	e.awaitStarted(t, "/later/0")
	time.Sleep(20 * time.Millisecond)
	e.pipeline.StopReadAhead()
	caller.send(get("/after"))
	time.Sleep(20 * time.Millisecond)
	e.release("/held/1")
	c.Check(caller.expect("/held/1", ""), qt.IsFalse)
	for n := range requests {
		c.Check(caller.expect(fmt.Sprintf("/later/%d", n), ""), qt.Equals, n == requests-1)
	}
	caller.expectClosed()
	c.Check(e.startedPaths(), qt.Not(qt.Contains), "/after")
}

// A keep-alive caller sends its next request while the server closes the
// connection. The request is either served and gets its response, or it is not
// served at all.
func TestRequestsDuringTheCloseAreServedOrNotRead(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for round := range 20 {
		e := startTestServer(t, nil)
		sent, answered := 0, 0
		caller := e.dial(t)
		time.AfterFunc(time.Duration(round)*200*time.Microsecond, e.pipeline.StopReadAhead)
		for n := 0; ; n++ {
			path := fmt.Sprintf("/%d-%d", round, n)
			if _, err := io.WriteString(caller.conn, get(path)); err != nil {
				break
			}
			sent++
			got, err := caller.response()
			if err != nil {
				break
			}
			answered++
			if got.last {
				break
			}
		}
		e.mu.Lock()
		c.Check(len(e.started), qt.Equals, answered, qt.Commentf("%d sent", sent))
		e.mu.Unlock()
	}
}

// A caller that closes its write side cancels its requests. The requests that were
// read ahead must not get an empty response that looks valid.
func TestHalfClosedConnectionGetsNoEmptyAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	e := startTestServer(t, nil)
	caller := e.dial(t)
	caller.send(get("/held/1") + get("/held/late/2") + get("/held/3"))
	e.awaitStarted(t, "/held/1", "/held/late/2", "/held/3")
	tcp, ok := caller.conn.(*net.TCPConn)
	c.Assert(ok, qt.IsTrue)
	c.Assert(tcp.CloseWrite(), qt.IsNil)
	for end := time.Now().Add(5 * time.Second); e.cancelled.Load() < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	_, err := caller.response() // The first handler returned without writing, so net/http sent an empty response.
	c.Check(err, qt.IsNil)
	_, err = caller.response()
	c.Check(err, qt.IsNotNil)
}
