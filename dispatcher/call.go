package dispatcher

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlocktally"
)

// call is one caller's request on its way through the instance.
type call struct {
	dispatcher *Dispatcher
	config     *hemlocktally.Configuration
	writer     http.ResponseWriter
	request    *http.Request
	contract   hemlocktally.Contract
	body       []byte
	started    time.Time
	deadline   time.Time
	depth      int
	record     hemlocktally.CallRecord
	answered   bool // answered is set once a byte of an answer has gone to the caller.
	broken     bool // broken is set where an answer could not be passed on whole.
}

// maxDepth bounds how many balanced calls may stand above one another.
const maxDepth = 16

// admit matches the call to a contract and reads its body.
func (c *call) admit() *hemlocktally.RefusedError {
	caller := c.identify()
	c.record.Caller = caller.Name
	c.record.Tenant = caller.Tenant
	contract, ok := c.config.Find(hemlocktally.RequestLine{
		Host: hostOnly(c.request.Host), Path: c.request.URL.Path, Method: c.request.Method, Caller: caller.Name,
	})
	if !ok {
		return notRun(hemlocktally.ReasonNoContract, "no contract covers this request")
	}
	c.contract = contract
	c.record.Contract = contract.Name
	c.record.Service = contract.Service
	if refused := c.setDeadline(); refused != nil {
		return refused
	}
	return c.readBody()
}

// identify finds the caller by its key. A header can't claim another name.
func (c *call) identify() hemlocktally.Caller {
	anonymous := hemlocktally.Caller{Name: hemlocktally.AnonymousCaller}
	key, ok := strings.CutPrefix(c.request.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return anonymous
	}
	digest := sha256.Sum256([]byte(key))
	shown := []byte(hex.EncodeToString(digest[:]))
	for _, caller := range c.config.Callers {
		if subtle.ConstantTimeCompare(shown, []byte(caller.KeySHA256)) == 1 {
			return caller
		}
	}
	return anonymous
}

func (c *call) setDeadline() *hemlocktally.RefusedError {
	limit := c.contract.CallDeadline()
	if text := c.request.Header.Get(hemlocktally.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return notRun(hemlocktally.ReasonDeadline, fmt.Sprintf("%s is %q", hemlocktally.HeaderDeadline, text))
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.started.Add(limit)
	c.depth, _ = strconv.Atoi(c.request.Header.Get(hemlocktally.HeaderDepth))
	if c.depth < 0 || c.depth >= maxDepth {
		return notRun(hemlocktally.ReasonDepth, fmt.Sprintf("%d balanced calls stand above this one", c.depth))
	}
	return nil
}

func (c *call) readBody() *hemlocktally.RefusedError {
	if c.request.ContentLength > c.dispatcher.BodyLimit {
		return notRun(hemlocktally.ReasonTooLarge, fmt.Sprintf("the body is over %d bytes", c.dispatcher.BodyLimit))
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, c.dispatcher.BodyLimit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(hemlocktally.ReasonTooLarge, fmt.Sprintf("the body is over %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return notRun(hemlocktally.ReasonBadRequest, "the body could not be read: "+err.Error())
	}
	c.body = body
	return nil
}

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

// serve makes attempts until one brings an answer. The error says what is known
// of the call where none does.
func (c *call) serve(ctx context.Context) error {
	var tried []hemlocktally.TargetName
	var last error
	for n := 1; n <= maxAttempts; n++ {
		kind := hemlocktally.AttemptRetry
		if n == 1 {
			kind = hemlocktally.AttemptFirst
		}
		a := &attempt{call: c, number: n, kind: kind}
		last = a.run(ctx, tried)
		if last == nil || ctx.Err() != nil || c.answered || !c.mayRetry(last) {
			return last
		}
		if a.grant.Target.Name != "" {
			tried = append(tried, a.grant.Target.Name)
		}
	}
	return last
}

// mayRetry reports whether another attempt is safe: always where the first
// surely did not run, and for idempotent work.
func (c *call) mayRetry(err error) bool {
	refused := refusalOf(err)
	if refused.Reason != hemlocktally.ReasonTargetFailed && refused.Reason != hemlocktally.ReasonAnswerBroken {
		return false
	}
	return refused.Outcome == hemlocktally.OutcomeNotRun || !c.contract.NonIdempotent
}

func (c *call) refuse(refused *hemlocktally.RefusedError) {
	c.record.Outcome = refused.Outcome
	c.record.Reason = refused.Reason
	c.record.Detail = refused.Detail
	if c.answered {
		c.broken = true
		return
	}
	c.answered = true
	writeRefusal(c.writer, refused, hemlocktally.Refusal{
		Outcome: refused.Outcome, Reason: refused.Reason, Detail: refused.Detail,
		Instance: c.dispatcher.Self, Revision: c.config.Revision,
	}, c.record.Call)
	c.record.Status = statusOf(refused)
}

func (c *call) newBody() io.ReadCloser {
	if len(c.body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(c.body))
}

func notRun(reason hemlocktally.Reason, detail string) *hemlocktally.RefusedError {
	return &hemlocktally.RefusedError{Outcome: hemlocktally.OutcomeNotRun, Reason: reason, Detail: detail}
}

func hostOnly(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}
