// Package forwarder hands calls over to other instances, for an instance that reaches no targets
// itself. The other instance serves the call like one of its own callers; it never hands it over
// again.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

const (
	// skipTime is how long an instance that could not be reached or can't serve calls is tried
	// last.
	skipTime = time.Second
	// maxInstances is how many instances are tried for one call.
	maxInstances = 5
)

// Forwarder implements hemlocktally.Forwarder. The exported fields must be set before use.
type Forwarder struct {
	Self hemlocktally.InstanceID
	Zone hemlocktally.ZoneName
	View hemlocktally.ViewSource // View lists the hubs, which take calls over.
	// Helpers lists other instances that reach the targets. It may be nil.
	Helpers func() []hemlocktally.Instance
	HTTP    http.RoundTripper
	Log     logger.Logger

	forwarded atomic.Uint64
	mu        sync.Mutex
	skipUntil map[hemlocktally.InstanceID]time.Time
}

// errUnable means that the instance can't serve calls at present.
var errUnable = errors.New("the instance can't serve the call")

// Forward implements hemlocktally.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, newRequest func(address string) *http.Request) (*http.Response, hemlocktally.InstanceID, error) {
	failed := &hemlocktally.ForwardError{Cause: errors.New("there is no other instance")}
	for _, instance := range f.candidates() {
		request := newRequest(instance.PeerAddress)
		if request == nil {
			break
		}
		response, sent, err := f.send(ctx, request)
		if err == nil {
			f.forwarded.Add(1)
			return response, instance.ID, nil
		}
		unable := errors.Is(err, errUnable)
		failed = &hemlocktally.ForwardError{Instance: instance.ID, Sent: sent && !unable, Cause: err}
		if failed.Sent || ctx.Err() != nil {
			break
		}
		f.skip(instance.ID)
		f.Log.Log(logger.EventCallNotHandedOver, logger.Fields{"Peer": instance.ID, "Cause": err.Error()})
	}
	return nil, failed.Instance, failed
}

// Forwarded returns how many calls other instances took over.
func (f *Forwarder) Forwarded() uint64 {
	if f == nil {
		return 0
	}
	return f.forwarded.Load()
}

// candidates returns the instances to try: those of the own zone first, each group in random
// order, and the ones that failed lately last.
func (f *Forwarder) candidates() []hemlocktally.Instance {
	instances := slices.Clone(f.View.View().Serving())
	if f.Helpers != nil {
		instances = append(instances, f.Helpers()...)
	}
	instances = slices.DeleteFunc(instances, func(i hemlocktally.Instance) bool { return i.ID == f.Self })
	rand.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	rank := func(i hemlocktally.Instance) int {
		switch {
		case now.Before(f.skipUntil[i.ID]):
			return 2
		case i.Zone != f.Zone:
			return 1
		default:
			return 0
		}
	}
	slices.SortStableFunc(instances, func(a, b hemlocktally.Instance) int { return rank(a) - rank(b) })
	return instances[:min(len(instances), maxInstances)]
}

func (f *Forwarder) skip(id hemlocktally.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.skipUntil == nil {
		f.skipUntil = map[hemlocktally.InstanceID]time.Time{}
	}
	f.skipUntil[id] = time.Now().Add(skipTime)
}

// send sends the request once. sent is set if any byte of it may have left.
func (f *Forwarder) send(ctx context.Context, request *http.Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	response, err = f.HTTP.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, connected.Load(), err
	}
	if unable(response.Header) {
		_ = response.Body.Close()
		return nil, true, errUnable
	}
	return response, true, nil
}

// unable reports whether the instance refused the call for a reason that does not concern the
// others.
func unable(header http.Header) bool {
	if header.Get(hemlocktally.HeaderForwardOutcome) != string(hemlocktally.OutcomeNotRun) {
		return false
	}
	switch hemlocktally.Reason(header.Get(hemlocktally.HeaderForwardReason)) {
	case hemlocktally.ReasonStarting, hemlocktally.ReasonLeaving, hemlocktally.ReasonIsolated:
		return true
	default:
		return false
	}
}
