package allocator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// ExclusivityTracker decides whether this instance is the only owner of the
// services that its view assigns to it. It is the only one while every member of
// its view has confirmed the same view, each with a promise that holds for
// promiseDuration. Two rules exclude a second owner: a member that has made a
// promise to an owner confirms no view without that owner until the promise has
// expired; and an owner becomes exclusive only after promises that it may not
// know of have expired. All times are of the instance's own monotonic clock.
// It is not safe for concurrent use.
type ExclusivityTracker struct {
	Self    hemlocktally.InstanceID
	Started time.Time // Started is when this process started; it does not know its promises from before.

	leaseID   string
	leaseEnd  time.Time
	viewHash  uint64
	changedAt time.Time // changedAt is when the view or the lease ID last changed.
	members   map[hemlocktally.InstanceID]bool
	// confirmedUntil holds the end of each member's confirmation.
	confirmedUntil map[hemlocktally.InstanceID]time.Time
	// unanimousSince is when the current unbroken confirmation by all members began.
	unanimousSince time.Time
	// promisedUntil holds the end of each promise of this instance, by asker.
	promisedUntil map[hemlocktally.InstanceID]time.Time
}

// promiseDuration is how long a promise holds for the member that makes it. The
// asker counts it shorter by promiseMargin, as clocks run at different speeds.
const (
	promiseDuration = 600 * time.Millisecond
	promiseMargin   = 50 * time.Millisecond
)

// HashView returns a hash of the members, their incarnations and their states,
// in the order of the view. Instances with equal views have equal hashes.
func HashView(view hemlocktally.View) uint64 {
	digest := xxhash.New()
	for _, m := range view.Members {
		for _, part := range []string{string(m.ID), "/", m.Incarnation, "/", string(m.State), ";"} {
			_, _ = digest.WriteString(part)
		}
	}
	return digest.Sum64()
}

// SetView sets the view of the fleet. A changed view drops all confirmations.
func (s *ExclusivityTracker) SetView(view hemlocktally.View, now time.Time) {
	hash := HashView(view)
	if hash == s.viewHash && s.members != nil {
		return
	}
	s.viewHash, s.changedAt, s.unanimousSince = hash, now, time.Time{}
	s.confirmedUntil = map[hemlocktally.InstanceID]time.Time{}
	s.members = map[hemlocktally.InstanceID]bool{}
	for _, m := range view.Members {
		if m.State != hemlocktally.InstanceGone {
			s.members[m.ID] = true
		}
	}
}

// SetLease sets the ID and the end of the instance's own lease of the store. A
// new ID drops all confirmations.
func (s *ExclusivityTracker) SetLease(id string, end, now time.Time) {
	if id != s.leaseID {
		s.leaseID, s.changedAt, s.unanimousSince = id, now, time.Time{}
		clear(s.confirmedUntil)
	}
	s.leaseEnd = end
}

// ViewHash returns the hash of the current view.
func (s *ExclusivityTracker) ViewHash() uint64 { return s.viewHash }

// Promise answers another owner that asks for a promise for its view. It returns
// the hash of the current view, and whether the promise is made. It is made only
// if the views are equal, the asker is a member, and no promise to an instance
// outside the view may still hold.
func (s *ExclusivityTracker) Promise(asker hemlocktally.InstanceID, viewHash uint64, now time.Time) (uint64, bool) {
	if viewHash != s.viewHash || !s.members[asker] || !s.noOutsidePromise(now) {
		return s.viewHash, false
	}
	if s.promisedUntil == nil {
		s.promisedUntil = map[hemlocktally.InstanceID]time.Time{}
	}
	s.promisedUntil[asker] = now.Add(promiseDuration)
	return s.viewHash, true
}

// noOutsidePromise reports whether no promise to an instance outside the view
// may hold. For promiseDuration after the start of the process it is false,
// because promises from before the start are unknown.
func (s *ExclusivityTracker) noOutsidePromise(now time.Time) bool {
	if now.Sub(s.Started) < promiseDuration {
		return false
	}
	for asker, until := range s.promisedUntil {
		if !now.Before(until) {
			delete(s.promisedUntil, asker)
			continue
		}
		if !s.members[asker] {
			return false
		}
	}
	return true
}

// RecordAnswer records a member's answer to a request for a promise. The
// confirmation counts from when the request was sent, which is before the member
// made its promise.
func (s *ExclusivityTracker) RecordAnswer(member hemlocktally.InstanceID, viewHash uint64, promised bool, sent, now time.Time) {
	if !promised || viewHash != s.viewHash || !sent.After(s.changedAt) || !s.members[member] {
		delete(s.confirmedUntil, member)
		s.unanimousSince = time.Time{}
		return
	}
	if s.confirmedUntil[member].Before(now) {
		s.unanimousSince = time.Time{}
	}
	s.confirmedUntil[member] = sent.Add(promiseDuration - promiseMargin)
	if s.unanimousSince.IsZero() && !s.confirmedEnd(now).IsZero() {
		s.unanimousSince = now
	}
}

// confirmedEnd returns when the first confirmation or the own lease ends, at most
// promiseDuration-promiseMargin from now. It returns the zero time if one of them
// is missing or has ended.
func (s *ExclusivityTracker) confirmedEnd(now time.Time) time.Time {
	end := now.Add(promiseDuration - promiseMargin)
	if s.leaseEnd.Before(end) {
		end = s.leaseEnd
	}
	if !now.Before(end) {
		return time.Time{}
	}
	for member := range s.members {
		if member == s.Self {
			continue
		}
		until := s.confirmedUntil[member]
		if !now.Before(until) {
			return time.Time{}
		}
		if until.Before(end) {
			end = until
		}
	}
	return end
}

// Until returns the time until which this owner is the only one, or the zero
// time if it is not. All members must have confirmed for promiseDuration before.
func (s *ExclusivityTracker) Until(now time.Time) time.Time {
	end := s.confirmedEnd(now)
	if end.IsZero() || !s.noOutsidePromise(now) {
		s.unanimousSince = time.Time{}
		return time.Time{}
	}
	if s.unanimousSince.IsZero() {
		s.unanimousSince = now
	}
	if now.Sub(s.unanimousSince) < promiseDuration {
		return time.Time{}
	}
	return end
}

// Unconfirmed returns a member without a valid confirmation, or "" if there is
// none. It is shown to operators.
func (s *ExclusivityTracker) Unconfirmed(now time.Time) hemlocktally.InstanceID {
	for member := range s.members {
		if member != s.Self && !now.Before(s.confirmedUntil[member]) {
			return member
		}
	}
	return ""
}
