package follower_test

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/messenger"
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
	failing  string      // failing is a prefix whose calls fail.
	cut      atomic.Bool // cut lets no call return before its time is over.
	muted    bool        // muted lets a watch that waits miss every change.
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

// fail lets the calls of a prefix fail, or no longer.
func (d *directory) fail(prefix string, fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = ""
	if fail {
		d.failing = prefix
	}
}

func (d *directory) fails(prefix string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing == prefix {
		return errors.New("the store does not answer")
	}
	return nil
}

// hang waits for the end of the call's time while the store is cut off.
func (d *directory) hang(ctx context.Context) error {
	if !d.cut.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (d *directory) Snapshot(ctx context.Context, prefix string, _ bool) (hemlocktally.Snapshot, error) {
	if err := errors.Join(d.hang(ctx), d.fails(prefix)); err != nil {
		return hemlocktally.Snapshot{}, err
	}
	entries := d.since(prefix, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	return hemlocktally.Snapshot{Entries: entries, Revision: d.revision}, nil
}

func (d *directory) Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (hemlocktally.Snapshot, error) {
	if err := d.fails(prefix); err != nil {
		return hemlocktally.Snapshot{}, err
	}
	d.mu.Lock()
	muted := d.muted
	d.mu.Unlock()
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		if found := d.since(prefix, after); len(found) > 0 && !muted {
			return hemlocktally.Snapshot{Entries: found, Revision: d.revision}, nil
		}
		if err := d.hang(ctx); err != nil {
			return hemlocktally.Snapshot{}, err
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
func (d *directory) Renew(ctx context.Context, _ string) error { return d.hang(ctx) }
func (d *directory) Revoke(context.Context, string) error      { return nil }

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

// After an outage a hub renews its lease before it has read what it missed; until
// then it must not speak for the store, or its followers would go back.
func TestHubThatIsBehindIsNotInTouch(t *testing.T) {
	c := qt.New(t)
	d := &directory{}
	d.put("op/config", version("4"))
	f := &follower.Follower{Self: follower.Hub{ID: "i", Zone: "a", Weight: 1}, HTTP: http.DefaultClient, Directory: d, Interpreter: platform.Translator{}}
	f.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	await(t, f, 4)
	age := func() time.Duration {
		out, err := f.Sync(ctx, &messenger.SyncRequest{Instance: "j"})
		c.Assert(err, qt.IsNil)
		return time.Duration(out.GetStoreAgeMicroseconds()) * time.Microsecond
	}
	for end := time.Now().Add(5 * time.Second); len(f.View().Members) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(age() < time.Second, qt.IsTrue)
	d.fail("op/", true)
	time.Sleep(3 * time.Second) // The watch that waits has ended by now; leases are renewed all the while.
	c.Assert(age() > 2*time.Second, qt.IsTrue)
	d.fail("op/", false)
	time.Sleep(1500 * time.Millisecond)
	c.Assert(age() < time.Second, qt.IsTrue)
	cancel()
	c.Assert(<-done, qt.IsNil)
}

// A change of a large configuration reaches all followers of a hub at once; it is
// compressed once and not for each of them.
func TestFollowersShareOneCompressedAnswer(t *testing.T) {
	c := qt.New(t)
	d := &directory{}
	d.put("op/config", version("4"))
	f := &follower.Follower{Self: follower.Hub{ID: "i", Zone: "a", Weight: 1}, HTTP: http.DefaultClient, Directory: d, Interpreter: platform.Translator{}}
	f.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	await(t, f, 4)
	for end := time.Now().Add(5 * time.Second); len(f.View().Members) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	first, err := f.Sync(ctx, &messenger.SyncRequest{Instance: "j"})
	c.Assert(err, qt.IsNil)
	second, err := f.Sync(ctx, &messenger.SyncRequest{Instance: "k"})
	c.Assert(err, qt.IsNil)
	c.Assert(len(first.GetEntriesGzip()) > 0, qt.IsTrue)
	c.Assert(&first.GetEntriesGzip()[0] == &second.GetEntriesGzip()[0], qt.IsTrue)
	cancel()
	c.Assert(<-done, qt.IsNil)
}
