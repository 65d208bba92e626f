package limiter_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"hemlocktally"
	"hemlocktally/limiter"
	"hemlocktally/logger"
	"hemlocktally/messenger"
)

// network delivers requests to the limiters by their addresses, without sockets.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	bytes    int
	requests int
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	handler := n.handlers[r.URL.Host]
	n.mu.Unlock()
	if handler == nil {
		return nil, fmt.Errorf("no route to %s", r.URL.Host)
	}
	sent, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(sent))
	time.Sleep(time.Millisecond)
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, r)
	time.Sleep(time.Millisecond)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += len(sent) + answer.Body.Len()
	n.requests++
	return answer.Result(), nil
}

func (n *network) totals() (requests, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests, n.bytes
}

type fixedView []hemlocktally.Instance

func (v fixedView) View() hemlocktally.View { return hemlocktally.View{Members: v} }

// startLimiters starts a limiter for each hub.
func startLimiters(t *testing.T, n *network, hubs int, customers []hemlocktally.Customer) []*limiter.Limiter {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second) // All tasks end before the bubble does.
	})
	var view fixedView
	for i := range hubs {
		address := fmt.Sprintf("hub%d", i)
		view = append(view, hemlocktally.Instance{ID: hemlocktally.InstanceID(address), Incarnation: "1", PeerAddress: address, State: hemlocktally.InstanceServing})
	}
	n.handlers = map[string]http.Handler{}
	var limiters []*limiter.Limiter
	for _, instance := range view {
		l := &limiter.Limiter{
			Self: instance.ID, Incarnation: "1", Address: instance.PeerAddress, View: view, HTTP: &http.Client{Transport: n}, Log: logger.Logger{},
			Bounds: limiter.Bounds{Window: 5 * time.Second, Overshoot: 1.1, Slack: 20},
		}
		l.Prepare()
		l.Configure(customers)
		n.handlers[instance.PeerAddress] = messenger.NewQuotaServer(l)
		limiters = append(limiters, l)
	}
	for _, l := range limiters {
		go func() { _ = l.Run(ctx) }()
	}
	return limiters
}

// The tasks of three hubs split a quota over their messages: one hub gets nearly all calls, and
// then another one.
func TestLimitersExchangeShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		customer := hemlocktally.Customer{Name: "c", RatePerSecond: 100, Burst: 100}
		limiters := startLimiters(t, &network{}, 3, []hemlocktally.Customer{customer})
		time.Sleep(6 * time.Second)
		// 550 of the 600 calls of a window come within one second, to one hub.
		for _, l := range []*limiter.Limiter{limiters[0], limiters[1]} {
			refused := 0
			for range 550 {
				if _, err := l.Take("c", "i", nil); err != nil {
					refused++
				}
				time.Sleep(2 * time.Millisecond)
			}
			c.Check(refused, qt.Equals, 0)
			time.Sleep(5 * time.Second)
		}
		// Ten times the quota at all hubs.
		var granted atomic.Int64
		var group sync.WaitGroup
		started := time.Now()
		for _, l := range limiters {
			group.Go(func() {
				for time.Since(started) < 4900*time.Millisecond {
					if _, err := l.Take("c", "i", nil); err == nil {
						granted.Add(1)
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		group.Wait()
		c.Check(granted.Load() >= 600 && granted.Load() <= 680, qt.IsTrue, qt.Commentf("%d of 600 granted, 680 allowed", granted.Load()))
	})
}

// Hubs that know no quota send nothing, and those without calls little.
func TestIdleLimitersSendLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{}
		startLimiters(t, n, 3, []hemlocktally.Customer{{Name: "unlimited"}})
		time.Sleep(10 * time.Second)
		requests, _ := n.totals()
		c.Check(requests, qt.Equals, 0)
	})
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{}
		startLimiters(t, n, 3, []hemlocktally.Customer{{Name: "c", RatePerSecond: 5}})
		time.Sleep(10 * time.Second)
		_, total := n.totals()
		perHub := total / 10 / 3
		c.Check(perHub < 1000, qt.IsTrue, qt.Commentf("%d bytes a second for each hub", perHub))
	})
}

// A message of another instance may hold any numbers.
func TestMessageWithExcessiveNumbers(t *testing.T) {
	c := qt.New(t)
	l := &limiter.Limiter{Self: "a", Incarnation: "1", View: fixedView{}}
	l.Prepare()
	l.Configure([]hemlocktally.Customer{{Name: "c", RatePerSecond: 100, Burst: 100}})
	many := make([]uint32, 1000)
	for i := range many {
		many[i] = math.MaxUint32
	}
	out, err := l.Exchange(t.Context(), &messenger.QuotaExchange{
		Instance: "b", Incarnation: "1", Sequence: math.MaxUint64, KnownMicroseconds: math.MinInt64,
		Counts: []*messenger.QuotaCount{
			{Customer: "c", Recent: many, Share: math.MaxUint32, Before: math.MaxUint32, Raise: true, Departed: []*messenger.QuotaDeparted{{Hub: "x", Recent: many}}},
			{Customer: "unknown", Raise: true},
		},
	})
	c.Assert(err, qt.IsNil)
	c.Check(out.GetCounts(), qt.HasLen, 1)
	_, refused := l.Take("c", "i", many)
	c.Assert(refused, qt.IsNotNil)
	c.Check(refused.RetryAfter > 0 && refused.RetryAfter <= 6*time.Second, qt.IsTrue, qt.Commentf("%s", refused.RetryAfter))
}

// A Retry-After is true: a call that comes back then is granted, also where many were refused at
// the same time.
func TestRetryAfterIsTrue(t *testing.T) {
	c := qt.New(t)
	s, now := fullState(c, 100)
	var waits []time.Duration
	for range 40 {
		_, refused, _ := s.Take("c", true, now)
		c.Assert(refused, qt.IsNotNil)
		waits = append(waits, refused.RetryAfter)
	}
	c.Check(waits[39] > waits[0], qt.IsTrue, qt.Commentf("%v", waits))
	for _, wait := range waits {
		_, refused, _ := s.Take("c", true, now.Add(wait))
		c.Check(refused == nil, qt.IsTrue, qt.Commentf("after %s", wait))
	}
}

// fullState returns the state of the only hub, whose customer has used its quota evenly, one
// call after the other in a window.
func fullState(c *qt.C, rate float64) (*limiter.State, time.Time) {
	s := &limiter.State{Self: "a", Incarnation: "1"}
	now := testStart
	s.SetCustomers([]hemlocktally.Customer{{Name: "c", RatePerSecond: rate}}, now)
	s.SetHubs([]hemlocktally.Instance{{ID: "a"}}, now)
	now = now.Add(6 * time.Second)
	for n := 0; ; n++ {
		_, refused, _ := s.Take("c", true, now)
		if refused != nil {
			c.Assert(n >= int(5*rate), qt.IsTrue)
			return s, now
		}
		now = now.Add(4 * time.Millisecond)
	}
}

// A call that is given back makes room for another one; one that waited counts when it is sent.
func TestGivenBackCallsDoNotCount(t *testing.T) {
	c := qt.New(t)
	s := &limiter.State{Self: "a", Incarnation: "1"}
	now := testStart
	s.SetCustomers([]hemlocktally.Customer{{Name: "c", RatePerSecond: 1}}, now)
	s.SetHubs([]hemlocktally.Instance{{ID: "a"}}, now)
	now = now.Add(6 * time.Second)
	var charges []limiter.Charge
	for {
		charge, refused, _ := s.Take("c", true, now)
		if refused != nil {
			break
		}
		charges = append(charges, charge)
	}
	s.GiveBack(charges[0])
	charge, refused, _ := s.Take("c", true, now)
	c.Assert(refused == nil, qt.IsTrue)
	charge = s.Start(charge, now.Add(2*time.Second))
	// The others are too old now, and the one that waited is not.
	now = now.Add(5500 * time.Millisecond)
	granted := 0
	for {
		if _, refused, _ := s.Take("c", true, now); refused != nil {
			break
		}
		granted++
	}
	c.Check(granted, qt.Equals, len(charges)-1)
	s.GiveBack(charge)
	_, refused, _ = s.Take("c", true, now)
	c.Check(refused == nil, qt.IsTrue)
}

// BenchmarkTake measures the decision about one call, of 85 customers at three hubs.
func BenchmarkTake(b *testing.B) {
	s, _ := busyState(85)
	now := testStart.Add(10 * time.Second)
	names := make([]hemlocktally.CustomerName, 85)
	for i := range names {
		names[i] = hemlocktally.CustomerName(fmt.Sprintf("customer-%03d", i))
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		charge, _, _ := s.Take(names[i%85], true, now)
		s.GiveBack(charge)
	}
}

// BenchmarkExchange measures the message of a round in which all 85 customers are reported.
func BenchmarkExchange(b *testing.B) {
	s, now := busyState(85)
	size := 0
	for i := range b.N {
		m, _ := s.Begin(false, now.Add(time.Duration(i+1)*time.Second))
		s.Finish(true, now)
		if i == 0 {
			size = proto.Size(limiter.Wire(m))
		}
	}
	b.ReportMetric(float64(size), "bytes/message")
}

// busyState returns the state of one of three hubs with many customers.
func busyState(customers int) (*limiter.State, time.Time) {
	s := &limiter.State{Self: "a", Incarnation: "1"}
	now := testStart
	var list []hemlocktally.Customer
	var counts []limiter.Count
	for i := range customers {
		name := hemlocktally.CustomerName(fmt.Sprintf("customer-%03d", i))
		list = append(list, hemlocktally.Customer{Name: name, RatePerSecond: 20, Burst: 20})
		counts = append(counts, limiter.Count{Customer: name, Recent: []uint32{3, 3, 3, 3, 3, 3, 3, 3, 3, 3}, Share: 0.3})
	}
	s.SetCustomers(list, now)
	s.SetHubs([]hemlocktally.Instance{{ID: "a"}, {ID: "b", Incarnation: "1"}, {ID: "c", Incarnation: "1"}}, now)
	for now = testStart; now.Before(testStart.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, customer := range list {
			_, _, _ = s.Take(customer.Name, true, now)
		}
	}
	for _, hub := range []hemlocktally.InstanceID{"b", "c"} {
		s.Answer(limiter.Message{From: hub, Incarnation: "1", Sequence: 1, Known: time.Minute, Counts: counts}, now)
	}
	return s, now
}

// An instance that becomes a hub long after its start must not take the other hubs, which never
// answered it because it never asked, for silent ones, and use an equal share at once.
func TestNewHubHasNoShareBeforeTheOthersAnswer(t *testing.T) {
	c := qt.New(t)
	s := &limiter.State{Self: "a", Incarnation: "1"}
	now := testStart
	s.SetCustomers([]hemlocktally.Customer{{Name: "c", RatePerSecond: 100}}, now)
	others := []hemlocktally.Instance{{ID: "b", Incarnation: "1", PeerAddress: "b"}, {ID: "c", Incarnation: "1", PeerAddress: "c"}}
	s.SetHubs(append(slices.Clone(others), hemlocktally.Instance{ID: "gone", Incarnation: "1", PeerAddress: "gone"}), now)
	now = now.Add(time.Minute)
	s.SetHubs(others, now)
	s.SetHubs(append(slices.Clone(others), hemlocktally.Instance{ID: "a", Incarnation: "1"}), now)
	granted := 0
	for ; ; granted++ {
		if _, refused, _ := s.Take("c", true, now); refused != nil {
			break
		}
	}
	_, needed := s.Begin(true, now)
	c.Check(needed, qt.IsTrue)
	s.Finish(false, now)
	c.Check(s.Stats(now)[0].Share, qt.Equals, 0.0)
	c.Check(granted <= 10, qt.IsTrue, qt.Commentf("%d granted", granted))
	waitFor, silent := s.Others()
	c.Check(waitFor, qt.HasLen, 2)
	c.Check(silent, qt.HasLen, 0)
}

// Guards against a quota that goes to callers who come back after a refusal and are late then,
// while those of a first try are refused.
func TestLateCallsYieldToOthers(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := limiter.State{Self: "o", Incarnation: "1", Bounds: limiter.Bounds{Window: 5 * time.Second, Overshoot: 1.1, Slack: 20}}
	s.SetCustomers([]hemlocktally.Customer{{Name: "c", RatePerSecond: 20, Burst: 20}}, now)
	s.SetHubs([]hemlocktally.Instance{{ID: "o"}}, now)
	now = now.Add(time.Minute)
	for range 80 {
		c.Assert(s.Yield("c", now) == nil, qt.IsTrue)
		_, refused, _ := s.Take("c", true, now)
		c.Assert(refused == nil, qt.IsTrue)
	}
	for range 30 {
		_, refused, _ := s.Take("c", true, now)
		c.Assert(refused == nil, qt.IsTrue)
	}
	c.Assert(s.Yield("c", now) == nil, qt.IsFalse)
	_, refused, _ := s.Take("c", true, now)
	c.Check(refused == nil, qt.IsTrue)
	c.Check(s.Yield("unknown", now) == nil, qt.IsTrue)
	c.Check(s.Yield("c", now.Add(6*time.Second)) == nil, qt.IsTrue)
}
