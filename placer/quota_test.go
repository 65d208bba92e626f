package placer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/limiter"
	"hemlocktally/messenger"
	"hemlocktally/placer"
)

// countingQuotas counts what it is asked, by a State with one customer.
type countingQuotas struct {
	mu    sync.Mutex
	state limiter.State
	taken int
	given int
	sent  []uint32
}

func newQuotas(rate float64) *countingQuotas {
	q := &countingQuotas{state: limiter.State{Self: "o", Incarnation: "1"}}
	start := time.Now().Add(-time.Minute)
	q.state.SetCustomers([]hemlocktally.Customer{{Name: "c", RatePerSecond: rate}}, start)
	q.state.SetHubs([]hemlocktally.Instance{{ID: "o"}}, start)
	return q
}

func (q *countingQuotas) Take(customer hemlocktally.CustomerName, _ hemlocktally.InstanceID, sent []uint32) (limiter.Charge, *hemlocktally.RefusedError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken++
	q.sent = sent
	charge, refused, _ := q.state.Take(customer, true, time.Now())
	return charge, refused
}

func (q *countingQuotas) Yield(customer hemlocktally.CustomerName) *hemlocktally.RefusedError {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Yield(customer, time.Now())
}

func (q *countingQuotas) Start(charge limiter.Charge) limiter.Charge { return charge }

func (q *countingQuotas) GiveBack(charge limiter.Charge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.given++
	q.state.GiveBack(charge)
}

// awaitCounts waits until the quotas were asked for calls and got calls back as often as given.
func (q *countingQuotas) awaitCounts(c *qt.C, taken, given int) {
	c.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		q.mu.Lock()
		done := q.taken == taken && q.given == given
		q.mu.Unlock()
		if done {
			return
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c.Assert([]int{q.taken, q.given}, qt.DeepEquals, []int{taken, given})
}

// startQuotaServer starts an owner with one target of one slot, and a client of it that is
// another instance.
func startQuotaServer(t *testing.T, quotas placer.Quotas) *placer.Client {
	t.Helper()
	server := &placer.Server{Self: "o", Prober: idleProber{}, Bounds: placer.Bounds{RetryRatio: 1, RetryWindow: 10 * time.Second, RetrySlack: 100}, Quotas: quotas}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Run(ctx) }()
	server.Configure(map[hemlocktally.ServiceName]placer.TargetsMsg{"s": {
		Service: hemlocktally.Service{Name: "s", ProbePath: "/"},
		Targets: []hemlocktally.Registration{{Service: "s", Target: hemlocktally.Target{Name: "x", Address: "127.0.0.1:1", Zone: "a", Slots: 1}}},
	}})
	for !server.CanDecide("s") {
		time.Sleep(time.Millisecond)
	}
	listener := httptest.NewServer(messenger.NewPlacementServer(server))
	t.Cleanup(listener.Close)
	owner := hemlocktally.Instance{ID: "o", PeerAddress: strings.TrimPrefix(listener.URL, "http://"), State: hemlocktally.InstanceServing}
	alone := &limiter.Alone{}
	alone.Configure([]hemlocktally.Customer{{Name: "c", RatePerSecond: 100}}, 10)
	return &placer.Client{
		Self: "self", Zone: "a", View: fixedView{[]hemlocktally.Instance{owner}}, Server: &placer.Server{}, Alone: &placer.Server{Alone: true},
		HTTP: http.DefaultClient, Quotas: alone,
	}
}

func quotaRequest(kind hemlocktally.AttemptKind, left time.Duration) hemlocktally.GrantRequest {
	now := time.Now()
	return hemlocktally.GrantRequest{Service: "s", Contract: "k", Kind: kind, Customer: "c", Deadline: now.Add(left), Objective: now.Add(left)}
}

// A call counts once, however often its client asks and however many attempts it takes, and does
// not count if it certainly did not run.
func TestCallCountsOnceAgainstItsQuota(t *testing.T) {
	c := qt.New(t)
	quotas := newQuotas(1000)
	client := startQuotaServer(t, quotas)
	acquire := func(request hemlocktally.GrantRequest) hemlocktally.Grant {
		grant, err := client.Acquire(context.Background(), request)
		c.Assert(err, qt.IsNil)
		return grant
	}
	end := func(grant hemlocktally.Grant, outcome hemlocktally.AttemptOutcome, counted bool) {
		client.Release(hemlocktally.GrantResult{Grant: grant, Contract: "k", Outcome: outcome, Latency: time.Millisecond, Counted: counted})
	}
	first := acquire(quotaRequest(hemlocktally.AttemptFirst, time.Second))
	// A second call waits for the slot and asks several times.
	done := make(chan hemlocktally.Grant)
	go func() { done <- acquire(quotaRequest(hemlocktally.AttemptFirst, 2*time.Second)) }()
	time.Sleep(100 * time.Millisecond)
	end(first, hemlocktally.AttemptDone, false)
	second := <-done
	quotas.awaitCounts(c, 2, 0)
	end(second, hemlocktally.AttemptUnused, false)
	quotas.awaitCounts(c, 2, 1)
	refused := acquire(quotaRequest(hemlocktally.AttemptFirst, time.Second))
	end(refused, hemlocktally.AttemptRefused, false)
	quotas.awaitCounts(c, 3, 2)
	// Its next attempt counts in place of the first, and a further one does not.
	again := acquire(quotaRequest(hemlocktally.AttemptRetry, time.Second))
	end(again, hemlocktally.AttemptFailed, false)
	request := quotaRequest(hemlocktally.AttemptRetry, time.Second)
	request.Counted = true
	end(acquire(request), hemlocktally.AttemptUnused, false)
	quotas.awaitCounts(c, 4, 2)
	// The count of an attempt is kept while another one relies on it.
	end(acquire(quotaRequest(hemlocktally.AttemptFirst, time.Second)), hemlocktally.AttemptUnused, true)
	quotas.awaitCounts(c, 5, 2)
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	c.Check(quotas.sent, qt.HasLen, 1, qt.Commentf("the client tells what it has sent"))
}

// A call that is refused for another reason after it was counted, or given up by its client, does
// not count.
func TestRefusedCallsDoNotCount(t *testing.T) {
	c := qt.New(t)
	quotas := newQuotas(1000)
	client := startQuotaServer(t, quotas)
	held, err := client.Acquire(context.Background(), quotaRequest(hemlocktally.AttemptFirst, time.Second))
	c.Assert(err, qt.IsNil)
	_, err = client.Acquire(context.Background(), quotaRequest(hemlocktally.AttemptFirst, 80*time.Millisecond))
	c.Assert(err, qt.IsNotNil)
	quotas.awaitCounts(c, 2, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Acquire(ctx, quotaRequest(hemlocktally.AttemptFirst, 3*time.Second))
	c.Assert(err, qt.IsNotNil)
	quotas.awaitCounts(c, 3, 2)
	client.Release(hemlocktally.GrantResult{Grant: held, Contract: "k", Outcome: hemlocktally.AttemptDone})
}

// A call beyond the quota is refused at once with the reason, and calls without a customer are
// not counted.
func TestCallBeyondItsQuotaIsRefused(t *testing.T) {
	c := qt.New(t)
	quotas := newQuotas(0.4)
	client := startQuotaServer(t, quotas)
	granted := 0
	for {
		grant, err := client.Acquire(context.Background(), quotaRequest(hemlocktally.AttemptFirst, time.Second))
		if err != nil {
			var refused *hemlocktally.RefusedError
			c.Assert(err, qt.ErrorAs, &refused)
			c.Check(refused.Reason, qt.Equals, hemlocktally.ReasonQuota)
			c.Check(refused.Outcome, qt.Equals, hemlocktally.OutcomeNotRun)
			c.Check(refused.RetryAfter > time.Second && refused.RetryAfter <= 6*time.Second, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))
			break
		}
		granted++
		client.Release(hemlocktally.GrantResult{Grant: grant, Contract: "k", Outcome: hemlocktally.AttemptDone})
	}
	c.Check(granted, qt.Equals, 2)
	taken := quotas.taken
	request := quotaRequest(hemlocktally.AttemptFirst, time.Second)
	request.Customer = ""
	_, err := client.Acquire(context.Background(), request)
	c.Assert(err, qt.IsNil)
	c.Check(quotas.taken, qt.Equals, taken)
}
