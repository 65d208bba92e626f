package balancer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
)

// A target announces in its responses that it is leaving, while its entry in the
// store still says that it is ready. It gets no request that is sent later than
// two seconds after that.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	leaving := f.upstreams[0]
	leaving.SetFaults(imitator.UpstreamFaults{Leaving: true})
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		for _, i := range f.instances {
			c.Check(f.call(i, http.MethodGet, "/read/x", fmt.Sprint(time.Now().UnixNano())).status, qt.Equals, http.StatusOK)
		}
	}
	before := leaving.Arrivals() // Zero if its response to a load probe announced it first.
	for range 12 {
		leaving.Beat(f.directory) // A newer entry of the same incarnation changes nothing.
		for _, i := range f.instances {
			c.Check(f.call(i, http.MethodGet, "/read/x", fmt.Sprint(time.Now().UnixNano())).status, qt.Equals, http.StatusOK)
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Check(leaving.Arrivals(), qt.Equals, before)
}

// All targets reject calls with a Retry-After. Until then, each gets at most two
// requests of an instance, and callers get a Retry-After too.
func TestRetryAfterOfAllTargetsIsRespected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a")
	for _, u := range f.upstreams {
		u.SetFaults(imitator.UpstreamFaults{StayAway: 3 * time.Second})
	}
	first := time.Now()
	for n := range 40 {
		got := f.call(f.instances[0], http.MethodPost, "/pay/x", fmt.Sprintf("pay-%d", n))
		c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		time.Sleep(20 * time.Millisecond)
	}
	c.Assert(time.Since(first) < 2900*time.Millisecond, qt.IsTrue)
	for _, u := range f.upstreams {
		c.Check(u.Arrivals() <= 2, qt.IsTrue, qt.Commentf("%s got %d requests", u.ID, u.Arrivals()))
	}
	c.Check(f.runs(), qt.HasLen, 0)
}

// Targets reset the connection when they are full. Idempotent calls are retried
// elsewhere. A non-idempotent call that is reset may have run, so it is never run
// again.
func TestTargetsThatResetWhenFull(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "b")
	for _, u := range f.upstreams {
		u.SetFaults(imitator.UpstreamFaults{ResetFull: true, Pace: 3})
	}
	var group sync.WaitGroup
	for worker := range 24 {
		group.Go(func() {
			for n := range 6 {
				got := f.call(f.instances[worker%2], http.MethodPost, "/pay/x", fmt.Sprintf("f-%d-%d", worker, n))
				if got.status == http.StatusServiceUnavailable {
					c.Check(f.runs()[fmt.Sprintf("f-%d-%d", worker, n)], qt.Equals, 0)
				}
			}
		})
	}
	group.Wait()
	for id, n := range f.runs() {
		c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
	}
}

// maxHeapGrowth returns the largest growth of the heap while f ran, in bytes.
func maxHeapGrowth(f func()) uint64 {
	read := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	before := read()
	var most atomic.Uint64
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			most.Store(max(most.Load(), read()))
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	f()
	close(done)
	group.Wait()
	return max(before, most.Load()) - before
}

// Targets send an endless header, an endless body, or endless bytes without a
// header. The call ends by its deadline at the latest, never as a complete
// response, and the bytes don't accumulate in memory. The test isn't parallel
// because it measures the heap of the whole program.
func TestBytesWithoutEnd(t *testing.T) {
	const maxGrowth = 48 << 20 // Loopback delivers gigabytes in 2 s.
	for name, bytes := range map[string]imitator.UpstreamBytes{
		"head": imitator.BytesEndlessHead, "body": imitator.BytesEndlessBody, "no head": imitator.BytesHeadless,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(t, "a")
			for _, u := range f.upstreams {
				u.SetFaults(imitator.UpstreamFaults{Bytes: bytes})
			}
			growth := maxHeapGrowth(func() {
				for n, method := range []string{http.MethodPost, http.MethodGet} {
					path := map[string]string{http.MethodPost: "/pay/x", http.MethodGet: "/read/x"}[method]
					started := time.Now()
					whole, status := f.callDiscarding(f.instances[0], method, path, fmt.Sprintf("e-%d", n))
					c.Check(whole && status == http.StatusOK, qt.IsFalse)
					c.Check(status, qt.Not(qt.Equals), http.StatusServiceUnavailable, qt.Commentf("503 says that the call did not run, but it may have run"))
					c.Check(time.Since(started) < 4*time.Second, qt.IsTrue)
				}
			})
			c.Check(growth < maxGrowth, qt.IsTrue, qt.Commentf("%d MiB", growth>>20))
			for _, u := range f.upstreams {
				u.SetFaults(imitator.UpstreamFaults{})
			}
			time.Sleep(300 * time.Millisecond)
			got := f.call(f.instances[0], http.MethodPost, "/pay/x", "after")
			c.Check(got.status, qt.Equals, http.StatusOK)
			c.Check(got.body, qt.Contains, "answers after: after")
		})
	}
}

// callDiscarding makes a call, discards the body, and reports whether the response
// looked complete.
func (f *fleet) callDiscarding(i *instance, method, path, id string) (whole bool, status int) {
	request, err := http.NewRequest(method, "http://"+i.settings.Listen.Callers+path, http.NoBody)
	qt.Assert(f.t, err, qt.IsNil)
	imitator.SetCall(request, id, 2000)
	response, err := f.client.Do(request)
	if err != nil {
		return false, 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil, response.StatusCode
}

// Targets send each response a second time, late, when the connection is already
// in use for another request. No caller ever gets the response to another request.
func TestDuplicateResponsesReachNoCaller(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a")
	for _, u := range f.upstreams {
		u.SetFaults(imitator.UpstreamFaults{Bytes: imitator.BytesLateCopy})
	}
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for n := range 60 {
				id := fmt.Sprintf("c-%d-%d", worker, n)
				method, path := http.MethodGet, "/read/x"
				if n%3 == 0 {
					method, path = http.MethodPost, "/pay/x"
				}
				got := f.call(f.instances[0], method, path, id)
				c.Check(got.err, qt.IsNil)
				if got.status == http.StatusOK {
					c.Check(strings.HasSuffix(got.body, "answers "+id+": "+id), qt.IsTrue, qt.Commentf("%s got %q", id, got.body))
				}
			}
		})
	}
	group.Wait()
	for id, n := range f.runs() {
		if f.isNonIdempotent(id) {
			c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
		}
	}
}

func (f *fleet) isNonIdempotent(id string) bool {
	var worker, n int
	_, err := fmt.Sscanf(id, "c-%d-%d", &worker, &n)
	return err == nil && n%3 == 0
}

// Callers pipeline requests while the instance stops as planned. Every request that
// ran gets its own response, in order.
func TestPipelinedRequestsDuringPlannedStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "a")
	stopping := f.instances[0]
	time.AfterFunc(300*time.Millisecond, stopping.stop)
	served := map[string]bool{}
	for conn := 0; ; conn++ {
		rawConn, err := net.Dial("tcp", stopping.settings.Listen.Callers)
		if err != nil {
			break
		}
		c.Assert(rawConn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		reader, closing := bufio.NewReader(rawConn), false
		for burst := 0; !closing; burst++ {
			var sent []string
			var requests strings.Builder
			for n := range 4 {
				id := fmt.Sprintf("p-%d-%d-%d", conn, burst, n)
				sent = append(sent, id)
				fmt.Fprintf(&requests, "GET /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", id)
			}
			if _, err := io.WriteString(rawConn, requests.String()); err != nil {
				break
			}
			for _, id := range sent {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					closing = true
					break
				}
				body, err := io.ReadAll(response.Body)
				c.Check(err, qt.IsNil)
				c.Check(response.Body.Close(), qt.IsNil)
				c.Check(response.Header.Get("Request-Id"), qt.Equals, id)
				c.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
				served[id] = true
				if closing = response.Close; closing {
					break
				}
			}
		}
		c.Check(rawConn.Close(), qt.IsNil)
	}
	c.Check(len(served) > 20, qt.IsTrue)
	for id := range f.runs() {
		c.Check(served[id], qt.IsTrue, qt.Commentf("%s ran and got no response", id))
	}
}
