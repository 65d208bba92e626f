package dispatcher

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hemlocktally"
)

const (
	latencyWindows        = 5
	latencyWindowSpan     = time.Second
	latencyDigits         = 1                                         // latencyDigits is the number of significant digits; hedging needs no more.
	maxLatencyMicros      = int64(2 * time.Minute / time.Microsecond) // maxLatencyMicros is the highest value that the histogram records.
	latencyRefreshCalls   = 32                                        // latencyRefreshCalls is the number of calls after which the p95 is recomputed.
	latencyMinCalls       = 20                                        // latencyMinCalls is the number of calls below which the p95 counts as unknown.
	latencyQuantile       = 95
	medianQuantile        = 50
	silenceTimeoutFactor  = 4 // silenceTimeoutFactor multiplies the p95.
	minSilenceTimeout     = 100 * time.Millisecond
	defaultSilenceTimeout = 250 * time.Millisecond // defaultSilenceTimeout applies while the p95 is unknown.
	silenceTimeoutDivisor = 2                      // silenceTimeoutDivisor divides the remaining time of a call into the longest timeout.
)

// latencies tracks the moving p95 latency of each contract over about the last
// five seconds. It is safe for concurrent use.
type latencies struct {
	mu        sync.Mutex
	contracts map[hemlocktally.ContractName]*contractLatency
}

type contractLatency struct {
	windows           *hdrhistogram.WindowedHistogram
	rotated           time.Time
	callsSinceRefresh int
	p95               time.Duration
	median            time.Duration
	count             int64
}

// record adds the latency of one response.
func (l *latencies) record(name hemlocktally.ContractName, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	contract := l.contracts[name]
	if contract == nil {
		if l.contracts == nil {
			l.contracts = map[hemlocktally.ContractName]*contractLatency{}
		}
		contract = &contractLatency{windows: hdrhistogram.NewWindowed(latencyWindows, 1, maxLatencyMicros, latencyDigits), rotated: now}
		l.contracts[name] = contract
	}
	contract.rotate(now)
	_ = contract.windows.Current.RecordValue(took.Microseconds())
	if contract.callsSinceRefresh++; contract.callsSinceRefresh >= latencyRefreshCalls || contract.count < latencyMinCalls {
		contract.refresh()
	}
}

func (c *contractLatency) rotate(now time.Time) {
	for n := 0; n < latencyWindows && now.Sub(c.rotated) >= latencyWindowSpan; n++ {
		c.windows.Rotate()
		c.rotated = c.rotated.Add(latencyWindowSpan)
		c.callsSinceRefresh = latencyRefreshCalls
	}
	if now.Sub(c.rotated) >= latencyWindowSpan {
		c.rotated = now
	}
}

func (c *contractLatency) refresh() {
	merged := c.windows.Merge()
	c.callsSinceRefresh = 0
	c.count = merged.TotalCount()
	c.p95 = time.Duration(merged.ValueAtQuantile(latencyQuantile)) * time.Microsecond
	c.median = time.Duration(merged.ValueAtQuantile(medianQuantile)) * time.Microsecond
}

// percentile95 returns the moving p95 latency of the contract; false if it is
// unknown.
func (l *latencies) percentile95(name hemlocktally.ContractName, now time.Time) (time.Duration, bool) {
	p95, _, known := l.quantiles(name, now)
	return p95, known
}

// median returns the moving median latency of the contract; false if it is unknown.
func (l *latencies) median(name hemlocktally.ContractName, now time.Time) (time.Duration, bool) {
	_, median, known := l.quantiles(name, now)
	return median, known
}

func (l *latencies) quantiles(name hemlocktally.ContractName, now time.Time) (p95, median time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	contract := l.contracts[name]
	if contract == nil {
		return 0, 0, false
	}
	contract.rotate(now)
	if contract.callsSinceRefresh >= latencyRefreshCalls {
		contract.refresh()
	}
	return contract.p95, contract.median, contract.count >= latencyMinCalls
}

// silenceTimeout returns how long a connection may receive nothing before it is
// checked, given the remaining time of the call.
func (l *latencies) silenceTimeout(name hemlocktally.ContractName, remaining time.Duration, now time.Time) time.Duration {
	timeout := defaultSilenceTimeout
	if p95, ok := l.percentile95(name, now); ok {
		timeout = max(minSilenceTimeout, silenceTimeoutFactor*p95)
	}
	return max(time.Millisecond, min(timeout, remaining/silenceTimeoutDivisor))
}
