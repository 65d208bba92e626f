package logger_test

import (
	"context"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/logger"
)

// A pipe that is not read fills up; logging must not block on it.
func TestLoggingDoesNotBlockOnUnreadPipe(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	w := logger.NewWriter(writer, 1e6)
	log, err := logger.New(w, "JSON", "info")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx, log)
	}()
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for range 20000 {
			log.Log(logger.EventUnusualCall, logger.Fields{"Call": strings.Repeat("x", 64)})
		}
	}()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		c.Fatal("logging blocks until the pipe is read")
	}
	c.Assert(w.Dropped() > 0, qt.IsTrue)
	cancel()
	c.Assert(reader.Close(), qt.IsNil)
	<-ended
	c.Assert(writer.Close(), qt.IsNil)
}

func TestLinesBeyondRateLimitAreCounted(t *testing.T) {
	c := qt.New(t)
	w := logger.NewWriter(io.Discard, 10)
	for range 30 {
		n, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	c.Assert(w.Dropped() >= 19, qt.IsTrue)
}
