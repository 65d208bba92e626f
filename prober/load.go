package prober

import (
	"context"
	"io"
	"net/http"
	"strings"

	"hemlocktally"
)

// LoadProber requests the load that targets report in their response headers.
type LoadProber struct {
	Dialect hemlocktally.HeaderCodec
	HTTP    *http.Client
}

// Load sends a GET request for the path to the target and returns what the response
// headers say. A target whose health check returns status 500 or above counts as
// draining. Elsewhere is also set where the response names another target.
func (p *LoadProber) Load(ctx context.Context, target hemlocktally.Target, path string) (hemlocktally.ResponseInfo, error) {
	url := "http://" + target.Address + "/" + strings.TrimPrefix(path, "/")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return hemlocktally.ResponseInfo{}, err
	}
	request.Header["User-Agent"] = []string{""} // An empty value stops net/http from sending its default.
	response, err := p.HTTP.Do(request)
	if err != nil {
		return hemlocktally.ResponseInfo{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxReportBytes)); err != nil {
		return hemlocktally.ResponseInfo{}, err
	}
	answer := p.Dialect.ReadResponse(response.StatusCode, response.Header)
	answer.Misdirected = answer.Misdirected || (answer.Target != "" && answer.Target != target.Name)
	answer.Draining = answer.Draining || response.StatusCode >= http.StatusInternalServerError
	return answer, nil
}
