// Package storer is the client of the platform's key-value service. It counts
// every call, keeps to the instance's share of the fleet's budget, repeats
// idempotent calls with backoff, and marks the answers of writes that were lost
// as unknown: such a write is settled by reading back, never by repeating it.
// While the service looks down, one probe at a time goes out and all other
// calls fail at once.
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

// Client speaks to the platform's key-value service over HTTP. It implements
// hemlocktally.Store.
type Client struct {
	Base    string // Base is the URL of the service.
	Key     string // Key is sent as a bearer token where it is set.
	Timeout time.Duration
	HTTP    *http.Client
	Budget  Budget // Budget bounds the calls of the whole fleet.
	Log     logger.Logger

	counters  counters
	outage    outage
	allowance allowance
}

// Calls returns how many calls the client has sent.
func (c *Client) Calls() uint64 {
	sum := uint64(0)
	for _, counter := range c.Counters() {
		sum += counter.Calls
	}
	return sum
}

// Counters returns the counts of each operation, ordered by name.
func (c *Client) Counters() []OperationCounter { return c.counters.list() }

// SetMembers tells the client how many instances share the budget.
func (c *Client) SetMembers(members int) { c.allowance.set(c.Budget, members) }

// Down reports whether the service looks down, and since when.
func (c *Client) Down() (since time.Time, down bool) { return c.outage.state() }

// Get returns one key.
func (c *Client) Get(ctx context.Context, key string) (hemlocktally.Entry, error) {
	var doc entryDocument
	if err := c.do(ctx, request{operation: "get", method: http.MethodGet, path: "/kv", key: key, query: url.Values{"Key": {key}}, idempotent: true}, &doc); err != nil {
		return hemlocktally.Entry{}, err
	}
	return doc.entry(), nil
}

// List returns all keys below the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]hemlocktally.Entry, error) {
	var doc listDocument
	err := c.do(ctx, request{operation: "list", method: http.MethodGet, path: "/list", key: prefix, query: url.Values{"Prefix": {prefix}}, idempotent: true}, &doc)
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
	return c.do(ctx, request{operation: "renew", method: http.MethodPut, path: "/lease", key: lease, query: url.Values{"ID": {lease}}, write: true, idempotent: true}, nil)
}

// Revoke ends a lease and removes its keys.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.do(ctx, request{operation: "revoke", method: http.MethodDelete, path: "/lease", key: lease, query: url.Values{"ID": {lease}}, write: true}, nil)
}
