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

// connPair returns both ends of a connection; the first one was accepted by an
// acceptor.Listener.
func connPair(t *testing.T) (accepted, caller net.Conn) {
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
	deadlineAfter = 20 * time.Millisecond
	pause         = 60 * time.Millisecond
)

// The process is paused from before the arrival of a request until after the read
// deadline. The request must still be read.
func TestReadAfterAPauseReturnsWhatArrived(t *testing.T) {
	c := qt.New(t)
	accepted, caller := connPair(t)
	c.Assert(accepted.SetReadDeadline(time.Now().Add(deadlineAfter)), qt.IsNil)
	_, err := caller.Write([]byte("GET / HTTP/1.1"))
	c.Assert(err, qt.IsNil)
	time.Sleep(pause)
	head := make([]byte, 5)
	_, err = io.ReadFull(accepted, head)
	c.Check(err, qt.IsNil)
	_, err = io.ReadFull(accepted, head)
	c.Check(err, qt.IsNil, qt.Commentf("the rest of what arrived"))
	c.Check(string(head), qt.Equals, " HTTP")
}

// A read from a caller that sends nothing fails after its deadline; the grace
// period applies only once.
func TestReadFromASilentCallerTimesOut(t *testing.T) {
	c := qt.New(t)
	accepted, _ := connPair(t)
	begun := time.Now()
	c.Assert(accepted.SetReadDeadline(begun.Add(deadlineAfter)), qt.IsNil)
	for range 3 {
		_, err := accepted.Read(make([]byte, 1))
		c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	}
	c.Check(time.Since(begun) < 500*time.Millisecond, qt.IsTrue)
}

// HTTP servers set a deadline in the past to interrupt a blocked read. It has no
// grace period.
func TestPastDeadlineEndsAReadAtOnce(t *testing.T) {
	c := qt.New(t)
	accepted, caller := connPair(t)
	c.Assert(accepted.SetReadDeadline(time.Now().Add(-time.Second)), qt.IsNil)
	_, err := caller.Write([]byte("next"))
	c.Assert(err, qt.IsNil)
	_, err = accepted.Read(make([]byte, 4))
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
}

func TestWriteAfterAPauseSucceeds(t *testing.T) {
	c := qt.New(t)
	accepted, caller := connPair(t)
	c.Assert(accepted.SetWriteDeadline(time.Now().Add(deadlineAfter)), qt.IsNil)
	time.Sleep(pause)
	_, err := accepted.Write([]byte("answer"))
	c.Check(err, qt.IsNil)
	got := make([]byte, 6)
	_, err = io.ReadFull(caller, got)
	c.Check(err, qt.IsNil)
	c.Check(string(got), qt.Equals, "answer")
}
