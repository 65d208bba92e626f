package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hemlocktally"
	"hemlocktally/logger"
)

// entryDocument is the form of an entry on the wire.
type entryDocument struct {
	Key     string
	Value   []byte
	Version uint64
	Lease   string `json:",omitempty"`
}

type listDocument struct {
	Entries  []entryDocument
	Sequence uint64
}

type leaseDocument struct {
	ID              string
	TTLMilliseconds int64
}

type request struct {
	operation string
	method    string
	path      string
	key       string
	query     url.Values
	body      any
	write     bool
	extra     time.Duration // extra is added to the timeout.
	// idempotent calls may be repeated: reads and renewals.
	idempotent bool
}

// do sends the request within the budget. Idempotent calls are repeated with
// backoff and jitter while the context lasts; all others go out once.
func (c *Client) do(ctx context.Context, r request, out any) error {
	if !r.idempotent {
		return c.attempt(ctx, r, out)
	}
	var last error
	operation := func() (struct{}, error) {
		last = c.attempt(ctx, r, out)
		if last != nil && !isTransient(last) {
			return struct{}{}, backoff.Permanent(last)
		}
		return struct{}{}, last
	}
	_, _ = backoff.Retry(ctx, operation, backoff.WithBackOff(retryBackOff()), backoff.WithMaxTries(maxTries))
	return last
}

// attempt sends the request once, unless the budget or an outage forbids it.
func (c *Client) attempt(ctx context.Context, r request, out any) error {
	fail := func(cause error) error {
		c.counters.note(r.operation, outcomeWithheld)
		return &hemlocktally.StoreError{Operation: r.operation, Key: r.key, Cause: cause}
	}
	if err := c.outage.admit(time.Now(), r.extra == 0); err != nil {
		return fail(err)
	}
	if err := c.allowance.wait(ctx, r.write, c.timeout()); err != nil {
		c.outage.giveUp()
		return fail(err)
	}
	err := c.exchange(ctx, r, out)
	c.counters.note(r.operation, outcomeOf(err))
	c.observe(ctx, err)
	return err
}

func (c *Client) exchange(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+r.extra)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return &hemlocktally.StoreError{Operation: r.operation, Key: r.key, Unknown: r.write, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, r, out)
}

// observe tells the outage detection how a call ended. A call that its caller
// gave up says nothing of the service.
func (c *Client) observe(ctx context.Context, err error) {
	var failed *hemlocktally.StoreError
	switch {
	case !errors.As(err, &failed) || isAnswer(failed):
		if c.outage.succeeded() {
			c.Log.Log(logger.EventStoreBack, logger.Fields{"Store": c.Base})
		}
	case ctx.Err() != nil:
		c.outage.giveUp()
	default:
		if c.outage.failed(time.Now()) {
			c.Log.Log(logger.EventStoreDown, logger.Fields{"Store": c.Base, "Cause": err.Error()})
		}
	}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout <= 0 {
		return time.Second
	}
	return c.Timeout
}

func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	var body io.Reader
	if r.body != nil {
		encoded, err := json.Marshal(r.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.Base+r.path+"?"+r.query.Encode(), body)
	if err != nil {
		return nil, err
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(req)
}

// StatusError is an answer of the service that it never gives to a call that it
// carried out.
type StatusError struct {
	Status int
}

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// isAnswer reports whether a failure shows that the service works.
func isAnswer(failed *hemlocktally.StoreError) bool {
	var status *StatusError
	return errors.As(failed, &status) && status.Status < http.StatusInternalServerError
}

func readAnswer(response *http.Response, r request, out any) error {
	fail := func(cause error, unknown bool) error {
		return &hemlocktally.StoreError{Operation: r.operation, Key: r.key, Unknown: unknown, Cause: cause}
	}
	switch response.StatusCode {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := json.NewDecoder(response.Body).Decode(out); err != nil {
			return fail(err, r.write)
		}
		return nil
	case http.StatusNotFound:
		return &hemlocktally.AbsentError{Key: r.key}
	case http.StatusConflict:
		var present entryDocument
		if err := json.NewDecoder(response.Body).Decode(&present); err != nil {
			return fail(err, false)
		}
		return &hemlocktally.ConflictError{Present: present.entry()}
	default:
		return fail(&StatusError{Status: response.StatusCode}, r.write && response.StatusCode >= http.StatusInternalServerError)
	}
}

func (d entryDocument) entry() hemlocktally.Entry {
	return hemlocktally.Entry{Key: d.Key, Value: d.Value, Version: hemlocktally.StoreVersion(d.Version), Lease: d.Lease}
}

func (d listDocument) entries() []hemlocktally.Entry {
	list := make([]hemlocktally.Entry, 0, len(d.Entries))
	for _, e := range d.Entries {
		list = append(list, e.entry())
	}
	return list
}

// IsAbsent reports whether the error says that the key or lease does not exist.
func IsAbsent(err error) bool {
	var absent *hemlocktally.AbsentError
	return errors.As(err, &absent)
}
