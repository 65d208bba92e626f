package prober

import (
	"context"
	"io"
	"net/http"
	"strings"

	"hemlocktally"
)

// LoadProber asks targets for the load that they report in their headers.
type LoadProber struct {
	Dialect hemlocktally.Dialect
	HTTP    *http.Client
}

// Load returns what the target says of itself. A target that answers its health
// check with an error says that it drains.
func (p *LoadProber) Load(ctx context.Context, target hemlocktally.Target, path string) (hemlocktally.AnswerHeader, error) {
	url := "http://" + target.Address + "/" + strings.TrimPrefix(path, "/")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return hemlocktally.AnswerHeader{}, err
	}
	request.Header["User-Agent"] = []string{""} // An empty value keeps net/http from writing its own.
	response, err := p.HTTP.Do(request)
	if err != nil {
		return hemlocktally.AnswerHeader{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxReportBytes)); err != nil {
		return hemlocktally.AnswerHeader{}, err
	}
	answer := p.Dialect.ReadAnswer(response.StatusCode, response.Header)
	answer.Elsewhere = answer.Elsewhere || (answer.Target != "" && answer.Target != target.Name)
	answer.Draining = answer.Draining || response.StatusCode >= http.StatusInternalServerError
	return answer, nil
}
