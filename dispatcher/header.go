package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"hemlocktally"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHopByHop removes the headers that concern one connection only, and
// those that the Connection header names.
func stripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// outgoing makes the request to the target. Upgrades are not passed on: without
// the Upgrade header the request is an ordinary one.
func (a *attempt) outgoing(ctx context.Context) *http.Request {
	c := a.call
	from := c.request
	out := &http.Request{
		Method: from.Method, Host: from.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: a.outgoingURL(), Header: a.outgoingHeader(), Body: c.body.open(), ContentLength: c.body.length,
	}
	return out.WithContext(ctx)
}

// outgoingURL keeps the path as the caller wrote it, without encoding it anew.
func (a *attempt) outgoingURL() *url.URL {
	from := a.call.request
	out := &url.URL{
		Scheme: "http", Host: a.grant.Target.Address, Path: from.URL.Path, RawPath: from.URL.RawPath,
		RawQuery: from.URL.RawQuery, ForceQuery: from.URL.ForceQuery,
	}
	path, _, _ := strings.Cut(from.RequestURI, "?")
	if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		out.Opaque = path
	}
	return out
}

func (a *attempt) outgoingHeader() http.Header {
	c := a.call
	const own = 5
	header := make(http.Header, len(c.request.Header)+own)
	for name, values := range c.request.Header {
		header[name] = values
	}
	stripHopByHop(header)
	delete(header, "Expect")
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // An empty value keeps net/http from writing its own.
	}
	c.dispatcher.dialect().WriteAttempt(header, hemlocktally.AttemptHeader{
		Call: c.record.Call, Number: a.number, Depth: c.depth, Left: time.Until(c.deadline),
		Target: a.grant.Target.Name, Address: c.request.RemoteAddr,
	})
	return header
}

// appendForwardedFor adds the caller's IP. Only the last entry is the
// balancer's own word; what stands before it is the caller's.
func appendForwardedFor(header http.Header, remote string) {
	const name = "X-Forwarded-For"
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if before := strings.Join(header[name], ", "); before != "" {
		host = before + ", " + host
	}
	header[name] = []string{host}
}
