package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/imitator"
)

// balancer imitates the platform's balancer: it looks at /ready now and then,
// and goes on sending to an instance until it has seen that it is leaving.
type balancer struct {
	fleet *experimenter.Fleet
	seen  atomic.Pointer[readiness]
	next  atomic.Uint64
}

// readiness is what one look has shown.
type readiness struct {
	at    time.Time
	ready []hemlocktally.Instance
}

// leavingServes is how long a leaving instance of these tests still takes calls.
const leavingServes = 200 * time.Millisecond

// outdated reports whether the look is so old that an instance which was ready
// then may have stopped as planned: the platform's balancer looks in time.
func (r *readiness) outdated() bool { return time.Since(r.at) > leavingServes }

func (b *balancer) look(client *http.Client) {
	at := time.Now()
	var ready []hemlocktally.Instance
	for _, daemon := range b.fleet.Daemons {
		response, err := client.Get("http://" + daemon.Self().OperatorAddress + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, daemon.Self())
		}
	}
	b.seen.Store(&readiness{at: at, ready: ready})
}

// atWork is how many calls have to be done before the first stop.
const atWork = 100

// A planned stop under load cuts no call and turns none away.
func TestPlannedStopCutsNoCall(t *testing.T) {
	c := qt.New(t)
	fleet := startFleet(t)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	defer client.CloseIdleConnections()
	b := &balancer{fleet: fleet}
	b.look(client)
	stopped := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(50 * time.Millisecond):
				b.look(client)
			}
		}
	})
	var done, failed atomic.Uint64
	for worker := range 8 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
				}
				seen := b.seen.Load()
				instance := seen.ready[b.next.Add(1)%uint64(len(seen.ready))]
				if problem := hold(client, instance.CallerAddress, fmt.Sprintf("once-%d-%d", worker, n)); problem != "" {
					if seen.outdated() && strings.Contains(problem, "connection refused") {
						t.Log("the stand-in of the platform's balancer was late: ", problem)
						continue
					}
					failed.Add(1)
					t.Log(problem)
					continue
				}
				done.Add(1)
			}
		})
	}
	// What is to be stopped is a fleet at work: its targets are warm.
	for end := time.Now().Add(10 * time.Second); done.Load() < atWork && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	fleet.StopInstance(1)
	time.Sleep(500 * time.Millisecond)
	fleet.StopInstance(2)
	time.Sleep(500 * time.Millisecond)
	close(stopped)
	group.Wait()
	c.Check(failed.Load(), qt.Equals, uint64(0))
	c.Check(done.Load() > 100, qt.IsTrue)
	c.Check(fleet.Doubled(), qt.Equals, 0)
}

// hold makes one call and returns what went wrong with it.
func hold(client *http.Client, address, work string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/holds/1", strings.NewReader(work))
	if err != nil {
		return err.Error()
	}
	request.Header.Set(imitator.HeaderWork, work)
	request.Header.Set(hemlocktally.HeaderIdempotencyKey, work)
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Sprintf("%d %s %v", response.StatusCode, body, err)
	}
	return ""
}
