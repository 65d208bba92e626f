package follower

import (
	"context"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

// The store may serve some instances and not others. A hub that it does not serve keeps its
// key until the lease expires, and other instances go on asking it for targets. Such a hub
// asks the other hubs for their list, and lets a follower find out whether the store answers
// it. While the store answers nobody, the old list stays in use; if it answers others, the
// list is used no longer than one that can be read.

// storeCallsFail reports whether this hub's calls to the store fail or are overdue.
func (f *Follower) storeCallsFail() bool {
	if !f.isHub.Load() {
		return false
	}
	_, readable := f.TargetsFreshness()
	return f.renewalFails.Load() || (f.targetsNeeded() && !readable)
}

// Superseded reports whether this hub's target list is too old to be used by others, because
// it can't be read again while the store answers other instances.
func (f *Follower) Superseded() bool {
	at, readable := f.TargetsFreshness()
	return !readable && f.since(&f.followerServedAt) <= followerServedValidity && time.Since(at) > hemlocktally.MaxTargetListAge
}

// askOtherHubs requests the target list from the other hubs while this hub's own calls to
// the store fail.
func (f *Follower) askOtherHubs(ctx context.Context, inbox chan<- any) {
	t := &targetFeed{Follower: f, inbox: inbox}
	var failing, superseded bool
	var askedAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, directReadCheckInterval)
		before := failing
		failing = f.storeCallsFail()
		if failing && !before {
			f.published.signal() // A waiting follower is to find out whether the store answers it.
		}
		if failing && f.targetsNeeded() && time.Since(askedAt) >= listRequestInterval {
			askedAt = time.Now()
			t.requestList(ctx)
		}
		if now := f.Superseded(); now != superseded {
			superseded = now
			at, _ := f.TargetsFreshness()
			f.Log.Log(logger.EventTargetListSuperseded, logger.Fields{"Superseded": now, "Age": time.Since(at)})
		}
	}
}
