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

// A target that leaves says so in its answers; its entry still says that it is
// ready. It gets nothing that was sent later than two seconds after that.
func TestTargetThatSaysItLeavesIsLeft(t *testing.T) {
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
	before := leaving.Arrivals() // None, where its answer to a question about load said so first.
	for range 12 {
		leaving.Beat(f.directory) // A newer entry of the same life changes nothing.
		for _, i := range f.instances {
			c.Check(f.call(i, http.MethodGet, "/read/x", fmt.Sprint(time.Now().UnixNano())).status, qt.Equals, http.StatusOK)
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Check(leaving.Arrivals(), qt.Equals, before)
}

// All targets turn calls away and ask for time: each gets at most two requests of
// an instance meanwhile, and callers learn when to come back.
func TestServiceThatAsksForTimeGetsIt(t *testing.T) {
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
		c.Check(u.Arrivals() <= 2, qt.IsTrue, qt.Commentf("%s got %d", u.ID, u.Arrivals()))
	}
	c.Check(f.runs(), qt.HasLen, 0)
}

// Targets reset the connection when they are full. Idempotent work goes elsewhere;
// the other kind may have run, as far as anybody knows, and is never run again.
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

// heapWhile returns by how much the heap grew at most while the task ran.
func heapWhile(task func()) uint64 {
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
	task()
	close(done)
	group.Wait()
	return max(before, most.Load()) - before
}

// Bytes without end, in a head, in a body, or without a head at all: the call ends
// by its deadline at the latest, never as a whole answer, and the bytes don't
// gather in memory. Not parallel: it measures the heap of the whole program.
func TestBytesWithoutEnd(t *testing.T) {
	const mostHeap = 48 << 20 // In 2 s loopback brings gigabytes.
	for name, bytes := range map[string]imitator.UpstreamBytes{
		"head": imitator.BytesEndlessHead, "body": imitator.BytesEndlessBody, "no head": imitator.BytesHeadless,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(t, "a")
			for _, u := range f.upstreams {
				u.SetFaults(imitator.UpstreamFaults{Bytes: bytes})
			}
			grown := heapWhile(func() {
				for n, method := range []string{http.MethodPost, http.MethodGet} {
					path := map[string]string{http.MethodPost: "/pay/x", http.MethodGet: "/read/x"}[method]
					started := time.Now()
					whole, status := f.callDiscarding(f.instances[0], method, path, fmt.Sprintf("e-%d", n))
					c.Check(whole && status == http.StatusOK, qt.IsFalse)
					c.Check(status, qt.Not(qt.Equals), http.StatusServiceUnavailable, qt.Commentf("it may have run"))
					c.Check(time.Since(started) < 4*time.Second, qt.IsTrue)
				}
			})
			c.Check(grown < mostHeap, qt.IsTrue, qt.Commentf("%d MiB", grown>>20))
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

// callDiscarding makes a call without keeping the body, and reports whether the
// answer looked whole.
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

// A target sends each answer once more, late, on a connection that is in use
// again: no caller ever gets an answer that isn't its own.
func TestSecondCopiesOfAnswersReachNobody(t *testing.T) {
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
		if f.unrepeatable(id) {
			c.Check(n, qt.Equals, 1, qt.Commentf("%s", id))
		}
	}
}

func (f *fleet) unrepeatable(id string) bool {
	var worker, n int
	_, err := fmt.Sscanf(id, "c-%d-%d", &worker, &n)
	return err == nil && n%3 == 0
}

// Callers that pipeline, through a planned stop: what was passed on has its own
// answer, in order.
func TestPipelinedCallersThroughAPlannedStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startFleet(t, "a", "a")
	stopping := f.instances[0]
	time.AfterFunc(300*time.Millisecond, stopping.stop)
	served := map[string]bool{}
	for conn := 0; ; conn++ {
		raw, err := net.Dial("tcp", stopping.settings.Listen.Callers)
		if err != nil {
			break
		}
		c.Assert(raw.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		in, last := bufio.NewReader(raw), false
		for burst := 0; !last; burst++ {
			var ids []string
			var text strings.Builder
			for n := range 4 {
				id := fmt.Sprintf("p-%d-%d-%d", conn, burst, n)
				ids = append(ids, id)
				fmt.Fprintf(&text, "GET /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", id)
			}
			if _, err := io.WriteString(raw, text.String()); err != nil {
				break
			}
			for _, id := range ids {
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					last = true
					break
				}
				body, err := io.ReadAll(response.Body)
				c.Check(err, qt.IsNil)
				c.Check(response.Body.Close(), qt.IsNil)
				c.Check(response.Header.Get("Request-Id"), qt.Equals, id)
				c.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
				served[id] = true
				if last = response.Close; last {
					break
				}
			}
		}
		c.Check(raw.Close(), qt.IsNil)
	}
	c.Check(len(served) > 20, qt.IsTrue)
	for id := range f.runs() {
		c.Check(served[id], qt.IsTrue, qt.Commentf("%s ran and was not answered", id))
	}
}
