package dispatcher

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"hemlocktally"
)

// maxDepth bounds how many balanced calls may stand above one another.
const maxDepth = 16

// admit matches the call to a contract and reads its body.
func (c *call) admit() *hemlocktally.RefusedError {
	if !c.awaitConfiguration() {
		return comeBack(notRun(hemlocktally.ReasonStarting, "the instance has no configuration yet"))
	}
	caller := identify(c.config, c.request)
	c.record.Caller = caller.Name
	c.record.Tenant = caller.Tenant
	contract, ok := c.config.Find(lineOf(c.request, caller.Name))
	if !ok {
		return notRun(hemlocktally.ReasonNoContract, "no contract covers this request")
	}
	c.contract = contract
	c.contract.Service = c.dispatcher.splits.next(contract)
	c.record.Contract = contract.Name
	c.record.Service = c.contract.Service
	for _, check := range []func() *hemlocktally.RefusedError{c.readDepth, c.readDeadline, c.readKey, c.readBody} {
		if refused := check(); refused != nil {
			return refused
		}
	}
	return nil
}

// Idempotent reports whether a contract covers the request and lets it run more
// than once.
func (d *Dispatcher) Idempotent(r *http.Request) bool {
	config := d.Configuration.Current()
	caller := identify(config, r)
	contract, ok := config.Find(lineOf(r, caller.Name))
	return ok && !contract.NonIdempotent
}

func lineOf(r *http.Request, caller hemlocktally.CallerName) hemlocktally.RequestLine {
	return hemlocktally.RequestLine{Host: hostOnly(r.Host), Path: r.URL.Path, Method: r.Method, Caller: caller}
}

// identify finds the caller by its key. A header can't claim another name.
func identify(config *hemlocktally.Configuration, r *http.Request) hemlocktally.Caller {
	anonymous := hemlocktally.Caller{Name: hemlocktally.AnonymousCaller}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return anonymous
	}
	digest := sha256.Sum256([]byte(key))
	shown := []byte(hex.EncodeToString(digest[:]))
	for _, caller := range config.Callers {
		if subtle.ConstantTimeCompare(shown, []byte(caller.KeySHA256)) == 1 {
			return caller
		}
	}
	return anonymous
}

// readDepth takes over how many balanced calls stand above this one. A caller
// that writes the header itself only gives up retries.
func (c *call) readDepth() *hemlocktally.RefusedError {
	text, ok, refused := c.single(hemlocktally.HeaderDepth)
	if !ok {
		return refused
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 {
		return notRun(hemlocktally.ReasonBadRequest, fmt.Sprintf("%s is %q", hemlocktally.HeaderDepth, text))
	}
	if depth >= maxDepth {
		return notRun(hemlocktally.ReasonDepth, fmt.Sprintf("%d balanced calls stand above this one", depth))
	}
	c.depth = depth
	return nil
}

// readDeadline takes over the caller's deadline where it is the shorter one.
func (c *call) readDeadline() *hemlocktally.RefusedError {
	limit := c.contract.CallDeadline()
	if _, _, refused := c.single(hemlocktally.HeaderDeadline); refused != nil {
		return refused
	}
	left, ok, err := c.dispatcher.dialect().LeftOf(c.request.Header)
	switch {
	case err != nil:
		return notRun(hemlocktally.ReasonBadRequest, "the deadline can't be read: "+err.Error())
	case ok && left <= 0:
		return notRun(hemlocktally.ReasonDeadline, "the deadline has passed")
	case ok:
		limit = min(limit, left)
	}
	c.deadline = c.started.Add(limit)
	return nil
}

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// readKey checks the caller's key of a non-idempotent call.
func (c *call) readKey() *hemlocktally.RefusedError {
	if c.dispatcher.Dialect != nil {
		return nil // A key is a header of hemlocktally's own interface.
	}
	key, ok, refused := c.single(hemlocktally.HeaderIdempotencyKey)
	if !ok {
		return refused
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return notRun(hemlocktally.ReasonBadRequest,
			fmt.Sprintf("%s must be 1 to %d visible ASCII characters", hemlocktally.HeaderIdempotencyKey, maxKeyBytes))
	}
	c.key = key
	return nil
}

// single returns the value of a header that may stand only once.
func (c *call) single(name string) (string, bool, *hemlocktally.RefusedError) {
	values := c.request.Header[name]
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", false, notRun(hemlocktally.ReasonBadRequest, name+" stands more than once")
	}
}

func hostOnly(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}
