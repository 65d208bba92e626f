package dispatcher

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"hemlocktally"
)

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHopByHop removes the hop-by-hop headers and those that the Connection
// header lists.
func stripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// targetRequest builds the request to the target. Upgrades are not forwarded:
// without the Upgrade header the target sees an ordinary request.
func (a *attempt) targetRequest(ctx context.Context) *http.Request {
	c := a.call
	from := c.request
	out := &http.Request{
		Method: from.Method, Host: from.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: c.requestURL(a.grant.Target.Address), Header: a.targetHeader(), Body: c.body.open(), ContentLength: c.body.length,
	}
	return out.WithContext(ctx)
}

func (a *attempt) targetHeader() http.Header {
	c := a.call
	header := c.endToEndHeader()
	c.removeKey(header)
	c.dispatcher.dialect().WriteAttempt(header, hemlocktally.AttemptInfo{
		Call: c.record.Call, Number: a.number, Depth: c.depth, TimeLeft: time.Until(c.deadline),
		Target: a.grant.Target.Name, Address: c.request.RemoteAddr,
		KeysRequired: c.config.KeysRequired, Customer: c.customer.Name,
	})
	return header
}

// appendForwardedFor appends the caller's IP to X-Forwarded-For. Only the last
// entry is set by this instance and can be trusted; the others come from the
// caller.
func appendForwardedFor(header http.Header, remote string) {
	const name = "X-Forwarded-For"
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if previous := strings.Join(header[name], ", "); previous != "" {
		host = previous + ", " + host
	}
	header[name] = []string{host}
}
