package follower

import (
	"sync"
	"time"
)

// followerSpan is how long a follower counts after its last question.
const followerSpan = 3 * time.Second

// followers counts who follows a hub. Its zero value works.
type followers struct {
	mu   sync.Mutex
	seen map[string]followerTimes
}

// followerTimes are when a follower asked first and last.
type followerTimes struct{ first, last time.Time }

// note counts the instance and returns how many were seen lately.
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
		if now.Sub(times.last) > followerSpan {
			delete(f.seen, name)
		}
	}
	return len(f.seen)
}

// followsFor is how long the instance has followed without a long pause.
func (f *followers) followsFor(instance string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	times, ok := f.seen[instance]
	if !ok {
		return 0
	}
	return now.Sub(times.first)
}
