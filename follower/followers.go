package follower

import (
	"sync"
	"time"
)

// followerTimeout is how long a follower is counted after its last request.
const followerTimeout = 3 * time.Second

// followers counts the followers of a hub. Its zero value works.
type followers struct {
	mu   sync.Mutex
	seen map[string]followerTimes
}

// followerTimes holds the times of a follower's first and last request.
type followerTimes struct{ first, last time.Time }

// note records a request and returns the number of current followers.
func (f *followers) note(instance string, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = map[string]followerTimes{}
	}
	times := f.seen[instance]
	if times.first.IsZero() {
		times.first = now
	}
	times.last = now
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
