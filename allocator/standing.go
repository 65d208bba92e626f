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
type Standing struct {
	Self    hemlocktally.InstanceID
	Started time.Time // Started is when this process began; earlier promises are forgotten.

	lease     string
	leaseEnd  time.Time
	view      uint64
	changed   time.Time // changed is when the view last changed.
	members   map[hemlocktally.InstanceID]bool
	confirmed map[hemlocktally.InstanceID]time.Time // confirmed is until when, by member.
	agreed    time.Time                             // agreed is since when all have confirmed without a gap.
	promises  map[hemlocktally.InstanceID]time.Time // promises is until when, by asker.
}

// The times of promises. The margin covers clocks that run at different speeds.
const (
	promiseTime   = 600 * time.Millisecond
	promiseMargin = 50 * time.Millisecond
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
func (s *Standing) SetView(view hemlocktally.View, now time.Time) {
	hash := HashView(view)
	if hash == s.view && s.members != nil {
		return
	}
	s.view, s.changed, s.agreed = hash, now, time.Time{}
	s.confirmed = map[hemlocktally.InstanceID]time.Time{}
	s.members = map[hemlocktally.InstanceID]bool{}
	for _, m := range view.Members {
		if m.State != hemlocktally.InstanceGone {
			s.members[m.ID] = true
		}
	}
}

// SetLease takes in the instance's own lease of the store. With a new lease all
// confirmations are asked for anew.
func (s *Standing) SetLease(id string, end, now time.Time) {
	if id != s.lease {
		s.lease, s.changed, s.agreed = id, now, time.Time{}
		clear(s.confirmed)
	}
	s.leaseEnd = end
}

// View returns the number of the present view.
func (s *Standing) View() uint64 { return s.view }

// Answer is asked by another owner. It returns the present view, and whether
// the asker may rely on it for the time of a promise.
func (s *Standing) Answer(asker hemlocktally.InstanceID, view uint64, now time.Time) (uint64, bool) {
	if view != s.view || !s.members[asker] || !s.free(now) {
		return s.view, false
	}
	if s.promises == nil {
		s.promises = map[hemlocktally.InstanceID]time.Time{}
	}
	s.promises[asker] = now.Add(promiseTime)
	return s.view, true
}

// free reports whether no promise holds to an instance outside of the view.
func (s *Standing) free(now time.Time) bool {
	if now.Sub(s.Started) < promiseTime {
		return false
	}
	for asker, until := range s.promises {
		if !now.Before(until) {
			delete(s.promises, asker)
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
func (s *Standing) Confirm(member hemlocktally.InstanceID, view uint64, promised bool, sent, now time.Time) {
	if !promised || view != s.view || !sent.After(s.changed) || !s.members[member] {
		delete(s.confirmed, member)
		s.agreed = time.Time{}
		return
	}
	if s.confirmed[member].Before(now) {
		s.agreed = time.Time{}
	}
	s.confirmed[member] = sent.Add(promiseTime - promiseMargin)
	if s.agreed.IsZero() && !s.earliest(now).IsZero() {
		s.agreed = now
	}
}

// earliest returns when the first confirmation ends, or the zero time where
// one is missing or over.
func (s *Standing) earliest(now time.Time) time.Time {
	end := now.Add(promiseTime - promiseMargin)
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
		until := s.confirmed[member]
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
func (s *Standing) Until(now time.Time) time.Time {
	end := s.earliest(now)
	if end.IsZero() || !s.free(now) {
		s.agreed = time.Time{}
		return time.Time{}
	}
	if s.agreed.IsZero() {
		s.agreed = now
	}
	if now.Sub(s.agreed) < promiseTime {
		return time.Time{}
	}
	return end
}

// Missing names a member that has not confirmed, for operators.
func (s *Standing) Missing(now time.Time) hemlocktally.InstanceID {
	for member := range s.members {
		if member != s.Self && !now.Before(s.confirmed[member]) {
			return member
		}
	}
	return ""
}
