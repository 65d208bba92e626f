package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hemlocktally"
)

// enoughNear is how many targets with room a caller's zone has to have for the
// choice to look at no other zone first.
const enoughNear = 8

// bestKept is how many candidates of a choice are kept in their order: the one
// that is taken, and those that are asked for their load.
const bestKept = 2 * probesAtOnce

// room lists the targets that may take a call of anybody now, each zone's only
// once it is asked for.
type room struct {
	state *State
	now   time.Time
	zones map[hemlocktally.ZoneName][]*tally
	all   []*tally
	whole bool // whole is set once all is listed.
}

func (r *room) list(targets []*tally) []*tally {
	var list []*tally
	for _, t := range targets {
		r.state.examined++
		if r.state.hasRoom(t, r.now) {
			list = append(list, t)
		}
	}
	return list
}

// everywhere lists the targets of all zones.
func (r *room) everywhere() []*tally {
	if !r.whole {
		r.all, r.whole = r.list(r.state.order), true
	}
	return r.all
}

// of lists the targets of one zone.
func (r *room) of(zone hemlocktally.ZoneName) []*tally {
	list, ok := r.zones[zone]
	if !ok {
		if r.zones == nil {
			r.zones = map[hemlocktally.ZoneName][]*tally{}
		}
		list = r.list(r.state.zones[zone])
		r.zones[zone] = list
	}
	return list
}

// exists reports whether any target has room.
func (r *room) exists() bool {
	return slices.ContainsFunc(r.state.order, func(t *tally) bool { return r.state.hasRoom(t, r.now) })
}

// choose returns the target for the waiter's call and the best ones beside it. A
// target of the caller's zone is taken while it is quick enough: where the zone
// has many, the others are not even looked at, so that a choice costs a large
// service no more than a small one.
func (s *State) choose(w *waiter, room *room, now time.Time) (list []candidate, best candidate, ok bool) {
	left := w.msg.Request.Objective.Sub(now)
	if near := room.of(w.msg.Zone); len(near) >= enoughNear && !s.off(hemlocktally.MechanismZoneFirst) {
		if list, best, ok = s.rank(w, near, left, now); ok && best.quick(left) {
			return list, best, true
		}
	}
	return s.rank(w, room.everywhere(), left, now)
}

// rank returns the best of the targets with room, best first, and the one to take:
// the best quick one of the caller's zone, or else the best of all.
func (s *State) rank(w *waiter, targets []*tally, left time.Duration, now time.Time) (list []candidate, best candidate, ok bool) {
	var quick candidate
	for _, t := range targets {
		s.examined++
		// Of those that had room, some may have been given to calls before it.
		if !s.hasRoom(t, now) || t.awayFor(w.msg.From, now) > 0 || slices.Contains(w.msg.Request.Exclude, t.target.Name) {
			continue
		}
		c := s.candidate(t, w, left, now)
		if c.quick(left) && (quick.t == nil || c.compare(quick) < 0) {
			quick = c
		}
		list = keepBest(list, c)
	}
	switch {
	case quick.t != nil:
		return list, quick, true
	case len(list) > 0:
		return list, list[0], true
	}
	return nil, candidate{}, false
}

// keepBest puts the candidate into the list of the best ones.
func keepBest(list []candidate, c candidate) []candidate {
	if len(list) == bestKept {
		if c.compare(list[bestKept-1]) >= 0 {
			return list
		}
		list = list[:bestKept-1]
	}
	i, _ := slices.BinarySearchFunc(list, c, candidate.compare)
	return slices.Insert(list, i, c)
}

// candidate is what speaks for and against a target for the waiter's call.
func (s *State) candidate(t *tally, w *waiter, left time.Duration, now time.Time) candidate {
	c := candidate{t: t, near: t.target.Zone == w.msg.Zone || s.off(hemlocktally.MechanismZoneFirst), fresh: t.fresh(now)}
	c.expected = s.expect(t, w.msg.Request.Contract, now)
	c.doubted = c.expected
	if !s.off(hemlocktally.MechanismFaultRanking) {
		c.doubted = time.Duration(float64(c.expected) / (1 - math.Min(worstFaulty, t.faulty)))
	}
	if t.suspect {
		c.doubted *= outlierFactor
	}
	c.cost = c.doubted
	if !c.near {
		c.cost += farPenalty
	}
	if !t.linked(w.msg.From, now) && !s.off(hemlocktally.MechanismLinkPrice) {
		c.cost += max(newLink, time.Duration(newLinkPart*float64(left)))
	}
	if t.joined && !s.off(hemlocktally.MechanismJoinFirst) && t.usedAt.IsZero() && !t.suspect && !t.cold(now) && (!c.fresh || t.pace < calmPace) && c.quick(left) {
		c.cost = 0 // Else a target that joins would wait until the known ones are busy.
	}
	return c
}

// quick reports whether the target is in the caller's zone and takes little of the
// time that is left.
func (c candidate) quick(left time.Duration) bool {
	return c.near && float64(c.doubted) <= comfort*float64(left)
}

// compare orders candidates by their cost, then by the time of their last turn.
func (c candidate) compare(other candidate) int {
	if c.cost != other.cost {
		return cmp.Compare(c.cost, other.cost)
	}
	return cmp.Or(c.t.usedAt.Compare(other.t.usedAt), cmp.Compare(c.t.target.Name, other.t.target.Name))
}

// awaits reports whether an answer about load that the waiter waits for is still
// to come. Those that others wait for don't hold it up.
func (w *waiter) awaits(now time.Time) bool {
	return slices.ContainsFunc(w.asked, func(t *tally) bool { return t.probing && t.open(now) })
}
