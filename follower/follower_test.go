package follower_test

import (
	"context"
	"errors"
	"flag"
	"net/http"
	"slices"
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

// directory is an in-memory store. Its calls can be made to fail or hang, and its watches
// to miss changes.
type directory struct {
	mu            sync.Mutex
	entries       []hemlocktally.DirectoryEntry
	revision      uint64
	failingPrefix string      // failingPrefix is the prefix whose calls fail.
	unreachable   atomic.Bool // unreachable makes calls hang until their context ends.
	rejecting     atomic.Bool // rejecting makes all calls fail at once.
	muted         bool        // muted makes a waiting watch miss every change.
}

func (d *directory) put(key, value string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries = append(d.entries, hemlocktally.DirectoryEntry{
		Entry: hemlocktally.Entry{Key: key, Value: []byte(value), Version: hemlocktally.StoreVersion(d.revision)},
	})
}

// lapse removes an entry without an event.
func (d *directory) lapse(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = slices.DeleteFunc(d.entries, func(e hemlocktally.DirectoryEntry) bool { return e.Key == key })
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

// fail makes the calls for a prefix fail, or ends that.
func (d *directory) fail(prefix string, fail bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failingPrefix = ""
	if fail {
		d.failingPrefix = prefix
	}
}

func (d *directory) fails(prefix string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rejecting.Load() || (prefix != "" && d.failingPrefix == prefix) {
		return errors.New("the store does not answer")
	}
	return nil
}

// hang blocks until the context ends while the store is unreachable.
func (d *directory) hang(ctx context.Context) error {
	if !d.unreachable.Load() {
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

func (d *directory) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (hemlocktally.Snapshot, error) {
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

func (d *directory) CompareAndSwap(context.Context, hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	return 1, d.fails("")
}

func (d *directory) Grant(_ context.Context, ttl time.Duration) (hemlocktally.Lease, error) {
	return hemlocktally.Lease{ID: "1", TTL: ttl}, d.fails("")
}

func (d *directory) Renew(ctx context.Context, _ string) error {
	return errors.Join(d.hang(ctx), d.fails(""))
}
func (d *directory) Revoke(context.Context, string) error { return nil }

const document = `{"version":"r%","resources":[{"resourceType":"routes","metadata":{"name":"a"},"spec":{"hostname":"h","prefix":"/a/","routeType":"safe","service":"s"}}]}`

func version(n string) string { return strings.ReplaceAll(document, "%", n) }

// A watch that waits while the store drops its history misses the changes made meanwhile,
// and its empty answer reports a later revision. The next watch must still return them.
func TestChangeMissedByWatchIsSeenByNext(t *testing.T) {
	c := qt.New(t)
	d := &directory{muted: true}
	d.put("op/config", version("4"))
	f := &follower.Follower{Self: follower.Hub{ID: "i", Zone: "a", Weight: 1}, HTTP: http.DefaultClient, Directory: d, Interpreter: platform.Translator{}}
	f.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	awaitRevision(t, f, 4)
	time.Sleep(400 * time.Millisecond) // The watch is waiting by now.
	d.put("op/config", version("8"))
	d.mu.Lock()
	d.muted = false
	d.mu.Unlock()
	awaitRevision(t, f, 8)
	cancel()
	c.Assert(<-done, qt.IsNil)
}

func awaitRevision(t *testing.T, f *follower.Follower, revision hemlocktally.Revision) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); f.Current().Revision != revision && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	qt.Assert(t, f.Current().Revision, qt.Equals, revision)
}

// After an outage a hub renews its lease before it has read the missed changes. Until it
// has, it must not count as connected to the store, or its followers would follow it again.
func TestHubThatIsBehindIsDisconnected(t *testing.T) {
	c := qt.New(t)
	d := &directory{}
	d.put("op/config", version("4"))
	f := &follower.Follower{Self: follower.Hub{ID: "i", Zone: "a", Weight: 1}, HTTP: http.DefaultClient, Directory: d, Interpreter: platform.Translator{}}
	f.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	awaitRevision(t, f, 4)
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
	time.Sleep(3 * time.Second) // The waiting watch has ended by now; the lease is renewed throughout.
	c.Assert(age() > 2*time.Second, qt.IsTrue)
	d.fail("op/", false)
	time.Sleep(1500 * time.Millisecond)
	c.Assert(age() < time.Second, qt.IsTrue)
	cancel()
	c.Assert(<-done, qt.IsNil)
}

// A change of a large configuration reaches all followers of a hub at once. It must be
// compressed once, not for each follower.
func TestFollowersShareCompressedAnswer(t *testing.T) {
	c := qt.New(t)
	d := &directory{}
	d.put("op/config", version("4"))
	f := &follower.Follower{Self: follower.Hub{ID: "i", Zone: "a", Weight: 1}, HTTP: http.DefaultClient, Directory: d, Interpreter: platform.Translator{}}
	f.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	awaitRevision(t, f, 4)
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
