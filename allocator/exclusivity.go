package allocator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// Standing decides whether this instance, as an owner, is the only one. It is
// so while every member of its view has confirmed the same view, each for the
// time of a promise. A member that confirmed a view to an owner does not take
// part in a view without that owner before its promise has run out, and no
// owner stands before the promises that it may not know of have run out. All
// times are of the instance's own monotonic clock.
type ExclusivityTracker struct {
	Self    hemlocktally.InstanceID
	Started time.Time // Started is when this process began; earlier promises are forgotten.

	leaseID        string
	leaseEnd       time.Time
	viewHash       uint64
	changedAt      time.Time // changed is when the view last changed.
	members        map[hemlocktally.InstanceID]bool
	confirmedUntil map[hemlocktally.InstanceID]time.Time // confirmed is until when, by member.
	unanimousSince time.Time                             // agreed is since when all have confirmed without a gap.
	promisedUntil  map[hemlocktally.InstanceID]time.Time // promises is until when, by asker.
}

// The times of promises. The margin covers clocks that run at different speeds.
const (
	promiseDuration = 600 * time.Millisecond
	promiseMargin   = 50 * time.Millisecond
)

// HashView returns a number that two instances share when they know the same
// members in the same states.
func HashView(view hemlocktally.View) uint64 {
	digest := xxhash.New()
	for _, m := range view.Members {
		for _, part := range []string{string(m.ID), "/", m.Incarnation, "/", string(m.State), ";"} {
			_, _ = digest.WriteString(part)
		}
	}
	return digest.Sum64()
}

// SetView takes in the view of the fleet.
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

// SetLease takes in the instance's own lease of the store. With a new lease all
// confirmations are asked for anew.
func (s *ExclusivityTracker) SetLease(id string, end, now time.Time) {
	if id != s.leaseID {
		s.leaseID, s.changedAt, s.unanimousSince = id, now, time.Time{}
		clear(s.confirmedUntil)
	}
	s.leaseEnd = end
}

// View returns the number of the present view.
func (s *ExclusivityTracker) ViewHash() uint64 { return s.viewHash }

// Answer is asked by another owner. It returns the present view, and whether
// the asker may rely on it for the time of a promise.
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

// free reports whether no promise holds to an instance outside of the view.
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

// Confirm takes in a member's answer to a question that was sent at the given
// time.
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

// earliest returns when the first confirmation ends, or the zero time where
// one is missing or over.
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

// Until returns until when this owner is the only one, or the zero time.
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

// Missing names a member that has not confirmed, for operators.
func (s *ExclusivityTracker) Unconfirmed(now time.Time) hemlocktally.InstanceID {
	for member := range s.members {
		if member != s.Self && !now.Before(s.confirmedUntil[member]) {
			return member
		}
	}
	return ""
}
