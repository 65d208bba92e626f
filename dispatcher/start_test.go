package dispatcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/dispatcher"
)

// delayedConfiguration has no configuration until config is stored and set is
// closed.
type delayedConfiguration struct {
	config atomic.Pointer[hemlocktally.Configuration]
	set    chan struct{}
}

func (l *delayedConfiguration) Current() *hemlocktally.Configuration {
	if config := l.config.Load(); config != nil {
		return config
	}
	return &hemlocktally.Configuration{}
}

func (l *delayedConfiguration) Await(ctx context.Context) {
	select {
	case <-l.set:
	case <-ctx.Done():
	}
}

// After a restart of all instances, calls can reach an instance before it has its
// configuration. They wait for it, so that callers need not retry.
func TestCallWaitsForTheFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	configuration := &delayedConfiguration{set: make(chan struct{})}
	d := &dispatcher.Dispatcher{Configuration: configuration, FirstConfiguration: configuration, Granter: &fakeGranter{}}
	time.AfterFunc(20*time.Millisecond, func() {
		configuration.config.Store(&hemlocktally.Configuration{Revision: 1})
		close(configuration.set)
	})
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a", nil))
	c.Check(w.Code, qt.Equals, http.StatusNotFound, qt.Commentf("the configuration has no contract for the call"))
}

// If no configuration arrives, the call is refused early enough for the caller to
// try another instance.
func TestCallWithoutAConfigurationIsRefusedSoon(t *testing.T) {
	c := qt.New(t)
	configuration := &delayedConfiguration{set: make(chan struct{})}
	d := &dispatcher.Dispatcher{Configuration: configuration, FirstConfiguration: configuration, Granter: &fakeGranter{}}
	begun := time.Now()
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a", nil))
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(time.Since(begun) < time.Second, qt.IsTrue)
}
