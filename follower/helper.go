package follower

import (
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

const (
	// maxHelpers limits the helpers in one answer.
	maxHelpers = 8
	// helperRefresh is how old the list of helpers gets before new ones are asked for.
	helperRefresh = time.Second
)

// helperList holds the instances that a hub named as able to take calls over. Its zero value works.
type helperList struct {
	mu   sync.Mutex
	list []hemlocktally.Instance
	at   time.Time
}

func (h *helperList) set(list []hemlocktally.Instance, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list, h.at = list, now
}

// get returns the helpers that were named lately.
func (h *helperList) get(now time.Time) []hemlocktally.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.at) > followerTimeout {
		return nil
	}
	return h.list
}

func (h *helperList) outdated(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.at) > helperRefresh
}

// Helpers returns instances, apart from the hubs, that may take calls over from this one: a hub
// knows its followers, and names some to a follower that asks.
func (f *Follower) Helpers() []hemlocktally.Instance {
	if f.isHub.Load() {
		return f.followers.helpers(time.Now())
	}
	return f.helpers.get(time.Now())
}

func (f *Follower) isolated() bool { return f.Isolated != nil && f.Isolated() }

func wireHelpers(list []hemlocktally.Instance) []*messenger.Helper {
	var out []*messenger.Helper
	for _, i := range list {
		out = append(out, &messenger.Helper{Instance: string(i.ID), Zone: string(i.Zone), PeerAddress: i.PeerAddress})
	}
	return out
}

func helpersOf(in []*messenger.Helper) []hemlocktally.Instance {
	var list []hemlocktally.Instance
	for _, h := range in[:min(len(in), maxHelpers)] {
		list = append(list, hemlocktally.Instance{
			ID: hemlocktally.InstanceID(h.GetInstance()), Zone: hemlocktally.ZoneName(h.GetZone()), PeerAddress: h.GetPeerAddress(), State: hemlocktally.InstanceServing,
		})
	}
	return list
}
