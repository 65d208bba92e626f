// Package prober measures targets over HTTP. It decides nothing: owners ask for
// a probe where nothing recent is known, and keep the budget.
package prober

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"hemlocktally"
)

// Prober sends probes. Its zero value uses links of its own that are closed
// after each probe. It implements hemlocktally.Measurer.
type Prober struct {
	HTTP    *http.Client
	Timeout time.Duration // Timeout bounds a probe; zero means a second.
}

const (
	defaultTimeout = time.Second
	maxReportBytes = 4 << 10
)

// report is the document that a target may answer a probe with.
type report struct {
	InFlight *int
	State    string
}

// Measure asks the target for the path and times the whole answer.
func (p *Prober) Measure(ctx context.Context, target hemlocktally.Target, path string) hemlocktally.Measurement {
	timeout := p.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	measured := p.ask(ctx, "http://"+target.Address+path)
	measured.Latency = time.Since(started)
	return measured
}

func (p *Prober) ask(ctx context.Context, url string) hemlocktally.Measurement {
	failed := hemlocktally.Measurement{Failed: true}
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
	return read(body)
}

func read(body []byte) hemlocktally.Measurement {
	var found report
	if json.Unmarshal(body, &found) != nil || found.InFlight == nil {
		return hemlocktally.Measurement{}
	}
	return hemlocktally.Measurement{
		State: hemlocktally.TargetState(found.State), InFlight: *found.InFlight, Reported: true,
	}
}
