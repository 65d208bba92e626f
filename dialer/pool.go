package dialer

import "time"

// pool is the state of the links to one target. Its methods are pure steps: they
// change the state and return what the caller must do, and time is a value.
type pool struct {
	open    int     // open counts all links, idle, in use and being opened.
	idle    []*link // idle is ordered by the time of release, oldest first.
	waiting []chan struct{}
	heardAt time.Time // heardAt is when any link last brought an answer.
}

// choice is what a request for a link comes to: a link, a dial, or a wait.
type choice struct {
	link    *link
	dial    bool
	wait    chan struct{}
	dropped []*link // dropped links must be closed.
}

// take picks the link that was heard last. Where a proven one is asked for and
// there is none, a new one is opened, in place of the oldest if need be.
func (p *pool) take(proven bool, provenFor time.Duration, share int, now time.Time) choice {
	if n := len(p.idle); n > 0 {
		l := p.idle[n-1]
		if !proven || now.Sub(l.heard()) <= provenFor {
			p.idle = p.idle[:n-1]
			l.taken = now
			l.provenAtTake = now.Sub(l.heard()) <= provenFor
			return choice{link: l}
		}
	}
	var dropped []*link
	for p.open >= share && len(p.idle) > 0 {
		dropped = append(dropped, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open < share {
		p.open++
		return choice{dial: true, dropped: dropped}
	}
	wait := make(chan struct{}, 1)
	p.waiting = append(p.waiting, wait)
	return choice{wait: wait, dropped: dropped}
}

// put takes back a link that can be used again and returns those that are over
// the bound of idle links.
func (p *pool) put(l *link) []*link {
	if l.heard().After(p.heardAt) {
		p.heardAt = l.heard()
	}
	p.idle = append(p.idle, l)
	p.wake()
	if len(p.idle) <= maxIdle {
		return nil
	}
	oldest := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	return []*link{oldest}
}

// lost notes that a link in use, or one that was being opened, is no more.
func (p *pool) lost() {
	p.open--
	p.wake()
}

// dropHeardBefore removes the idle links that are closed or brought nothing
// since the time.
func (p *pool) dropHeardBefore(since time.Time) []*link {
	kept := make([]*link, 0, len(p.idle))
	var dropped []*link
	for _, l := range p.idle {
		if l.dead() || l.heard().Before(since) {
			dropped = append(dropped, l)
		} else {
			kept = append(kept, l)
		}
	}
	p.idle = kept
	p.open -= len(dropped)
	for range dropped {
		p.wake()
	}
	return dropped
}

// wake lets the request that has waited longest try again.
func (p *pool) wake() {
	if len(p.waiting) == 0 {
		return
	}
	p.waiting[0] <- struct{}{}
	p.waiting = p.waiting[1:]
}

// forget removes a request that gave up. If it had been woken, the next one is.
func (p *pool) forget(wait chan struct{}) {
	for i, w := range p.waiting {
		if w == wait {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	p.wake()
}
