package dialer

import "time"

// pool is the state of the links to one target. Its methods do no I/O and read no
// clock: they change the state and return what the caller must do. The caller
// synchronizes access.
type pool struct {
	total             int     // total counts all links: idle, in use and being opened.
	idle              []*link // idle is ordered by time of release, oldest first.
	waiters           []chan struct{}
	lastReceivedByAny time.Time // lastReceivedByAny is when a released link last received a byte.
}

// takeResult tells the caller of take to use a link, to dial, to wait, or that there
// are too many links. Exactly one of link, dial, wait and full is set.
type takeResult struct {
	link    *link
	dial    bool
	full    bool
	wait    chan struct{}
	toClose []*link // toClose lists removed links that the caller must close.
}

// take picks the idle link that was released last. Where there is none, a fresh one is
// asked for, or a proven one and that one is not, it has a new link dialed, in place of the
// oldest idle ones if the share is used up. A link is proven where it has received
// a byte within provenFor.
func (p *pool) take(proven, fresh bool, provenFor time.Duration, share int, now time.Time) takeResult {
	toClose := p.removeExpired(now)
	if n := len(p.idle); n > 0 && !fresh {
		l := p.idle[n-1]
		if !proven || now.Sub(l.lastReceived()) <= provenFor {
			p.idle = p.idle[:n-1]
			l.takenAt = now
			l.provenWhenTaken = now.Sub(l.lastReceived()) <= provenFor
			return takeResult{link: l, toClose: toClose}
		}
	}
	for p.total >= share && len(p.idle) > 0 {
		toClose = append(toClose, p.idle[0])
		p.idle = p.idle[1:]
		p.total--
	}
	if p.total < share {
		p.total++
		return takeResult{dial: true, toClose: toClose}
	}
	wait := make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return takeResult{wait: wait, toClose: toClose}
}

// removeExpired removes the idle links that were released last for as long as they have
// expired, so that the next one can be used. It returns them.
func (p *pool) removeExpired(now time.Time) []*link {
	var removed []*link
	for n := len(p.idle); n > 0 && p.idle[n-1].expired(now); n = len(p.idle) {
		removed = append(removed, p.idle[n-1])
		p.idle = p.idle[:n-1]
		p.total--
	}
	return removed
}

// put adds a reusable link to the idle ones. It returns the links above
// maxIdlePerTarget, which the caller must close.
func (p *pool) put(l *link) []*link {
	if l.lastReceived().After(p.lastReceivedByAny) {
		p.lastReceivedByAny = l.lastReceived()
	}
	p.idle = append(p.idle, l)
	p.wakeNext()
	if len(p.idle) <= maxIdlePerTarget {
		return nil
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.total--
	return []*link{oldest}
}

// releaseSlot uncounts a link that was in use or being opened and is gone.
func (p *pool) releaseSlot() {
	p.total--
	p.wakeNext()
}

// removeStale removes the idle links that are closed or have received nothing since
// the given time. It returns them for the caller to close.
func (p *pool) removeStale(since time.Time) []*link {
	kept := make([]*link, 0, len(p.idle))
	var removed []*link
	for _, l := range p.idle {
		if l.isClosed() || l.lastReceived().Before(since) {
			removed = append(removed, l)
		} else {
			kept = append(kept, l)
		}
	}
	p.idle = kept
	p.total -= len(removed)
	for range removed {
		p.wakeNext()
	}
	return removed
}

// wakeNext lets the longest-waiting request try again.
func (p *pool) wakeNext() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- struct{}{}
	p.waiters = p.waiters[1:]
}

// cancelWait removes a request that gave up. If it had already been woken, it wakes
// the next one instead.
func (p *pool) cancelWait(wait chan struct{}) {
	for i, waiter := range p.waiters {
		if waiter == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeNext()
}
