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

// maxDepth bounds the nesting of balanced calls.
const maxDepth = 16

// admit identifies the caller, matches the call to a contract, and reads its
// headers and body. It returns an error for a call that must be refused.
func (c *call) admit() *hemlocktally.RefusedError {
	if !c.awaitConfiguration() {
		return withRetryAfter(notRunError(hemlocktally.ReasonStarting, "the instance has not received its configuration yet"))
	}
	if c.olderThanForwarder() {
		return notRunError(hemlocktally.ReasonStarting, "the instance that handed the call over has a newer configuration")
	}
	caller := identifyCaller(c.config, c.request)
	c.record.Caller = caller.Name
	c.record.Tenant = caller.Tenant
	contract, ok := c.config.Find(requestLine(c.request, caller.Name))
	if !ok {
		return notRunError(hemlocktally.ReasonNoContract, "no contract matches the request")
	}
	c.contract = contract
	if refused := c.identifyCustomer(); refused != nil {
		return refused
	}
	c.contract.Service = c.dispatcher.splitter.next(contract)
	c.record.Contract = contract.Name
	c.record.Service = c.contract.Service
	for _, check := range []func() *hemlocktally.RefusedError{c.readDepth, c.readDeadline, c.readIdempotencyKey, c.readBody} {
		if refused := check(); refused != nil {
			return refused
		}
	}
	return nil
}

// Idempotent reports whether the request matches a contract that allows it to run
// more than once.
func (d *Dispatcher) Idempotent(r *http.Request) bool {
	config := d.Configuration.Current()
	caller := identifyCaller(config, r)
	contract, ok := config.Find(requestLine(r, caller.Name))
	return ok && !contract.NonIdempotent
}

func requestLine(r *http.Request, caller hemlocktally.CallerName) hemlocktally.RequestAttributes {
	return hemlocktally.RequestAttributes{Host: stripPort(r.Host), Path: r.URL.Path, Method: r.Method, Caller: caller}
}

// identifyCaller finds the caller by the key in the Authorization header; without
// a known key the caller is anonymous. No other header can set the name.
func identifyCaller(config *hemlocktally.Configuration, r *http.Request) hemlocktally.Caller {
	anonymous := hemlocktally.Caller{Name: hemlocktally.AnonymousCaller}
	if len(config.Callers) == 0 {
		return anonymous
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return anonymous
	}
	digest := sha256.Sum256([]byte(key))
	digestHex := []byte(hex.EncodeToString(digest[:]))
	for _, caller := range config.Callers {
		if subtle.ConstantTimeCompare(digestHex, []byte(caller.KeySHA256)) == 1 {
			return caller
		}
	}
	return anonymous
}

// readDepth reads the nesting depth of the call. A caller that sets the header
// itself gains nothing; it only loses retries.
func (c *call) readDepth() *hemlocktally.RefusedError {
	text, ok, refused := c.singleHeader(hemlocktally.HeaderDepth)
	if !ok {
		return refused
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 {
		return notRunError(hemlocktally.ReasonBadRequest, fmt.Sprintf("header %s has the invalid value %q", hemlocktally.HeaderDepth, text))
	}
	if depth >= maxDepth {
		return notRunError(hemlocktally.ReasonDepth, fmt.Sprintf("the call is nested in %d other balanced calls", depth))
	}
	c.depth = depth
	return nil
}

// readDeadline sets the deadline of the call to the contract's or the caller's,
// whichever is earlier.
func (c *call) readDeadline() *hemlocktally.RefusedError {
	limit := c.contract.CallDeadline()
	if _, _, refused := c.singleHeader(hemlocktally.HeaderDeadline); refused != nil {
		return refused
	}
	remaining, ok, err := c.dispatcher.dialect().TimeLeft(c.request.Header)
	switch {
	case err != nil:
		return notRunError(hemlocktally.ReasonBadRequest, "the deadline header is invalid: "+err.Error())
	case ok && remaining <= 0:
		return notRunError(hemlocktally.ReasonDeadline, "the deadline has already passed")
	case ok:
		c.late = c.isLate(remaining)
		limit = min(limit, remaining)
	}
	c.deadline = c.started.Add(limit)
	return nil
}

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 255

// readIdempotencyKey reads and validates the Idempotency-Key header.
func (c *call) readIdempotencyKey() *hemlocktally.RefusedError {
	if c.dispatcher.Dialect != nil {
		return nil // Only hemlocktally's own header protocol has idempotency keys.
	}
	key, ok, refused := c.singleHeader(hemlocktally.HeaderIdempotencyKey)
	if !ok {
		return refused
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return notRunError(hemlocktally.ReasonBadRequest,
			fmt.Sprintf("%s must be 1 to %d visible ASCII characters", hemlocktally.HeaderIdempotencyKey, maxKeyBytes))
	}
	c.idempotencyKey = key
	return nil
}

// singleHeader returns the value of a header that may occur only once, and whether
// it is present. It returns an error if the header is repeated.
func (c *call) singleHeader(name string) (string, bool, *hemlocktally.RefusedError) {
	values := c.request.Header[name]
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", false, notRunError(hemlocktally.ReasonBadRequest, name+" occurs more than once")
	}
}

func stripPort(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}
