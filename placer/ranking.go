package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hemlocktally"
)

// minLocalTargets is how many targets with capacity the caller's zone must have for a choice
// to consider that zone on its own first.
const minLocalTargets = 8

// maxCandidates is how many of the best candidates a choice keeps: the one to use and the ones
// to probe.
const maxCandidates = 2 * maxProbes

// freeTargets lists the targets with capacity, whoever the caller is. Each zone is listed on
// first use.
type freeTargets struct {
	state  *State
	now    time.Time
	zones  map[hemlocktally.ZoneName][]*targetState
	all    []*targetState
	listed bool // listed is set once all holds the targets of all zones.
	// serving tells of each zone whether it has a warm target that accepts calls.
	serving map[hemlocktally.ZoneName]bool
}

func (f *freeTargets) filter(targets []*targetState) []*targetState {
	var list []*targetState
	for _, t := range targets {
		f.state.examined++
		if f.state.hasCapacity(t, f.now) {
			list = append(list, t)
		}
	}
	return list
}

// inAllZones returns the targets with capacity in all zones.
func (f *freeTargets) inAllZones() []*targetState {
	if !f.listed {
		f.all, f.listed = f.filter(f.state.sorted), true
	}
	return f.all
}

// inZone returns the targets with capacity in one zone.
func (f *freeTargets) inZone(zone hemlocktally.ZoneName) []*targetState {
	list, ok := f.zones[zone]
	if !ok {
		if f.zones == nil {
			f.zones = map[hemlocktally.ZoneName][]*targetState{}
		}
		list = f.filter(f.state.byZone[zone])
		f.zones[zone] = list
	}
	return list
}

// serves reports whether the zone has a warm target that accepts calls, free or not.
func (f *freeTargets) serves(zone hemlocktally.ZoneName) bool {
	serving, ok := f.serving[zone]
	if !ok {
		if f.serving == nil {
			f.serving = map[hemlocktally.ZoneName]bool{}
		}
		serving = slices.ContainsFunc(f.state.byZone[zone], func(t *targetState) bool { return t.accepting(f.now) && !t.cold(f.now) })
		f.serving[zone] = serving
	}
	return serving
}

// hasAny reports whether any target has capacity.
func (f *freeTargets) hasAny() bool {
	return slices.ContainsFunc(f.state.sorted, func(t *targetState) bool { return f.state.hasCapacity(t, f.now) })
}

// choose returns the target for the waiter's call and the other best candidates. A target in
// the caller's zone is used if it is fast enough. If the zone has many targets, the other
// zones are not examined, so that a choice costs no more in a large service than in a small
// one.
func (s *State) choose(w *waiter, free *freeTargets, now time.Time) (list []candidate, best candidate, ok bool) {
	left := w.msg.Request.Objective.Sub(now)
	if s.spills(now) {
		return s.chooseZone(w, free, left, now)
	}
	if local := free.inZone(w.msg.Zone); len(local) >= minLocalTargets && !s.disabled(hemlocktally.MechanismZoneFirst) {
		if list, best, ok = s.rank(w, local, left, now); ok && best.fastLocal(left) {
			return list, best, true
		}
	}
	return s.rank(w, free.inAllZones(), left, now)
}

// rank returns the best candidates among the targets, best first, and the one to use: the best
// fast one in the caller's zone, or else the best of all.
func (s *State) rank(w *waiter, targets []*targetState, left time.Duration, now time.Time) (list []candidate, best candidate, ok bool) {
	var local candidate
	hedge := w.msg.Request.Kind == hemlocktally.AttemptHedge
	costs := s.costs(w.msg.Request.Contract, left, now)
	for _, t := range targets {
		s.examined++
		// The list is made once per message, so some of its targets may have been filled by
		// earlier waiters.
		if hedge && t.rate.limit.Named {
			continue // What the limit allows is left to calls that have no other target.
		}
		if !s.eligible(t, w) || !s.hasCapacity(t, now) || t.avoidedFor(w.msg.From, now) > 0 || slices.Contains(w.msg.Request.Exclude, t.target.Name) {
			continue
		}
		c := s.newCandidate(t, w, costs, left, now)
		if c.fastLocal(left) && (local.t == nil || c.compare(local) < 0) {
			local = c
		}
		list = insertCandidate(list, c)
	}
	switch {
	case local.t != nil:
		return list, local, true
	case len(list) > 0:
		return list, list[0], true
	}
	return nil, candidate{}, false
}

// insertCandidate inserts the candidate into the sorted list of the best ones.
func insertCandidate(list []candidate, c candidate) []candidate {
	if len(list) == maxCandidates {
		if c.compare(list[maxCandidates-1]) >= 0 {
			return list
		}
		list = list[:maxCandidates-1]
	}
	i, _ := slices.BinarySearchFunc(list, c, candidate.compare)
	return slices.Insert(list, i, c)
}

// choiceCosts are the costs of targets that don't depend on the target itself.
type choiceCosts struct {
	crossZone     time.Duration // crossZone is the cost of another zone.
	newConnection time.Duration
}

// costs returns the costs for a call with the given time left.
func (s *State) costs(contract hemlocktally.ContractName, left time.Duration, now time.Time) choiceCosts {
	if s.spills(now) {
		return choiceCosts{
			crossZone:     s.pathCost(contract),
			newConnection: max(spilloverConnectionCost, time.Duration(spilloverConnectionShare*float64(left))),
		}
	}
	return choiceCosts{crossZone: crossZonePenalty, newConnection: max(newConnectionCost, time.Duration(newConnectionShare*float64(left)))}
}

// newCandidate computes the expected latency and the cost of a target for the waiter's call.
func (s *State) newCandidate(t *targetState, w *waiter, costs choiceCosts, left time.Duration, now time.Time) candidate {
	c := candidate{t: t, sameZone: t.target.Zone == w.msg.Zone || s.disabled(hemlocktally.MechanismZoneFirst), fresh: t.fresh(now)}
	c.expected = s.expectedLatency(t, w.msg.Request.Contract, now)
	c.adjusted = c.expected
	if !s.disabled(hemlocktally.MechanismFaultRanking) {
		c.adjusted = time.Duration(float64(c.expected) / (1 - math.Min(maxFailureShare, t.failureShare)))
	}
	if t.suspect {
		c.adjusted *= outlierFactor
	}
	c.cost = c.adjusted
	if !c.sameZone {
		c.cost += costs.crossZone
	}
	if c.spared = t.rate.limit.Named && now.Sub(t.rate.limit.At) < limitRetestAge; c.spared {
		c.cost += max(0, left)
	}
	if !t.hasIdleConnection(w.msg.From, now) && !s.disabled(hemlocktally.MechanismLinkPrice) {
		c.cost += costs.newConnection
	}
	switch {
	case t.candidate: // Few targets under full load show more than many that are nearly idle.
		if len(t.grants) > 0 {
			c.cost = time.Duration(busyPreference * float64(c.cost))
		}
	case c.fastLocal(left) && s.joinsFirst(t, c.fresh, now):
		c.cost = 0
	}
	return c
}

// joinsFirst reports whether the target was just added and gets its first call before others.
// It would otherwise get no calls until the known ones are busy.
func (s *State) joinsFirst(t *targetState, fresh bool, now time.Time) bool {
	joined := t.joined && t.grantedAt.IsZero() && !s.disabled(hemlocktally.MechanismJoinFirst)
	return joined && !t.suspect && !t.cold(now) && !t.rate.limit.Named && (!fresh || t.pace < lightLoadPace)
}

// fastLocal reports whether the target is in the caller's zone and its adjusted latency is at
// most localTimeShare of the remaining time.
func (c candidate) fastLocal(left time.Duration) bool {
	return c.sameZone && !c.spared && float64(c.adjusted) <= localTimeShare*float64(left)
}

// compare orders candidates by cost, then by the time of their last grant, then by name.
func (c candidate) compare(other candidate) int {
	if c.cost != other.cost {
		return cmp.Compare(c.cost, other.cost)
	}
	return cmp.Or(c.t.grantedAt.Compare(other.t.grantedAt), cmp.Compare(c.t.target.Name, other.t.target.Name))
}

// awaitingProbes reports whether an answer from a target that was probed for this waiter is
// outstanding. Probes made for other waiters don't delay it.
func (w *waiter) awaitingProbes(now time.Time) bool {
	return slices.ContainsFunc(w.probedTargets, func(t *targetState) bool { return t.probing && t.accepting(now) })
}
