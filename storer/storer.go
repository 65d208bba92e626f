// Package storer is the client of the platform's key-value service. It counts
// every call and marks the answers of writes that were lost as unknown.
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
	"strconv"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// Client speaks to the platform's key-value service over HTTP. It implements
// hemlocktally.Store.
type Client struct {
	Base    string // Base is the URL of the service.
	Key     string // Key is sent as a bearer token where it is set.
	Timeout time.Duration
	HTTP    *http.Client

	calls atomic.Uint64
}

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

// Calls returns how many calls the client has made.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get returns one key.
func (c *Client) Get(ctx context.Context, key string) (hemlocktally.Entry, error) {
	var doc entryDocument
	if err := c.do(ctx, request{operation: "get", method: http.MethodGet, path: "/kv", key: key, query: url.Values{"Key": {key}}}, &doc); err != nil {
		return hemlocktally.Entry{}, err
	}
	return doc.entry(), nil
}

// List returns all keys below the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]hemlocktally.Entry, error) {
	var doc listDocument
	err := c.do(ctx, request{operation: "list", method: http.MethodGet, path: "/list", key: prefix, query: url.Values{"Prefix": {prefix}}}, &doc)
	return doc.entries(), err
}

// Swap writes the entry if the key still has the entry's version.
func (c *Client) Swap(ctx context.Context, entry hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	in := entryDocument{Key: entry.Key, Value: entry.Value, Version: uint64(entry.Version), Lease: entry.Lease}
	var out entryDocument
	err := c.do(ctx, request{operation: "swap", method: http.MethodPut, path: "/kv", key: entry.Key, body: in, write: true}, &out)
	return hemlocktally.StoreVersion(out.Version), err
}

// Delete removes the key if it still has the version.
func (c *Client) Delete(ctx context.Context, key string, version hemlocktally.StoreVersion) error {
	query := url.Values{"Key": {key}, "Version": {strconv.FormatUint(uint64(version), 10)}}
	return c.do(ctx, request{operation: "delete", method: http.MethodDelete, path: "/kv", key: key, query: query, write: true}, nil)
}

// Watch waits for a change below the prefix.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]hemlocktally.Entry, uint64, error) {
	query := url.Values{
		"Prefix":           {prefix},
		"After":            {strconv.FormatUint(after, 10)},
		"WaitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var doc listDocument
	err := c.do(ctx, request{operation: "watch", method: http.MethodGet, path: "/watch", key: prefix, query: query, extra: wait}, &doc)
	return doc.entries(), doc.Sequence, err
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (hemlocktally.Lease, error) {
	in := leaseDocument{TTLMilliseconds: ttl.Milliseconds()}
	var out leaseDocument
	if err := c.do(ctx, request{operation: "grant", method: http.MethodPost, path: "/lease", body: in, write: true}, &out); err != nil {
		return hemlocktally.Lease{}, err
	}
	return hemlocktally.Lease{ID: out.ID, TTL: ttl}, nil
}

// Renew makes the lease last its whole time again.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.do(ctx, request{operation: "renew", method: http.MethodPut, path: "/lease", key: lease, query: url.Values{"ID": {lease}}, write: true}, nil)
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.do(ctx, request{operation: "revoke", method: http.MethodDelete, path: "/lease", key: lease, query: url.Values{"ID": {lease}}, write: true}, nil)
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
}

func (c *Client) do(ctx context.Context, r request, out any) error {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+r.extra)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return &hemlocktally.StoreError{Operation: r.operation, Key: r.key, Unknown: r.write, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, r, out)
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
		return fail(fmt.Errorf("status %d", response.StatusCode), r.write && response.StatusCode >= http.StatusInternalServerError)
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
