package forwarder_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/forwarder"
)

type fixedView []hemlocktally.Instance

func (v fixedView) View() hemlocktally.View { return hemlocktally.View{Members: v} }

// peer is an instance that answers as the test says.
type peer struct {
	hemlocktally.Instance
	calls  atomic.Int64
	answer http.HandlerFunc
}

func startPeer(t *testing.T, id hemlocktally.InstanceID, zone hemlocktally.ZoneName, answer http.HandlerFunc) *peer {
	t.Helper()
	p := &peer{answer: answer}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		p.answer(w, r)
	}))
	t.Cleanup(server.Close)
	p.Instance = hemlocktally.Instance{ID: id, Zone: zone, PeerAddress: server.Listener.Addr().String(), State: hemlocktally.InstanceServing}
	return p
}

func serve(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }

func refuse(reason hemlocktally.Reason, outcome hemlocktally.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hemlocktally.HeaderForwardOutcome, string(outcome))
		w.Header().Set(hemlocktally.HeaderForwardReason, string(reason))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func cut(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func forward(t *testing.T, f *forwarder.Forwarder) (hemlocktally.InstanceID, error) {
	t.Helper()
	f.HTTP = &http.Transport{DisableKeepAlives: true}
	response, id, err := f.Forward(context.Background(), func(address string) *http.Request {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", http.NoBody)
		qt.Assert(t, err, qt.IsNil)
		return request
	})
	if err == nil {
		qt.Assert(t, response.Body.Close(), qt.IsNil)
	}
	return id, err
}

// Bytes between zones cost: an instance of the own zone takes the call over if there is one.
func TestInstanceOfOwnZoneComesFirst(t *testing.T) {
	c := qt.New(t)
	near, far := startPeer(t, "near", "a", serve), startPeer(t, "far", "b", serve)
	self := hemlocktally.Instance{ID: "self", Zone: "a", PeerAddress: "127.0.0.1:1", State: hemlocktally.InstanceServing}
	f := &forwarder.Forwarder{Self: "self", Zone: "a", View: fixedView{far.Instance, self, near.Instance}}
	for range 20 {
		id, err := forward(t, f)
		c.Assert(err, qt.IsNil)
		c.Check(id, qt.Equals, hemlocktally.InstanceID("near"))
	}
	c.Check(f.Forwarded(), qt.Equals, uint64(20))
}

// An instance that can't be reached, or can't serve calls for a reason of its own, is followed by
// the next one.
func TestNextInstanceIsTriedWhileTheCallDidNotRun(t *testing.T) {
	c := qt.New(t)
	for _, reason := range []hemlocktally.Reason{hemlocktally.ReasonIsolated, hemlocktally.ReasonLeaving, hemlocktally.ReasonStarting} {
		unable, able := startPeer(t, "unable", "a", refuse(reason, hemlocktally.OutcomeNotRun)), startPeer(t, "able", "b", serve)
		gone := hemlocktally.Instance{ID: "gone", Zone: "a", PeerAddress: "127.0.0.1:1", State: hemlocktally.InstanceServing}
		f := &forwarder.Forwarder{Self: "self", Zone: "a", View: fixedView{unable.Instance, gone, able.Instance}}
		for range 3 {
			id, err := forward(t, f)
			c.Assert(err, qt.IsNil)
			c.Check(id, qt.Equals, hemlocktally.InstanceID("able"))
		}
		c.Check(unable.calls.Load(), qt.Equals, int64(1), qt.Commentf("it is tried last for a while"))
	}
}

// A call that an instance may have run, or that it refused for a reason that holds everywhere, goes
// to no other one.
func TestCallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	next := startPeer(t, "next", "b", serve)
	first := startPeer(t, "first", "a", cut)
	f := &forwarder.Forwarder{Self: "self", Zone: "a", View: fixedView{first.Instance, next.Instance}}
	_, err := forward(t, f)
	var failed *hemlocktally.ForwardError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Sent, qt.IsTrue)
	for _, answer := range []http.HandlerFunc{refuse(hemlocktally.ReasonShed, hemlocktally.OutcomeNotRun), refuse(hemlocktally.ReasonIsolated, hemlocktally.OutcomeUnknown)} {
		first = startPeer(t, "first", "a", answer)
		id, err := forward(t, &forwarder.Forwarder{Self: "self", Zone: "a", View: fixedView{first.Instance, next.Instance}})
		c.Check(err, qt.IsNil)
		c.Check(id, qt.Equals, hemlocktally.InstanceID("first"))
	}
	c.Check(next.calls.Load(), qt.Equals, int64(0))
}

// All instances are isolated, none can be reached, or there is none: the call was not sent.
func TestForwardErrors(t *testing.T) {
	c := qt.New(t)
	unable := startPeer(t, "unable", "a", refuse(hemlocktally.ReasonIsolated, hemlocktally.OutcomeNotRun))
	gone := hemlocktally.Instance{ID: "gone", Zone: "a", PeerAddress: "127.0.0.1:1", State: hemlocktally.InstanceServing}
	for _, view := range []fixedView{{unable.Instance}, {gone}, {unable.Instance, gone}, {}} {
		_, err := forward(t, &forwarder.Forwarder{Self: "self", Zone: "a", View: view})
		var failed *hemlocktally.ForwardError
		c.Assert(errors.As(err, &failed), qt.IsTrue)
		c.Check(failed.Sent, qt.IsFalse, qt.Commentf("%v", err))
	}
}

// Where all hubs are isolated a call goes to an instance that a hub named.
func TestHelpersTakeCallsOverWhereHubsCannot(t *testing.T) {
	c := qt.New(t)
	hub := startPeer(t, "hub", "a", refuse(hemlocktally.ReasonIsolated, hemlocktally.OutcomeNotRun))
	helper := startPeer(t, "helper", "b", serve)
	f := &forwarder.Forwarder{
		Self: "self", Zone: "a", View: fixedView{hub.Instance}, Helpers: func() []hemlocktally.Instance { return []hemlocktally.Instance{helper.Instance} },
	}
	for range 5 {
		id, err := forward(t, f)
		c.Assert(err, qt.IsNil)
		c.Check(id, qt.Equals, hemlocktally.InstanceID("helper"))
	}
	c.Check(hub.calls.Load(), qt.Equals, int64(1))
}
