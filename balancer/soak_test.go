package balancer_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/imitator"
	"hemlocktally/overloader"
)

var (
	soakSeeds = flag.String("soak.seeds", "1", "seeds of the soak, separated by commas; 0 is a random one")
	soakSpan  = flag.Duration("soak.for", 40*time.Second, "how long each seed runs")
	soakSize  = flag.Int("soak.instances", 6, "how many processes of the balancer run")
)

// regressionSeeds are seeds that failed once. Each is kept with a note on the fault.
var regressionSeeds = []uint64{}

// soak is one run from one seed.
type soak struct {
	t             *testing.T
	random        *rand.Rand
	directory     *imitator.Directory
	upstreams     []*imitator.Upstream
	targetProxies []*proxy
	processes     []*process
	version       atomic.Int64
	declared      string // declared is the operator's newest configuration.
	mu            sync.Mutex
	refused       map[string]bool // refused holds the calls that were reported as not run.
	problems      []string
	counts        map[int]int
	restarts      sync.WaitGroup
	limits        limitLedger
}

func (s *soak) problemf(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, values...))
}

// TestSoakOfProcesses runs real processes of the balancer, injects faults from the
// outside, and checks the guarantees by what callers and targets observe.
func TestSoakOfProcesses(t *testing.T) {
	seeds := slices.Clone(regressionSeeds)
	for _, text := range strings.Split(*soakSeeds, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		qt.Assert(t, err, qt.IsNil)
		if seed == 0 {
			seed = rand.Uint64()
		}
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &soak{
				t: t, random: rand.New(rand.NewPCG(seed, 3)), directory: &imitator.Directory{}, refused: map[string]bool{}, counts: map[int]int{},
			}
			s.run(*soakSpan)
			t.Logf("seed %d: responses by status %v", seed, s.counts)
			qt.Check(t, s.problems, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			qt.Check(t, s.counts[http.StatusOK] > 0, qt.IsTrue)
		})
	}
}

func (s *soak) run(span time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	s.assemble(ctx, &group)
	defer s.killAll()
	for end := time.Now().Add(20 * time.Second); !s.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("the processes did not become ready in time")
		}
	}
	calling, stopCalling := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for worker := range 8 {
		random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(worker)))
		callers.Go(func() { s.callLoop(calling, worker, random) })
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
	}
	stopCalling()
	callers.Wait()
	s.restarts.Wait()
	s.checkRuns()
}

func (s *soak) assemble(ctx context.Context, group *sync.WaitGroup) {
	t := s.t
	store := listen(t)
	group.Go(func() { _ = s.directory.Serve(ctx, store) })
	zones := []string{"a", "b", "c"}
	for i := range 9 {
		u := &imitator.Upstream{ID: fmt.Sprintf("i-%d", i), Service: "s", Zone: zones[i%3], Slots: 2, Queue: 4, Work: 20 * time.Millisecond}
		l := listen(t)
		targetProxy := newProxy(t, l.Addr().String())
		u.Registered = targetProxy.address()
		s.upstreams, s.targetProxies = append(s.upstreams, u), append(s.targetProxies, targetProxy)
		group.Go(func() { _ = u.Start(ctx, l, s.directory) })
	}
	s.version.Store(4)
	s.directory.Declare(document(4))
	for i := range *soakSize {
		ip := uniqueIP()
		p := &process{id: fmt.Sprintf("e-%d", i), zone: zones[i%3], callers: ip + ":8080", ready: ip + ":8081"}
		p.store = newProxy(t, store.Addr().String())
		p.settings = filepath.Join(t.TempDir(), p.id+".ini")
		text := fmt.Sprintf("[Instance]\nID = %s\nZone = %s\n[Listen]\nCallers = %s\nReady = %s\nPeers = %s\n[Platform]\nStore = %s\n[Bounds]\nRetryRatio = 0.2\nRetrySlack = 56\n[Machine]\nMemoryMB = 136\nDescriptors = 2870\n",
			p.id, p.zone, p.callers, p.ready, ip+":8082", p.store.address())
		qt.Assert(t, os.WriteFile(p.settings, []byte(text), 0o600), qt.IsNil)
		s.processes = append(s.processes, p)
		p.start(t)
	}
	group.Go(func() { s.runBackground(ctx) })
}

// runBackground renews the targets' entries and polls the readiness of the
// processes until the context ends.
func (s *soak) runBackground(ctx context.Context) {
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		if n%8 == 0 {
			for _, u := range s.upstreams {
				u.Beat(s.directory)
			}
		}
		for _, p := range s.processes {
			response, err := client.Get("http://" + p.ready + "/")
			p.isReady.Store(err == nil && response.StatusCode == http.StatusOK)
			if err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *soak) allReady() bool {
	return !slices.ContainsFunc(s.processes, func(p *process) bool { return !p.isReady.Load() })
}

func (s *soak) killAll() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
}

// injectFault starts one random fault; most end by themselves.
func (s *soak) injectFault() {
	p := s.processes[s.random.IntN(len(s.processes))]
	i := s.random.IntN(len(s.upstreams))
	span := time.Duration(300+s.random.IntN(1500)) * time.Millisecond
	after := func(f func()) { time.AfterFunc(span, f) }
	switch s.random.IntN(16) {
	case 0: // A planned stop; overlapping faults excuse its interrupted calls.
		s.restart(p, syscall.SIGTERM, 7*time.Second)
	case 1:
		p.disturb(span + 3*time.Second)
		s.restart(p, syscall.SIGKILL, span)
	case 2:
		p.disturb(span + 3*time.Second)
		p.signal(syscall.SIGSTOP)
		after(func() { p.signal(syscall.SIGCONT) })
	case 3:
		p.signal(syscall.SIGHUP)
	case 4:
		s.directory.SetFaults(imitator.DirectoryFaults{
			Busy: s.random.IntN(2) == 0, Deaf: s.random.IntN(2) == 0, LoseShare: float64(s.random.IntN(2)) / 2, Silent: s.random.IntN(4) == 0,
		})
		after(func() { s.directory.SetFaults(imitator.DirectoryFaults{}) })
	case 5:
		s.directory.DropHistory()
	case 6:
		p.store.setFaults(time.Duration(s.random.IntN(300))*time.Millisecond, s.random.IntN(2) == 0)
		after(func() { p.store.setFaults(0, false); p.store.reset() })
	case 7:
		s.targetProxies[i].setFaults(time.Duration(s.random.IntN(100))*time.Millisecond, s.random.IntN(3) == 0)
		after(func() { s.targetProxies[i].setFaults(0, false); s.targetProxies[i].reset() })
	case 8:
		u := s.upstreams[i]
		u.ChangeFaults(func(f *imitator.UpstreamFaults) {
			f.Pace, f.Shed = 1+6*s.random.Float64(), s.random.IntN(4) == 0
			f.LoseAnswer, f.Foreign = s.random.IntN(4) == 0, s.random.IntN(4) == 0
		})
		after(func() {
			u.ChangeFaults(func(f *imitator.UpstreamFaults) { *f = imitator.UpstreamFaults{Limit: f.Limit} })
		})
	case 9, 10:
		s.changeConfiguration()
	case 11:
		zone := []string{"a", "b", "c"}[s.random.IntN(3)]
		s.directory.StopZone(zone, true)
		after(func() { s.directory.StopZone(zone, false) })
	case 12:
		s.restoreStore(span)
	case 13, 14:
		s.limits.nameMost(s.upstreams, i, s.random)
	case 15:
		s.overload(p, span)
	}
}

// overload runs a few clients beyond the limits at the process, of a kind that never completes a
// request.
func (s *soak) overload(p *process, span time.Duration) {
	kinds := []overloader.Kind{overloader.KindEndlessHead, overloader.KindEndlessLine, overloader.KindIdle, overloader.KindSlowHeads}
	crowd := overloader.Crowd{Kind: kinds[s.random.IntN(len(kinds))], Address: p.callers, Host: "h", Path: "/read/x", Clients: 20, Opens: 10}
	s.restarts.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), span)
		defer cancel()
		crowd.Run(ctx)
	})
}

// restoreStore makes the store unavailable for a moment and restores it from a
// backup as old as the span. The operator writes its newest configuration again;
// targets write their entries again by themselves.
func (s *soak) restoreStore(span time.Duration) {
	const outage, rewriteDelay = 300 * time.Millisecond, 200 * time.Millisecond
	s.directory.TakeCopy()
	time.AfterFunc(span, func() {
		s.directory.SetFaults(imitator.DirectoryFaults{Silent: true})
		time.Sleep(outage)
		s.directory.Restore()
		s.directory.SetFaults(imitator.DirectoryFaults{})
		time.Sleep(rewriteDelay)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.declared != "" {
			s.directory.Declare(s.declared)
		}
	})
}

// changeConfiguration writes a new configuration with one more route.
func (s *soak) changeConfiguration() {
	next := s.version.Load() + 1 + int64(s.random.IntN(3))
	var routes []imitator.Route
	for v := int64(5); v <= next; v++ {
		routes = append(routes, imitator.Route{Name: fmt.Sprintf("v%d", v), Prefix: fmt.Sprintf("/v%d/", v), Repeatable: true})
	}
	s.mu.Lock()
	s.declared = document(int(next), routes...)
	s.directory.Declare(s.declared)
	s.mu.Unlock()
	s.version.Store(next)
}

// restart ends a process and starts it again.
func (s *soak) restart(p *process, sig syscall.Signal, killAfter time.Duration) {
	p.mu.Lock()
	if p.stopping {
		p.mu.Unlock()
		return
	}
	p.stopping = true
	command, ended := p.command, p.ended
	p.mu.Unlock()
	p.signal(sig)
	s.restarts.Go(func() {
		select {
		case <-ended:
		case <-time.After(killAfter):
		}
		_ = command.Process.Kill()
		<-ended
		time.Sleep(100 * time.Millisecond)
		p.start(s.t)
	})
}

// callLoop makes calls until the context ends. Every second worker reuses its
// connections.
func (s *soak) callLoop(ctx context.Context, worker int, random *rand.Rand) {
	transport := &http.Transport{DisableKeepAlives: worker%2 == 0}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	served := map[string]int64{} // served holds the newest version that each incarnation of an instance served.
	for n := 0; ctx.Err() == nil; n++ {
		p := s.processes[random.IntN(len(s.processes))]
		if !p.isReady.Load() {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%d-%d-%x", worker, n, random.Uint32())
		switch random.IntN(3) {
		case 0:
			s.callNewestRoute(client, p, id, served)
		case 1:
			s.callOnce(client, p, http.MethodGet, "/read/x", id, transport.DisableKeepAlives)
		default:
			s.callOnce(client, p, http.MethodPost, "/pay/x", id, transport.DisableKeepAlives)
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func (s *soak) send(client *http.Client, p *process, method, path, id string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+p.callers+path, strings.NewReader(id))
	if err != nil {
		return 0, "", err
	}
	imitator.SetCall(request, id, 2000)
	incarnation := p.incarnation()
	s.limits.recordSent(p, incarnation, id)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	upstream, _, _ := strings.Cut(string(body), " ")
	s.limits.recordResponse(response.Header, upstream, incarnation)
	s.mu.Lock()
	s.counts[response.StatusCode]++
	s.mu.Unlock()
	return response.StatusCode, string(body), err
}

// callOnce makes one call and checks its response.
func (s *soak) callOnce(client *http.Client, p *process, method, path, id string, fresh bool) {
	status, body, err := s.send(client, p, method, path, id)
	now := time.Now()
	switch {
	case err != nil && fresh && p.undisturbed(now) && p.undisturbed(now.Add(-3*time.Second)):
		s.problemf("%s: a call was interrupted: %v", p.id, err)
	case err != nil:
	case status == http.StatusOK && !strings.HasSuffix(body, "answers "+id+": "+id):
		s.problemf("%s: call %s got response %q", p.id, id, body)
	case status == http.StatusServiceUnavailable:
		s.mu.Lock()
		s.refused[id] = true
		s.mu.Unlock()
	case status == http.StatusNotFound:
		s.problemf("%s: 404 for a route that always existed", p.id)
	}
}

// callNewestRoute calls the newest route or one that the incarnation has served
// before: an incarnation must not forget a route that it served.
func (s *soak) callNewestRoute(client *http.Client, p *process, id string, served map[string]int64) {
	version := s.version.Load()
	if version < 5 {
		return
	}
	incarnation := p.incarnation()
	routeVersion := max(5, min(version, served[incarnation]))
	if served[incarnation] == 0 || id[len(id)-1]%2 == 0 {
		routeVersion = version
	}
	status, _, err := s.send(client, p, http.MethodGet, fmt.Sprintf("/v%d/x", routeVersion), id)
	same := incarnation == p.incarnation()
	switch {
	case err != nil || !same:
	case status == http.StatusNotFound && routeVersion <= served[incarnation]:
		s.problemf("%s forgot version %d, which it had served", incarnation, routeVersion)
	case status == http.StatusOK:
		served[incarnation] = max(served[incarnation], routeVersion)
	}
}

// checkRuns compares the responses that callers got with what targets ran.
func (s *soak) checkRuns() {
	time.Sleep(300 * time.Millisecond)
	s.limits.check(s.problemf)
	runs := map[string]int{}
	for _, u := range s.upstreams {
		for id, n := range u.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if s.refused[id] {
			s.problemf("call %s was reported as not run and ran %d times", id, n)
		}
	}
	total := map[string]int{}
	for _, u := range s.upstreams {
		for id, n := range u.UnrepeatableRuns() {
			if total[id] += n; total[id] > 1 {
				s.problemf("non-idempotent call %s ran %d times", id, total[id])
			}
		}
	}
}
