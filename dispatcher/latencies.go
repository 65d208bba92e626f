package dispatcher

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlocktally"
)

const (
	latencyWindows     = 5
	latencyWindowSpan  = time.Second
	latencyDigits      = 1 // latencyDigits is the precision; hedging needs no more.
	latencyHighest     = int64(2 * time.Minute / time.Microsecond)
	latencyRefresh     = 32 // latencyRefresh is the number of calls after which the quantile is renewed.
	latencyMinCalls    = 20
	slowQuantile       = 95
	patienceFactor     = 4
	patienceMin        = 100 * time.Millisecond
	patienceUnknown    = 250 * time.Millisecond
	patienceShareOfAll = 2 // patienceShareOfAll divides the time that is left to a call.
)

// latencies keeps the moving p95 of each contract.
type latencies struct {
	mu      sync.Mutex
	classes map[hemlocktally.ContractName]*latencyClass
}

type latencyClass struct {
	windows  *hdrhistogram.WindowedHistogram
	rotated  time.Time
	pending  int
	slow     time.Duration
	observed int64
}

// record adds the time of one answer.
func (l *latencies) record(name hemlocktally.ContractName, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.classes[name]
	if k == nil {
		if l.classes == nil {
			l.classes = map[hemlocktally.ContractName]*latencyClass{}
		}
		k = &latencyClass{windows: hdrhistogram.NewWindowed(latencyWindows, 1, latencyHighest, latencyDigits), rotated: now}
		l.classes[name] = k
	}
	k.rotate(now)
	_ = k.windows.Current.RecordValue(took.Microseconds())
	if k.pending++; k.pending >= latencyRefresh || k.observed < latencyMinCalls {
		k.refresh()
	}
}

func (k *latencyClass) rotate(now time.Time) {
	for n := 0; n < latencyWindows && now.Sub(k.rotated) >= latencyWindowSpan; n++ {
		k.windows.Rotate()
		k.rotated = k.rotated.Add(latencyWindowSpan)
		k.pending = latencyRefresh
	}
	if now.Sub(k.rotated) >= latencyWindowSpan {
		k.rotated = now
	}
}

func (k *latencyClass) refresh() {
	merged := k.windows.Merge()
	k.pending = 0
	k.observed = merged.TotalCount()
	k.slow = time.Duration(merged.ValueAtQuantile(slowQuantile)) * time.Microsecond
}

// slow returns the moving p95 of the contract's answers, where it is known.
func (l *latencies) slow(name hemlocktally.ContractName, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.classes[name]
	if k == nil {
		return 0, false
	}
	k.rotate(now)
	if k.pending >= latencyRefresh {
		k.refresh()
	}
	return k.slow, k.observed >= latencyMinCalls
}

// patience returns how long a link may bring nothing before it is looked at.
func (l *latencies) patience(name hemlocktally.ContractName, left time.Duration, now time.Time) time.Duration {
	bound := patienceUnknown
	if slow, ok := l.slow(name, now); ok {
		bound = max(patienceMin, patienceFactor*slow)
	}
	return max(time.Millisecond, min(bound, left/patienceShareOfAll))
}
