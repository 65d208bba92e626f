package follower

import (
	"sync"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

// followerTimeout is how long a follower is counted after its last request.
const followerTimeout = 3 * time.Second

// followers counts the followers of a hub. Its zero value works.
type followers struct {
	mu   sync.Mutex
	seen map[string]followerTimes
}

// followerTimes holds the times of a follower's first and last request, and what the last one said.
type followerTimes struct {
	first, last time.Time
	address     string
	zone        string
	isolated    bool
}

// note records a request and returns the number of current followers.
func (f *followers) note(in *messenger.SyncRequest, now time.Time) int {
	instance := in.GetInstance()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = map[string]followerTimes{}
	}
	times := f.seen[instance]
	if times.first.IsZero() {
		times.first = now
	}
	times.last, times.address, times.zone, times.isolated = now, in.GetPeerAddress(), in.GetZone(), in.GetIsolated()
	f.seen[instance] = times
	for name, times := range f.seen {
		if now.Sub(times.last) > followerTimeout {
			delete(f.seen, name)
		}
	}
	return len(f.seen)
}

// followedFor is how long the instance has followed this hub without a gap of more than
// followerTimeout.
func (f *followers) followedFor(instance string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	times, ok := f.seen[instance]
	if !ok {
		return 0
	}
	return now.Sub(times.first)
}

// helpers returns some followers that reach the targets, at random.
func (f *followers) helpers(now time.Time) []hemlocktally.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []hemlocktally.Instance
	for id, times := range f.seen { // The order of a map is random.
		if times.isolated || times.address == "" || now.Sub(times.last) > followerTimeout {
			continue
		}
		list = append(list, hemlocktally.Instance{
			ID: hemlocktally.InstanceID(id), Zone: hemlocktally.ZoneName(times.zone), PeerAddress: times.address, State: hemlocktally.InstanceServing,
		})
		if len(list) == maxHelpers {
			break
		}
	}
	return list
}
