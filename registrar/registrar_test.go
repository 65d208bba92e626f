package registrar_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
	"hemlocktally/messenger"
	"hemlocktally/registrar"
	"hemlocktally/storer"
)

// runningRegistrar is a Registrar that serves on a real socket.
type runningRegistrar struct {
	*registrar.Registrar
	stop func()
}

func startRegistrar(c *qt.C, platform string, id hemlocktally.InstanceID) runningRegistrar {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	transport := &http.Transport{}
	client := &http.Client{Transport: transport}
	r := &registrar.Registrar{
		Store: &storer.Client{BaseURL: platform, HTTP: client}, HTTP: client, LeaseTTL: 2 * time.Second,
		Self: hemlocktally.Instance{ID: id, Incarnation: "1", Zone: "a", PeerAddress: server.Listener.Addr().String(), State: hemlocktally.InstanceServing},
	}
	mux.Handle(messenger.MembershipPathPrefix, messenger.NewMembershipServer(r))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	stop := func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
		server.CloseClientConnections()
		transport.CloseIdleConnections()
		server.Close()
	}
	return runningRegistrar{Registrar: r, stop: stop}
}

// waitFor polls until the condition holds, and fails the test after 20 seconds.
func waitFor(c *qt.C, what string, reached func() bool) {
	deadline := time.Now().Add(20 * time.Second)
	for !reached() {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func hasServing(r runningRegistrar, count int) func() bool {
	return func() bool { return len(r.View().Serving()) == count }
}

func TestInstancesJoinAndLeave(t *testing.T) {
	c := qt.New(t)
	platform := &imitator.Platform{Seed: 1}
	store := httptest.NewServer(platform.Handler())
	defer store.Close()
	a, b := startRegistrar(c, store.URL, "a"), startRegistrar(c, store.URL, "b")
	defer a.stop()
	waitFor(c, "both serve", hasServing(a, 2))
	waitFor(c, "a lease", func() bool { _, _, ok := a.Lease(); return ok })
	_, end, _ := a.Lease()
	c.Check(end.Before(time.Now().Add(2*time.Second)), qt.IsTrue)
	b.Leave()
	waitFor(c, "b is leaving", hasServing(a, 1))
	b.stop()
	waitFor(c, "b is gone", func() bool { return len(a.View().Members) == 1 })
}

func TestRegistersAgainAfterLostAnswersAndEndedLease(t *testing.T) {
	c := qt.New(t)
	platform := &imitator.Platform{Seed: 2}
	store := httptest.NewServer(platform.Handler())
	defer store.Close()
	platform.SetFaults(imitator.PlatformFaults{LoseWriteAnswers: 0.5})
	a := startRegistrar(c, store.URL, "a")
	defer a.stop()
	waitFor(c, "a lease", func() bool { _, _, ok := a.Lease(); return ok })
	first, _, _ := a.Lease()
	platform.EndLease(first)
	waitFor(c, "another lease", func() bool { id, _, ok := a.Lease(); return ok && id != first })
	c.Check(a.View().Members[0].Incarnation, qt.Not(qt.Equals), "1")
}
