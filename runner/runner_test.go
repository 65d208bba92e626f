package runner_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/logger"
)

func startFleet(t *testing.T) *experimenter.Fleet {
	t.Helper()
	c := qt.New(t)
	deployment := experimenter.Association()
	deployment.Instances = 3
	var logs lockedBuffer
	deployment.Log = logger.Logger{Out: &logrus.Logger{Out: &logs, Formatter: &logrus.TextFormatter{TimestampFormat: time.RFC3339Nano}, Level: logrus.InfoLevel}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	fleet, err := experimenter.Start(context.Background(), deployment)
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(fleet.Stop(), qt.IsNil) })
	return fleet
}

func TestCallIsServedFromEndToEnd(t *testing.T) {
	c := qt.New(t)
	fleet := startFleet(t)
	for _, daemon := range fleet.Daemons {
		response, err := http.Post("http://"+daemon.Self().CallerAddress+"/holds/7", "text/plain", strings.NewReader("one hold"))
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Check(string(body), qt.Equals, "POST /holds/7 \none hold")
		c.Check(response.Header.Get(hemlocktally.HeaderOutcome), qt.Equals, "Done")
	}
}

func TestUncoveredCallIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	fleet := startFleet(t)
	response, err := http.Get("http://" + fleet.Daemons[0].Self().CallerAddress + "/nothing")
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	c.Check(response.StatusCode, qt.Equals, http.StatusNotFound)
	c.Check(response.Header.Get(hemlocktally.HeaderOutcome), qt.Equals, "NotRun")
}

// lockedBuffer takes the logs of a fleet, which are shown where its test fails.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write adds to the buffer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns all that was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
