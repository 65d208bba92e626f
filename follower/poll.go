package follower

import (
	"sync"
	"time"
)

// In an outage the followers of a hub would all ask the store whether it answers
// them. Every call is priced, also one that is turned away, and hundreds of
// instances bring nothing that a few would not: a hub that is out of touch lets one
// follower poll at a time. The store may serve some instances and not others, and an
// operator's decision has to be in force on those in seconds; so once it has
// answered one of them, all may poll.
const (
	pollEvery   = 300 * time.Millisecond // pollEvery is the time between two polls that a hub asks for.
	servedKnown = 2 * time.Second        // servedKnown is how long all may poll after the store has answered one.
)

// polls staggers the polls of a hub's followers. Its zero value works.
type polls struct {
	mu   sync.Mutex
	last time.Time
}

func (p *polls) next(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) < pollEvery {
		return false
	}
	p.last = now
	return true
}

// storeAge is how long ago this instance last heard all that the store has to say.
func (f *Follower) storeAge() time.Duration {
	age := f.since(&f.heard)
	if f.behind.Load() {
		age = max(age, 2*inTouch)
	}
	return age
}

func (f *Follower) outOfTouch() bool { return f.storeAge() > inTouch }

// othersAreServed notes that the store answers a follower, and tells those that
// wait.
func (f *Follower) othersAreServed() {
	news := f.since(&f.othersServed) > pollEvery
	f.mark(&f.othersServed)
	if news {
		f.published.signal()
	}
}

// mayPoll reports whether the follower that is answered now may see for itself
// whether the store answers it.
func (f *Follower) mayPoll(now time.Time) bool {
	return f.since(&f.othersServed) <= servedKnown || f.polls.next(now)
}
