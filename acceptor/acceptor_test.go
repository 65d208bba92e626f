package acceptor_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/acceptor"
)

// pair returns both ends of a connection; the first one was accepted.
func pair(t *testing.T) (accepted, caller net.Conn) {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(listener.Close(), qt.IsNil) }()
	caller, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err = acceptor.Listener{Listener: listener}.Accept()
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		c.Check(errors.Join(accepted.Close(), caller.Close()), qt.IsNil)
	})
	return accepted, caller
}

const (
	soon   = 20 * time.Millisecond
	paused = 60 * time.Millisecond
)

// The process was paused from the arrival of a request to after its deadline.
func TestReadAfterAPauseTakesWhatArrived(t *testing.T) {
	c := qt.New(t)
	accepted, caller := pair(t)
	c.Assert(accepted.SetReadDeadline(time.Now().Add(soon)), qt.IsNil)
	_, err := caller.Write([]byte("GET / HTTP/1.1"))
	c.Assert(err, qt.IsNil)
	time.Sleep(paused)
	head := make([]byte, 5)
	_, err = io.ReadFull(accepted, head)
	c.Check(err, qt.IsNil)
	_, err = io.ReadFull(accepted, head)
	c.Check(err, qt.IsNil, qt.Commentf("the rest of what arrived"))
	c.Check(string(head), qt.Equals, " HTTP")
}

// A caller that sends nothing is given up; its last chance comes once.
func TestSilentCallerIsGivenUp(t *testing.T) {
	c := qt.New(t)
	accepted, _ := pair(t)
	begun := time.Now()
	c.Assert(accepted.SetReadDeadline(begun.Add(soon)), qt.IsNil)
	for range 3 {
		_, err := accepted.Read(make([]byte, 1))
		c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	}
	c.Check(time.Since(begun) < 500*time.Millisecond, qt.IsTrue)
}

// HTTP servers end a read that waits with a deadline in the past.
func TestPastDeadlineEndsAReadAtOnce(t *testing.T) {
	c := qt.New(t)
	accepted, caller := pair(t)
	c.Assert(accepted.SetReadDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	_, err := caller.Write([]byte("next"))
	c.Assert(err, qt.IsNil)
	_, err = accepted.Read(make([]byte, 4))
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

func TestWriteAfterAPauseGoesOut(t *testing.T) {
	c := qt.New(t)
	accepted, caller := pair(t)
	c.Assert(accepted.SetWriteDeadline(time.Now().Add(soon)), qt.IsNil)
	time.Sleep(paused)
	_, err := accepted.Write([]byte("answer"))
	c.Check(err, qt.IsNil)
	got := make([]byte, 6)
	_, err = io.ReadFull(caller, got)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "answer")
}
