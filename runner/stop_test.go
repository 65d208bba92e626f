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
	ready atomic.Pointer[[]hemlocktally.Instance]
	next  atomic.Uint64
}

func (b *balancer) look(client *http.Client) {
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
	b.ready.Store(&ready)
}

func (b *balancer) pick() hemlocktally.Instance {
	ready := *b.ready.Load()
	return ready[b.next.Add(1)%uint64(len(ready))]
}

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
				if problem := hold(client, b.pick().CallerAddress, fmt.Sprintf("once-%d-%d", worker, n)); problem != "" {
					failed.Add(1)
					t.Log(problem)
					continue
				}
				done.Add(1)
			}
		})
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
