// Package prober measures targets over HTTP. It doesn't schedule probes: the owner
// of a target requests one where it has no recent measurement, and enforces the
// probe budget.
package prober

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"hemlocktally"
)

// Prober probes targets. It implements hemlocktally.Prober. Each probe asks for
// its connection to be closed afterwards. The zero value is ready to use, with
// http.DefaultClient.
type Prober struct {
	HTTP    *http.Client
	Timeout time.Duration // Timeout limits a probe; zero means one second.
}

const (
	defaultTimeout = time.Second
	maxReportBytes = 4 << 10
)

// loadReport is the JSON document that a target may return for a probe.
type loadReport struct {
	InFlight *int
	State    string
}

// Probe sends a GET request for the path to the target and measures the time until
// the response is read. The measurement is failed where there is no response within
// the timeout or its status is 500 or above. It holds state and load where the
// response body is a load report.
func (p *Prober) Probe(ctx context.Context, target hemlocktally.Target, path string) hemlocktally.ProbeResult {
	timeout := p.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	measurement := p.probe(ctx, "http://"+target.Address+path)
	measurement.Latency = time.Since(start)
	return measurement
}

func (p *Prober) probe(ctx context.Context, url string) hemlocktally.ProbeResult {
	failed := hemlocktally.ProbeResult{Failed: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return failed
	}
	request.Close = true
	client := p.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return failed
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return failed
	}
	return parseReport(body)
}

func parseReport(body []byte) hemlocktally.ProbeResult {
	var document loadReport
	if json.Unmarshal(body, &document) != nil || document.InFlight == nil {
		return hemlocktally.ProbeResult{}
	}
	return hemlocktally.ProbeResult{
		State: hemlocktally.TargetState(document.State), InFlight: *document.InFlight, Reported: true,
	}
}
