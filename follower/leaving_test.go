package follower_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/platform"
)

// leave removes an entry with an event, as when its target has left.
func (d *directory) leave(key string) {
	d.lapse(key)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries = append(d.entries, hemlocktally.DirectoryEntry{
		Entry: hemlocktally.Entry{Key: key, Version: hemlocktally.StoreVersion(d.revision)}, Removed: true,
	})
}

// assertGone checks that the hub stops listing the target within the given time, also while its
// targets are needed all the time.
func (f *isolatedHub) assertGone(c *qt.C, within time.Duration) {
	c.Helper()
	left := time.Now()
	f.watch(4*time.Second, func() {
		gone := !slices.ContainsFunc(f.hub.FleetState().Targets["s"], func(r hemlocktally.Registration) bool { return r.Target.Name == "t" })
		c.Assert(gone || time.Since(left) < within, qt.IsTrue, qt.Commentf("listed %s after the store could be read again", time.Since(left)))
	})
}

// Guards against a hub that keeps a target which left while the hub could not reach the store, as
// if its entry had lapsed: the outage is too short for that, or the store answers others meanwhile.
func TestTargetThatLeavesDuringACutIsDropped(t *testing.T) {
	for _, cut := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		for name, cutOff := range cutOffs {
			t.Run(name+"/"+cut.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					f := startIsolatedHub(c, "a")
					defer f.stop()
					for i := range 4 { // With one of one missing, it may have lapsed.
						for _, store := range []*directory{f.hubStore, f.store} {
							putTarget(store, fmt.Sprint("other", i), "ready")
						}
					}
					f.watch(4*time.Second, func() {})
					cutOff(f.hubStore)
					f.watch(cut-100*time.Millisecond, func() {})
					f.hubStore.leave("servers/t")
					f.store.leave("servers/t")
					f.watch(100*time.Millisecond, func() {})
					f.hubStore.rejecting.Store(false)
					f.hubStore.unreachable.Store(false)
					f.assertGone(c, 1800*time.Millisecond)
				})
			})
		}
	}
}

// Guards against an instance that could not read the targets once, long ago, and lost the hub's role
// then: when it is the hub again, its first full read must drop the targets that left meanwhile.
func TestFailedReadOfLongAgoHoldsNoRemovals(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := follower.State{Interpreter: platform.Translator{}}
	entry := hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: "servers/t", Version: 1, Value: []byte(
		`{"service":"s","address":"10.0.0.1:1","zone":"a","slots":2,"state":"ready","born":1}`,
	)}}
	state.Update(follower.SnapshotMsg{Kind: hemlocktally.EntryTarget, Entries: []hemlocktally.DirectoryEntry{entry}, Revision: 1}, now)
	state.Update(follower.ReadFailedMsg{Kind: hemlocktally.EntryTarget}, now.Add(time.Second))
	state.Update(follower.FeedStoppedMsg{Kind: hemlocktally.EntryTarget}, now.Add(4*time.Second))
	c.Assert(state.FleetState().Targets["s"], qt.HasLen, 1)
	state.Update(follower.SnapshotMsg{Kind: hemlocktally.EntryTarget, Revision: 9}, now.Add(time.Minute))
	c.Assert(state.FleetState().Targets["s"], qt.HasLen, 0)
}

// Guards against entries that lapsed in an outage and are dropped before their targets had the time
// to write them again, and against removals that are held without a bound.
func TestLapsedEntriesAreHeldForAWhile(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := follower.State{Interpreter: platform.Translator{}}
	entry := hemlocktally.DirectoryEntry{Entry: hemlocktally.Entry{Key: "servers/t", Version: 1, Value: []byte(
		`{"service":"s","address":"10.0.0.1:1","zone":"a","slots":2,"state":"ready","born":1}`,
	)}}
	state.Update(follower.SnapshotMsg{Kind: hemlocktally.EntryTarget, Entries: []hemlocktally.DirectoryEntry{entry}, Revision: 1}, now)
	state.Update(follower.SnapshotMsg{Kind: hemlocktally.EntryTarget, Revision: 2, HoldRemovalsUntil: now.Add(2 * time.Second)}, now)
	state.Update(follower.TickMsg{}, now.Add(1900*time.Millisecond))
	c.Assert(state.FleetState().Targets["s"], qt.HasLen, 1)
	state.Update(follower.TickMsg{}, now.Add(2100*time.Millisecond))
	c.Assert(state.FleetState().Targets["s"], qt.HasLen, 0)
}
