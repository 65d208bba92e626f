package allocator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"hemlocktally"
	"hemlocktally/messenger"
)

// storedConfiguration is a configuration that a test can replace.
type storedConfiguration struct {
	atomic.Pointer[hemlocktally.Configuration]
}

// Current returns the configuration.
func (c *storedConfiguration) Current() *hemlocktally.Configuration { return c.Load() }

// fixedView is a hemlocktally.ViewSource whose view does not change.
type fixedView struct {
	view hemlocktally.View
}

// View returns the view.
func (m fixedView) View() hemlocktally.View { return m.view }

// fallbackStub counts the grants that are issued without an owner.
type fallbackStub struct {
	acquired, released atomic.Int32
}

// Acquire issues a grant with Alone set.
func (a *fallbackStub) Acquire(_ context.Context, r hemlocktally.GrantRequest) (hemlocktally.Grant, error) {
	a.acquired.Add(1)
	return hemlocktally.Grant{ID: "alone", Service: r.Service, Target: hemlocktally.Target{Name: "t0"}, Alone: true, Deadline: r.Deadline}, nil
}

// Release counts.
func (a *fallbackStub) Release(hemlocktally.GrantResult) { a.released.Add(1) }

// clientFixture is a client of a service that a peer with a given HTTP handler
// owns.
type clientFixture struct {
	client   *Client
	config   *storedConfiguration
	fallback *fallbackStub
	registry *GrantRegistry
}

func newClientFixture(t *testing.T, handler http.Handler) *clientFixture {
	t.Helper()
	server := httptest.NewServer(handler)
	ctx, cancel := context.WithCancel(context.Background())
	p := &clientFixture{config: &storedConfiguration{}, fallback: &fallbackStub{}, registry: &GrantRegistry{}}
	p.config.Store(&hemlocktally.Configuration{Revision: 1, Services: []hemlocktally.Service{{
		Name: "reads", Targets: []hemlocktally.Target{{Name: "t0", Address: "x", Zone: "a"}, {Name: "t1", Address: "y", Zone: "b"}},
	}}})
	view := hemlocktally.View{Members: []hemlocktally.Instance{{
		ID: "owner", State: hemlocktally.InstanceServing, PeerAddress: strings.TrimPrefix(server.URL, "http://"),
	}}}
	transport := &http.Transport{}
	peers := &Peers{Self: "entry", HTTP: &http.Client{Transport: transport}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peers.Run(ctx)
	}()
	p.client = &Client{
		Self: "entry", Configuration: p.config, Members: fixedView{view}, Peers: peers, Grants: p.registry, Fallback: p.fallback,
	}
	t.Cleanup(func() {
		cancel()
		<-done
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return p
}

func (p *clientFixture) acquire() (hemlocktally.Grant, error) {
	return p.client.Acquire(context.Background(), hemlocktally.GrantRequest{
		Service: "reads", Deadline: time.Now().Add(5 * time.Second), QueueLimit: 3 * time.Second,
	})
}

// ownerStub returns fixed responses in order.
type ownerStub struct {
	messenger.Allocation
	answers  chan *messenger.AcquireResponse
	reported chan *messenger.Result
}

// Acquire returns the next response.
func (o *ownerStub) Acquire(context.Context, *messenger.AcquireRequest) (*messenger.AcquireResponse, error) {
	return <-o.answers, nil
}

// Report records the results.
func (o *ownerStub) Report(_ context.Context, in *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	for _, r := range in.Results {
		o.reported <- r
	}
	return &messenger.ReportResponse{}, nil
}

func newOwnerStub(answers ...*messenger.AcquireResponse) *ownerStub {
	o := &ownerStub{answers: make(chan *messenger.AcquireResponse, len(answers)), reported: make(chan *messenger.Result, 16)}
	for _, a := range answers {
		o.answers <- a
	}
	return o
}

func TestUnresponsiveOwnerIsAvoided(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("silent", func(t *testing.T) {
		c := qt.New(t)
		hang := make(chan struct{})
		asked := atomic.Int32{}
		p := newClientFixture(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			asked.Add(1)
			<-hang
		}))
		defer close(hang)
		grant, err := p.acquire()
		c.Assert(err, qt.IsNil)
		c.Check(grant.Alone, qt.IsTrue)
		owner := p.client.Peers.peer(p.client.Members.View().Members[0])
		owner.mu.Lock()
		c.Check(owner.avoidUntil.IsZero(), qt.IsFalse)
		owner.avoidUntil = time.Now().Add(time.Minute)
		owner.mu.Unlock()
		before := asked.Load()
		_, err = p.acquire()
		c.Assert(err, qt.IsNil)
		c.Check(asked.Load(), qt.Equals, before, qt.Commentf("an owner that did not respond is avoided for a while"))
		p.client.Release(hemlocktally.GrantResult{Grant: grant})
		c.Check(p.fallback.released.Load(), qt.Equals, int32(1))
	})
}

func TestGrantOnAnOutOfServiceTargetIsReturned(t *testing.T) {
	c := qt.New(t)
	owner := newOwnerStub(
		&messenger.AcquireResponse{Grant: "g1", Target: "t0", Address: "x", Owner: "owner", Revision: 1},
		&messenger.AcquireResponse{Grant: "g2", Target: "t1", Address: "y", Owner: "owner", Revision: 1},
	)
	p := newClientFixture(t, messenger.NewAllocationServer(owner))
	next := *p.config.Load()
	next.Revision = 2
	next.Zones = []hemlocktally.AvailabilityZone{{Name: "a", Out: true}}
	p.config.Store(&next)
	grant, err := p.acquire()
	c.Assert(err, qt.IsNil)
	c.Check(grant.ID, qt.Equals, hemlocktally.GrantID("g2"))
	back := <-owner.reported
	c.Check(back.Grant, qt.Equals, "g1")
	c.Check(hemlocktally.AttemptOutcome(back.Outcome), qt.Equals, hemlocktally.AttemptUnused)
	c.Check(p.registry.grantsFor("owner", everyService), qt.HasLen, 1)
}

func TestColdGrantIsNotUsedAfterItsLease(t *testing.T) {
	c := qt.New(t)
	late := &messenger.AcquireResponse{Grant: "g1", Target: "t0", Address: "x", Owner: "owner", Revision: 1, Cold: true, LeaseMicroseconds: -1}
	p := newClientFixture(t, messenger.NewAllocationServer(newOwnerStub(late, late, late)))
	_, err := p.acquire()
	var refused *hemlocktally.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Check(refused.Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
}

func TestStandInThatReachesTheOwnerRedirectsToIt(t *testing.T) {
	c := qt.New(t)
	owner := newOwnerStub(&messenger.AcquireResponse{Grant: "g1", Target: "t1", Address: "y", Owner: "owner", Revision: 1})
	p := newClientFixture(t, messenger.NewAllocationServer(owner))
	standIn := httptest.NewServer(messenger.NewAllocationServer(newOwnerStub(&messenger.AcquireResponse{Refused: refusedNotOwner})))
	defer standIn.Close()
	view := p.client.Members.View()
	address := strings.TrimPrefix(standIn.URL, "http://")
	// The stand-in has the second-highest hash for the service.
	for i := 0; len(view.Members) < 2; i++ {
		id := hemlocktally.InstanceID(fmt.Sprintf("other%d", i))
		if score(id, "reads") < score("owner", "reads") {
			view.Members = append(view.Members, hemlocktally.Instance{ID: id, State: hemlocktally.InstanceServing, PeerAddress: address})
		}
	}
	p.client.Members = fixedView{view}
	avoided := p.client.Peers.peer(view.Members[0])
	avoided.mu.Lock()
	avoided.avoidUntil = time.Now().Add(time.Minute)
	avoided.mu.Unlock()
	grant, err := p.acquire()
	c.Assert(err, qt.IsNil)
	c.Check(grant.ID, qt.Equals, hemlocktally.GrantID("g1"))
	c.Check(p.client.Peers.avoided(view.Members[0], time.Now()), qt.IsFalse)
}

// TestNewOwnerServesBeforeItsOwnViewNamesIt covers a planned stop that the
// requester learns of before the next owner does.
func TestNewOwnerServesBeforeItsOwnViewNamesIt(t *testing.T) {
	c := qt.New(t)
	old := httptest.NewServer(messenger.NewAllocationServer(newOwnerStub()))
	defer old.Close()
	config := &storedConfiguration{}
	config.Store(&hemlocktally.Configuration{Revision: 1, Services: []hemlocktally.Service{{Name: "reads"}}})
	lagging := fixedView{hemlocktally.View{Members: []hemlocktally.Instance{{
		ID: "old", State: hemlocktally.InstanceServing, PeerAddress: strings.TrimPrefix(old.URL, "http://"),
	}}}}
	next := &Server{Self: "next", Configuration: config, Members: lagging, Peers: &Peers{HTTP: http.DefaultClient}, Grants: &GrantRegistry{}}
	for standIn, want := range map[bool]string{true: refusedNotOwner, false: string(hemlocktally.ReasonLeaving)} {
		// The server does not run in this test, so it refuses all that it would serve
		// with ReasonLeaving.
		out, err := next.Acquire(context.Background(), &messenger.AcquireRequest{Service: "reads", StandIn: standIn})
		c.Assert(err, qt.IsNil)
		c.Check(out.Refused, qt.Equals, want)
	}
	http.DefaultClient.CloseIdleConnections()
}
