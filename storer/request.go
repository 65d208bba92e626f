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

// entryDocument is the JSON form of an entry.
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
	operation    string
	method       string
	path         string
	key          string
	query        url.Values
	body         any
	write        bool
	extraTimeout time.Duration // extraTimeout is added to the client's timeout. Requests with it are never probes.
	// idempotent marks calls that may be retried: reads and lease renewals.
	idempotent bool
}

// do sends the request within the rate limit. Idempotent requests are retried
// with backoff and jitter, up to maxTries attempts, until the context ends; all
// others are sent once.
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

// attempt sends the request once, unless the circuit breaker or the rate limit
// stops it.
func (c *Client) attempt(ctx context.Context, r request, out any) error {
	fail := func(cause error) error {
		c.counters.increment(r.operation, outcomeNotSent)
		return &hemlocktally.StoreError{Operation: r.operation, Key: r.key, Cause: cause}
	}
	if err := c.breaker.allow(time.Now(), r.extraTimeout == 0); err != nil {
		return fail(err)
	}
	if err := c.limiters.wait(ctx, r.write, c.timeout()); err != nil {
		c.breaker.cancelProbe()
		return fail(err)
	}
	err := c.roundTrip(ctx, r, out)
	c.counters.increment(r.operation, outcomeOf(err))
	c.updateBreaker(ctx, err)
	return err
}

func (c *Client) roundTrip(ctx context.Context, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+r.extraTimeout)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return &hemlocktally.StoreError{Operation: r.operation, Key: r.key, Unknown: r.write, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, r, out)
}

// updateBreaker records the result of a call in the circuit breaker. A call that
// its caller cancelled says nothing about the service.
func (c *Client) updateBreaker(ctx context.Context, err error) {
	var failed *hemlocktally.StoreError
	switch {
	case !errors.As(err, &failed) || provesAvailable(failed):
		if c.breaker.recordSuccess() {
			c.Log.Log(logger.EventStoreAvailable, logger.Fields{"Store": c.BaseURL})
		}
	case ctx.Err() != nil:
		c.breaker.cancelProbe()
	default:
		if c.breaker.recordFailure(time.Now()) {
			c.Log.Log(logger.EventStoreUnavailable, logger.Fields{"Store": c.BaseURL, "Cause": err.Error()})
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
	req, err := http.NewRequestWithContext(ctx, r.method, c.BaseURL+r.path+"?"+r.query.Encode(), body)
	if err != nil {
		return nil, err
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return httpClient.Do(req)
}

// StatusError is a response whose status is not one of 200, 404 and 409. The service
// never sends such a status for a call that it carried out.
type StatusError struct {
	Status int
}

// Error returns the status as text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// provesAvailable reports whether a failure shows that the service is up: any
// status below 500 does.
func provesAvailable(failed *hemlocktally.StoreError) bool {
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
		return &hemlocktally.NotFoundError{Key: r.key}
	case http.StatusConflict:
		var present entryDocument
		if err := json.NewDecoder(response.Body).Decode(&present); err != nil {
			return fail(err, false)
		}
		return &hemlocktally.ConflictError{Current: present.entry()}
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

// IsAbsent reports whether err is a *hemlocktally.NotFoundError: the key or lease
// does not exist.
func IsAbsent(err error) bool {
	var absent *hemlocktally.NotFoundError
	return errors.As(err, &absent)
}
