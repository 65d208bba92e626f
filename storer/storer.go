// Package storer is an HTTP client for the platform's key-value service. It
// counts every call, limits the call rate to this instance's share of the
// fleet's budget and retries idempotent calls with backoff. A write whose
// response is lost returns an error marked Unknown. Only Renew, which is
// idempotent, is retried after that; a lost Swap is resolved by Settle, which
// reads the key back. A circuit breaker admits one probe at a time while the
// service appears to be down, and all other calls fail immediately.
package storer

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// Client calls the platform's key-value service over HTTP. It implements
// hemlocktally.Store.
type Client struct {
	BaseURL string        // BaseURL is the base URL of the service.
	Token   string        // Token is sent as a bearer token; empty sends none.
	Timeout time.Duration // Timeout limits one attempt, in Watch added to its wait; zero or less means one second.
	HTTP    *http.Client  // HTTP sends the requests; nil means http.DefaultClient.
	Budget  Budget        // Budget limits the call rate of the whole fleet.
	Log     logger.Logger

	counters counters
	breaker  circuitBreaker
	limiters rateLimiters
}

// Calls returns the number of calls sent, retries included.
func (c *Client) Calls() uint64 {
	sum := uint64(0)
	for _, counter := range c.Counters() {
		sum += counter.Calls
	}
	return sum
}

// Counters returns the counters of each operation, sorted by operation name.
func (c *Client) Counters() []OperationCounter { return c.counters.list() }

// SetFleetSize sets the number of instances that share the budget. Calls are not
// rate limited before the first call of SetFleetSize.
func (c *Client) SetFleetSize(members int) { c.limiters.set(c.Budget, members) }

// Down reports whether the circuit breaker is open, and the time of the first
// failure of the latest run of failures.
func (c *Client) Down() (since time.Time, down bool) { return c.breaker.state() }

// Get returns the entry of a key, or a *hemlocktally.NotFoundError if the key does
// not exist.
func (c *Client) Get(ctx context.Context, key string) (hemlocktally.Entry, error) {
	var doc entryDocument
	if err := c.do(ctx, request{operation: "get", method: http.MethodGet, path: "/kv", key: key, query: url.Values{"Key": {key}}, idempotent: true}, &doc); err != nil {
		return hemlocktally.Entry{}, err
	}
	return doc.entry(), nil
}

// List returns all entries whose keys start with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]hemlocktally.Entry, error) {
	var doc listDocument
	err := c.do(ctx, request{operation: "list", method: http.MethodGet, path: "/list", key: prefix, query: url.Values{"Prefix": {prefix}}, idempotent: true}, &doc)
	return doc.entries(), err
}

// CompareAndSwap writes the entry if the key is still at entry.Version, and returns the new
// version. Otherwise it returns an *hemlocktally.ConflictError with the current
// entry.
func (c *Client) CompareAndSwap(ctx context.Context, entry hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	in := entryDocument{Key: entry.Key, Value: entry.Value, Version: uint64(entry.Version), Lease: entry.Lease}
	var out entryDocument
	err := c.do(ctx, request{operation: "swap", method: http.MethodPut, path: "/kv", key: entry.Key, body: in, write: true}, &out)
	return hemlocktally.StoreVersion(out.Version), err
}

// Delete removes the key if it is still at the given version.
func (c *Client) Delete(ctx context.Context, key string, version hemlocktally.StoreVersion) error {
	query := url.Values{"Key": {key}, "Version": {strconv.FormatUint(uint64(version), 10)}}
	return c.do(ctx, request{operation: "delete", method: http.MethodDelete, path: "/kv", key: key, query: query, write: true}, nil)
}

// Watch waits up to wait for a change to a key with the prefix after the store
// sequence after. It returns the entries and the sequence to continue from.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]hemlocktally.Entry, uint64, error) {
	query := url.Values{
		"Prefix":           {prefix},
		"After":            {strconv.FormatUint(after, 10)},
		"WaitMilliseconds": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var doc listDocument
	err := c.do(ctx, request{operation: "watch", method: http.MethodGet, path: "/watch", key: prefix, query: query, extraTimeout: wait}, &doc)
	return doc.entries(), doc.Sequence, err
}

// Grant creates a lease with the given TTL.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (hemlocktally.Lease, error) {
	in := leaseDocument{TTLMilliseconds: ttl.Milliseconds()}
	var out leaseDocument
	if err := c.do(ctx, request{operation: "grant", method: http.MethodPost, path: "/lease", body: in, write: true}, &out); err != nil {
		return hemlocktally.Lease{}, err
	}
	return hemlocktally.Lease{ID: out.ID, TTL: ttl}, nil
}

// Renew restarts the TTL of the lease.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.do(ctx, request{operation: "renew", method: http.MethodPut, path: "/lease", key: lease, query: url.Values{"ID": {lease}}, write: true, idempotent: true}, nil)
}

// Revoke ends the lease and removes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.do(ctx, request{operation: "revoke", method: http.MethodDelete, path: "/lease", key: lease, query: url.Values{"ID": {lease}}, write: true}, nil)
}
