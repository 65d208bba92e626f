package experimenter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/imitator"
)

// BenchCounters count what the bench's callers saw.
type BenchCounters struct {
	Sent    atomic.Uint64
	Done    atomic.Uint64
	Late    atomic.Uint64 // Late counts whole answers above the bound of useful work.
	Refused atomic.Uint64 // Refused counts calls refused as not run.
	Unknown atomic.Uint64
	Wrong   atomic.Uint64 // Wrong counts answers to another request.
	Cut     atomic.Uint64 // Cut counts calls whose connection broke.
	Lost    atomic.Uint64 // Lost counts calls that were at a crashed instance.
}

// benchLoad sends a schedule of calls to a fleet, as the platform's balancer
// would: never to an instance that has crashed.
type benchLoad struct {
	fleet    *Fleet
	client   *http.Client
	times    *ClassTimes
	counters *BenchCounters
	mu       sync.Mutex
	notRun   []string // notRun holds the work that was refused as not run.
}

// usefulTime is the longest answer that counts as goodput.
const usefulTime = 250 * time.Millisecond

func newBenchLoad(fleet *Fleet, times *ClassTimes, counters *BenchCounters) *benchLoad {
	return &benchLoad{
		fleet: fleet, times: times, counters: counters,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// warm sends calls until targets and links are warm; they are not counted.
func (l *benchLoad) warm(ctx context.Context) {
	const rounds, perInstance = 60, 1
	for range rounds {
		var wg sync.WaitGroup
		for i := range l.fleet.Daemons {
			for range perInstance {
				wg.Go(func() { _, _, _ = l.request(ctx, Arrival{Class: ClassNormal, Instance: i}, "warm") })
			}
		}
		wg.Wait()
	}
}

// run sends the calls at their times, however long earlier ones take.
func (l *benchLoad) run(ctx context.Context, arrivals []Arrival) {
	defer l.client.CloseIdleConnections()
	started := time.Now()
	var calls sync.WaitGroup
	for n, a := range arrivals {
		if wait := time.Until(started.Add(a.At)); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		calls.Go(func() { l.call(ctx, a, n) })
	}
	calls.Wait()
}

func (l *benchLoad) call(ctx context.Context, a Arrival, n int) {
	for l.fleet.Crashed(a.Instance) {
		a.Instance = (a.Instance + 1) % len(l.fleet.Daemons)
	}
	work := fmt.Sprintf("%s-%d", a.Class, n)
	if a.Class == ClassWrite {
		work = NonIdempotentWork + work
	}
	l.counters.Sent.Add(1)
	started := time.Now()
	header, body, err := l.request(ctx, a, work)
	if err != nil && l.fleet.Crashed(a.Instance) {
		l.counters.Lost.Add(1)
		return
	}
	if err != nil {
		l.counters.Cut.Add(1)
		return
	}
	l.count(a, work, header, body, time.Since(started))
}

func (l *benchLoad) count(a Arrival, work string, header http.Header, body []byte, took time.Duration) {
	switch hemlocktally.Outcome(header.Get(hemlocktally.HeaderOutcome)) {
	case hemlocktally.OutcomeNotRun:
		l.counters.Refused.Add(1)
		l.mu.Lock()
		l.notRun = append(l.notRun, work)
		l.mu.Unlock()
		return
	case hemlocktally.OutcomeDone:
	default:
		l.counters.Unknown.Add(1)
		return
	}
	if !bytes.HasSuffix(body, []byte(" "+work+"\n"+work)) {
		l.counters.Wrong.Add(1)
		return
	}
	l.counters.Done.Add(1)
	if took > usefulTime {
		l.counters.Late.Add(1)
	}
	l.times.add(a.Class, took)
}

func (l *benchLoad) request(ctx context.Context, a Arrival, work string) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	method, path := http.MethodGet, "/catalogue/7"
	if a.Class == ClassWrite {
		method, path = http.MethodPost, "/holds/7"
	}
	address := l.fleet.Daemons[a.Instance].Self().CallerAddress
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(work))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(imitator.HeaderWork, work)
	if a.Class == ClassHigh {
		request.Header.Set("Authorization", "Bearer "+CounterKey)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.Header, body, err
}

// falseNotRun returns how much work ran although it was refused as not run.
func (l *benchLoad) falseNotRun() int {
	runs := map[string]int{}
	for _, target := range l.fleet.Targets {
		for work, n := range target.Works() {
			runs[work] += n
		}
	}
	wrong := 0
	for _, work := range l.notRun {
		if runs[work] > 0 {
			wrong++
		}
	}
	return wrong
}
