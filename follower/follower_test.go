package follower_test

import (
	"context"
	"flag"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	goleak.VerifyTestMain(m)
}

// directory is a store in memory whose watches can be made to hear nothing.
type directory struct {
	mu       sync.Mutex
	entries  []hemlocktally.DirectoryEntry
	revision uint64
	muted    bool // muted lets a watch that waits miss every change.
}

func (d *directory) put(key, value string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries = append(d.entries, hemlocktally.DirectoryEntry{
		Entry: hemlocktally.Entry{Key: key, Value: []byte(value), Version: hemlocktally.StoreVersion(d.revision)},
	})
}

func (d *directory) since(prefix string, after uint64) []hemlocktally.DirectoryEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []hemlocktally.DirectoryEntry
	for _, e := range d.entries {
		if strings.HasPrefix(e.Key, prefix) && uint64(e.Version) > after {
			found = append(found, e)
		}
	}
	return found
}

func (d *directory) Snapshot(_ context.Context, prefix string, _ bool) (hemlocktally.Snapshot, error) {
	entries := d.since(prefix, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	return hemlocktally.Snapshot{Entries: entries, Revision: d.revision}, nil
}

func (d *directory) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (hemlocktally.Snapshot, error) {
	d.mu.Lock()
	muted := d.muted
	d.mu.Unlock()
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		if found := d.since(prefix, after); len(found) > 0 && !muted {
			return hemlocktally.Snapshot{Entries: found, Revision: d.revision}, nil
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return hemlocktally.Snapshot{Revision: d.revision}, ctx.Err()
}

func (d *directory) Swap(context.Context, hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	return 1, nil
}

func (d *directory) Grant(_ context.Context, ttl time.Duration) (hemlocktally.Lease, error) {
	return hemlocktally.Lease{ID: "1", TTL: ttl}, nil
}
func (d *directory) Renew(context.Context, string) error  { return nil }
func (d *directory) Revoke(context.Context, string) error { return nil }

const document = `{"version":"r%","resources":[{"resourceType":"routes","metadata":{"name":"a"},"spec":{"hostname":"h","prefix":"/a/","routeType":"safe","service":"s"}}]}`

func version(n string) string { return strings.ReplaceAll(document, "%", n) }

// A watch that waits while the store drops its history hears nothing of the
// changes made meanwhile, and its empty answer names a later revision.
func TestChangeMissedByAWatchIsSeenByTheNext(t *testing.T) {
	c := qt.New(t)
	d := &directory{muted: true}
	d.put("op/config", version("4"))
	f := &follower.Follower{Self: follower.Hub{ID: "i", Zone: "a", Weight: 1}, HTTP: http.DefaultClient, Directory: d, Interpreter: platform.Translator{}}
	f.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	await(t, f, 4)
	time.Sleep(400 * time.Millisecond) // The watch waits by now.
	d.put("op/config", version("8"))
	d.mu.Lock()
	d.muted = false
	d.mu.Unlock()
	await(t, f, 8)
	cancel()
	c.Assert(<-done, qt.IsNil)
}

func await(t *testing.T, f *follower.Follower, revision hemlocktally.Revision) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); f.Current().Revision != revision && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	qt.Assert(t, f.Current().Revision, qt.Equals, revision)
}
