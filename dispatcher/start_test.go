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

// laterConfiguration is none until it is set.
type laterConfiguration struct {
	config atomic.Pointer[hemlocktally.Configuration]
	set    chan struct{}
}

func (l *laterConfiguration) Current() *hemlocktally.Configuration {
	if config := l.config.Load(); config != nil {
		return config
	}
	return &hemlocktally.Configuration{}
}

func (l *laterConfiguration) Await(ctx context.Context) {
	select {
	case <-l.set:
	case <-ctx.Done():
	}
}

// All instances start anew at once: calls that reach one before it has its
// configuration are served as soon as it has, and need not come back.
func TestCallWaitsForTheFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	later := &laterConfiguration{set: make(chan struct{})}
	d := &dispatcher.Dispatcher{Configuration: later, Starting: later, Granter: &turns{}}
	time.AfterFunc(20*time.Millisecond, func() {
		later.config.Store(&hemlocktally.Configuration{Revision: 1})
		close(later.set)
	})
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a", nil))
	c.Check(w.Code, qt.Equals, http.StatusNotFound, qt.Commentf("the configuration has no contract for it"))
}

// Where no configuration comes, the call is given up while the caller can still
// go elsewhere.
func TestCallWithoutAConfigurationIsGivenUpSoon(t *testing.T) {
	c := qt.New(t)
	later := &laterConfiguration{set: make(chan struct{})}
	d := &dispatcher.Dispatcher{Configuration: later, Starting: later, Granter: &turns{}}
	begun := time.Now()
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a", nil))
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(time.Since(begun) < time.Second, qt.IsTrue)
}
