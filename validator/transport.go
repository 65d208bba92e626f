package validator

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Transport validates the responses of another transport. It is for HTTP/2, where net/http itself
// checks the framing, and Conn can't read the connection.
type Transport struct{ http.RoundTripper }

// RoundTrip sends one request. It returns a *hemlocktally.ResponseError for a malformed response.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

func checkHead(response *http.Response) error {
	if s := response.StatusCode; s < minStatus || s > maxStatus || s == statusSwitching {
		return malformed("status %03d", s)
	}
	for name, values := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("the field name %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return malformed("a control byte in the field %s", name)
			}
		}
	}
	return nil
}
