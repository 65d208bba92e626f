package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/imitator"
)

// startSimulatedTargets starts n simulated targets, and returns them and their
// addresses.
func startSimulatedTargets(t *testing.T, n int) ([]*imitator.Target, []*scriptedTarget) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	var targets []*imitator.Target
	var addresses []*scriptedTarget
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		target := &imitator.Target{Name: "same", Seed: uint64(i), Mean: 2 * time.Millisecond, Slots: 1, QueueLimit: 1}
		group.Go(func() { _ = target.Serve(ctx, listener) })
		targets = append(targets, target)
		addresses = append(addresses, &scriptedTarget{address: listener.Addr().String()})
	}
	return targets, addresses
}

func runsOf(targets []*imitator.Target, work string) int {
	n := 0
	for _, target := range targets {
		n += target.Runs(work)
	}
	return n
}

// Idempotent and non-idempotent calls run against targets whose faults change all
// the time. The outcome that callers get must be true, and a non-idempotent call
// must not run twice.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runRandomCalls(t, seed) })
	}
}

func runRandomCalls(t *testing.T, seed uint64) {
	t.Helper()
	c := qt.New(t)
	targets, addresses := startSimulatedTargets(t, 3)
	h := newHarness(t, hemlocktally.Contract{}, addresses...)
	once := hemlocktally.Contract{
		Name: "Once", Service: "svc", Match: hemlocktally.Match{PathPrefix: "/once"}, NonIdempotent: true, Deadline: 150 * time.Millisecond,
	}
	repeatable := hemlocktally.Contract{
		Name: "Often", Service: "svc", Hedge: true, Priority: hemlocktally.PriorityHigh, Deadline: 150 * time.Millisecond,
	}
	h.config.config.Contracts = []hemlocktally.Contract{once, repeatable}
	stop := make(chan struct{})
	var faults, calls sync.WaitGroup
	faults.Go(func() { changeFaults(targets, rand.New(rand.NewPCG(seed, 1)), stop) })
	counts := map[string]int{}
	var mu sync.Mutex
	for worker := range 16 {
		calls.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			random := rand.New(rand.NewPCG(seed, uint64(100+worker)))
			for n := range 20 {
				kind := []string{"once", "often"}[random.IntN(2)]
				work := fmt.Sprintf("%s-%d-%d", kind, worker, n)
				outcome, body := oneCall(client, h.url+"/"+kind, work, random.IntN(3) == 0)
				runs := runsOf(targets, work)
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
				if outcome == "Done" && body != "" {
					c.Check(body, qt.Equals, "POST /"+kind+" "+work+"\n"+work)
				}
				if outcome == "NotRun" {
					c.Check(runs, qt.Equals, 0, qt.Commentf(work))
				}
				if kind == "once" {
					c.Check(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", work, runs))
				}
			}
		})
	}
	calls.Wait()
	close(stop)
	faults.Wait()
	c.Check(h.Violations(), qt.Equals, uint64(0))
	c.Check(counts["Done"] > 0 && counts["Unknown"] > 0 && counts["NotRun"] > 0, qt.IsTrue, qt.Commentf("%v", counts))
}

// changeFaults sets random faults on random targets every 5 ms until stop is
// closed.
func changeFaults(targets []*imitator.Target, random *rand.Rand, stop chan struct{}) {
	choices := []imitator.TargetFaults{
		{}, {}, {LoseAnswer: true}, {BreakAnswer: true}, {SilentLinks: true}, {FailFast: true}, {Slow: 20}, {Cold: true},
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
			targets[random.IntN(len(targets))].SetFaults(choices[random.IntN(len(choices))])
		}
	}
}

// oneCall makes a call and returns its outcome and body; the body is empty unless
// the status is 200. An impatient caller cancels after 10 ms.
func oneCall(client *http.Client, url, work string, impatient bool) (outcome, body string) {
	timeout := 5 * time.Second
	if impatient {
		timeout = 10 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(work))
	if err != nil {
		return err.Error(), ""
	}
	request.Header.Set(imitator.HeaderWork, work)
	request.Header.Set(hemlocktally.HeaderIdempotencyKey, work)
	response, err := client.Do(request)
	if err != nil {
		return "Gone", ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "Broken", ""
	}
	if response.StatusCode != http.StatusOK {
		text = nil
	}
	return response.Header.Get(hemlocktally.HeaderOutcome), string(text)
}
