package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hemlocktally"
)

// Parameters of the decision when a call leaves its caller's zone. docs/design/spillover.md
// tells what was weighed.
const (
	// spilloverInterval is the time between two updates of the zones' shares.
	spilloverInterval = 250 * time.Millisecond
	// spilloverWarmup is how long after its first request an owner uses the constants of the
	// choice, because it knows no demand yet.
	spilloverWarmup = time.Second
	// demandWeight is the weight of an interval in the moving mean of a zone's demand. The
	// mean follows a burst of three seconds, but not the noise of one interval.
	demandWeight = 0.2
	// capacityWeight is the weight of a measurement in the moving mean of a zone's capacity,
	// which varies with the targets that are slow for a moment.
	capacityWeight = 0.06
	// shortUtilization is the utilization above which a zone counts as short, and
	// roomUtilization the one below which a short zone has room again.
	shortUtilization = 0.95
	roomUtilization  = 0.85
	// maxShareRise and maxShareFall limit the change of a share per interval.
	maxShareRise = 0.15
	maxShareFall = 0.15
	// minShareChange is the least change of a share. Smaller ones are noise: a share follows the
	// demand of some hundred calls.
	minShareChange = 0.1
	// minReportedChange is the least change of a share that is reported to the log.
	minReportedChange = 0.15
	// lostCapacity is the part of its capacity that a zone has to lose within an interval for
	// its share to change at once.
	lostCapacity = 0.4
	// maxLeaveCredit limits how many calls may leave in a row because the zone is short.
	maxLeaveCredit = 8
	// homeSpareWeight is the part of the time that a call would have to spare at home by which
	// another zone has to be faster. shortSpareWeight is the same for the share of a short
	// zone's calls.
	homeSpareWeight  = 0.3
	shortSpareWeight = 0.2
	// shortZonePenalty is the part of the typical work that is added to the cost of targets in
	// a zone that is short itself.
	shortZonePenalty = 0.25
	// maxHoldShare is the share of the remaining time that a call waits for a target of its own
	// zone at most while another zone has a free one.
	maxHoldShare = 0.25
	// spilloverConnectionCost and spilloverConnectionShare replace newConnectionCost and
	// newConnectionShare. A connection takes about 1 ms; with the higher price calls ran on
	// targets at twice the usual work time while others were free, because only those had an
	// idle connection.
	spilloverConnectionCost  = 3 * time.Millisecond
	spilloverConnectionShare = 0.05
	// spilloverHedgeShare replaces hedgeShare. Second attempts are made only for calls whose
	// first one is expected to miss the objective, so fewer of them are in vain.
	spilloverHedgeShare = 0.9
	// missFactor is the part of its objective that a first attempt has to be expected to take
	// at the present speed of its target for a second attempt to be made.
	missFactor = 0.85
	// maxDeadlineSkew is the largest difference of deadlines of two attempts of one call, which
	// arrive as durations from the moment of sending.
	maxDeadlineSkew = 20 * time.Millisecond
	// sizeWeight is the weight of a response in the moving mean of its contract's size.
	sizeWeight = 0.05
	// defaultLargeBytes is the size that is assumed for large responses until one was seen.
	defaultLargeBytes = 1 << 20
	bytesPerMB        = 1e6
	// maxTrackedZones and maxTrackedSizes bound the memory, because the names come from other
	// instances.
	maxTrackedZones = 64
	maxTrackedSizes = 4096
)

// LeaveReason tells why a call left the zone of its caller.
type LeaveReason string

// The reasons.
const (
	LeaveNone      LeaveReason = ""
	LeaveNoTargets LeaveReason = "NoTargets" // LeaveNoTargets means that the zone has no target that accepts calls.
	LeaveFull      LeaveReason = "Full"      // LeaveFull means that no target of the zone had a free slot.
	LeaveShort     LeaveReason = "Short"     // LeaveShort means that the call belongs to the share of a short zone that may leave.
	LeaveSlow      LeaveReason = "Slow"      // LeaveSlow means that the free targets of the zone were too slow.
)

// LeaveReasons returns all reasons, in the order of the metrics.
func LeaveReasons() []LeaveReason {
	return []LeaveReason{LeaveNoTargets, LeaveFull, LeaveShort, LeaveSlow}
}

// spillover is what an owner knows of the demand and the traffic of each zone. The zero value
// is disabled.
type spillover struct {
	enabled   bool
	since     time.Time // since is when the state got its first request.
	updatedAt time.Time
	large     map[hemlocktally.ContractName]bool // large holds the contracts with large responses.
	sizes     map[hemlocktally.ContractName]float64
	zones     map[hemlocktally.ZoneName]*zoneFlow
	changes   []any // changes holds the SpilloverCmds that Update has not returned yet.
}

// zoneFlow is the demand of one zone's callers, the capacity of its targets and what left it.
type zoneFlow struct {
	name     hemlocktally.ZoneName
	asked    float64 // asked is the work requested since the last update, in seconds.
	demand   float64 // demand is the moving mean of the work requested per second: the slots that it keeps busy.
	capacity float64 // capacity is how many slots of targets at the usual speed the zone's targets are worth.
	share    float64 // share is the share of the zone's calls that may leave because it is short.
	reported float64 // reported is the share that was last reported to the log.
	credit   float64 // credit is how many calls may leave now because of the share.
	calls    uint64
	left     map[LeaveReason]uint64
	bytes    uint64
}

// SpilloverCmd reports that the share of a zone's calls that may leave it has changed.
type SpilloverCmd struct {
	Zone     hemlocktally.ZoneName
	Share    float64
	Before   float64
	Demand   float64 // Demand is how many slots the zone's callers keep busy.
	Capacity float64 // Capacity is how many slots of targets at the usual speed the zone is worth.
}

// ZoneStats are the counters of one zone's callers at an owner.
type ZoneStats struct {
	Zone  hemlocktally.ZoneName
	Share float64                // Share is the share of the zone's calls that may leave because it is short.
	Calls uint64                 // Calls is the number of first attempts requested.
	Left  map[LeaveReason]uint64 // Left is the number of grants in other zones, by reason.
	Bytes uint64                 // Bytes is the size of the responses from other zones.
}

// spills reports whether the decision is in effect. An instance that decides alone sees only
// its own calls, and an owner that has just started knows no demand.
func (s *State) spills(now time.Time) bool {
	return s.spill.enabled && !s.Alone && !s.spill.since.IsZero() && now.Sub(s.spill.since) >= spilloverWarmup
}

// configureSpillover applies the part of a TargetsMsg that concerns the decision.
func (s *State) configureSpillover(msg TargetsMsg, now time.Time) {
	enabled := msg.Spillover && !s.disabled(hemlocktally.MechanismSpillover) && !s.disabled(hemlocktally.MechanismZoneFirst)
	if !enabled {
		s.spill = spillover{}
		return
	}
	s.spill.enabled, s.spill.large = true, map[hemlocktally.ContractName]bool{}
	for _, contract := range msg.LargeResponses {
		s.spill.large[contract] = true
	}
	if !s.spill.updatedAt.IsZero() {
		s.measureCapacity(now)
	}
}

// zone returns the flow of a zone, or nil if too many are tracked.
func (p *spillover) zone(name hemlocktally.ZoneName) *zoneFlow {
	z := p.zones[name]
	if z == nil && len(p.zones) < maxTrackedZones {
		if p.zones == nil {
			p.zones = map[hemlocktally.ZoneName]*zoneFlow{}
		}
		z = &zoneFlow{name: name, left: map[LeaveReason]uint64{}}
		p.zones[name] = z
	}
	return z
}

// recordDemand counts the first attempt of a call, whether or not it is admitted.
func (s *State) recordDemand(msg AcquireMsg, now time.Time) {
	if !s.spill.enabled || msg.Request.Kind != hemlocktally.AttemptFirst {
		return
	}
	if s.spill.since.IsZero() {
		s.spill.since, s.spill.updatedAt = now, now
	}
	if z := s.spill.zone(msg.Zone); z != nil {
		z.calls++
		z.asked += s.typicalWork(msg.Request.Contract).Seconds()
		z.credit = min(maxLeaveCredit, z.credit+z.share)
	}
}

// learnSize updates the mean size of a contract's responses.
func (p *spillover) learnSize(contract hemlocktally.ContractName, bytes int64) {
	if !p.enabled || bytes <= 0 {
		return
	}
	mean, known := p.sizes[contract]
	switch {
	case known:
		p.sizes[contract] = mean + sizeWeight*(float64(bytes)-mean)
	case len(p.sizes) < maxTrackedSizes:
		if p.sizes == nil {
			p.sizes = map[hemlocktally.ContractName]float64{}
		}
		p.sizes[contract] = float64(bytes)
	}
}

// size returns the expected size of a response.
func (p *spillover) size(contract hemlocktally.ContractName) float64 {
	if mean, ok := p.sizes[contract]; ok {
		return mean
	}
	if p.large[contract] {
		return defaultLargeBytes
	}
	return 0
}

// pathCost returns the time that a call to another zone has to gain to be worth it: the delay
// in both directions and the price of its response.
func (s *State) pathCost(contract hemlocktally.ContractName) time.Duration {
	price := s.spill.size(contract) / bytesPerMB * float64(s.Bounds.PricePerMB)
	return 2*s.Bounds.ZoneDelay + time.Duration(min(price, float64(forever)))
}

// updateSpillover updates the shares of all zones if an interval has passed.
func (s *State) updateSpillover(now time.Time) {
	elapsed := now.Sub(s.spill.updatedAt)
	if !s.spill.enabled || s.spill.since.IsZero() || elapsed < spilloverInterval {
		return
	}
	s.spill.updatedAt = now
	for _, z := range s.spill.zones {
		rate := z.asked / elapsed.Seconds()
		// After a pause of several intervals the last mean says little.
		weight := 1 - math.Pow(1-demandWeight, elapsed.Seconds()/spilloverInterval.Seconds())
		z.demand += weight * (rate - z.demand)
		z.asked = 0
	}
	s.measureCapacity(now)
}

// measureCapacity measures the capacity of each zone and sets the shares. The share of a zone
// that has lost much of its capacity changes at once.
func (s *State) measureCapacity(now time.Time) {
	before := map[hemlocktally.ZoneName]float64{}
	for name := range s.byZone {
		s.spill.zone(name)
	}
	for _, z := range s.spill.zones {
		before[z.name] = z.capacity
		capacity := 0.0
		for _, t := range s.byZone[z.name] {
			capacity += s.worth(t, now)
		}
		if capacity >= (1-lostCapacity)*z.capacity && z.capacity > 0 {
			capacity = z.capacity + capacityWeight*(capacity-z.capacity)
		}
		z.capacity = capacity
	}
	wanted, factor := s.wantedShares()
	for _, z := range s.sortedFlows() {
		share := factor * wanted[z.name]
		if math.Abs(share-z.share) < minShareChange && share > 0 && z.share > 0 {
			share = z.share
		}
		switch {
		case z.capacity == 0:
			share = 1
		case before[z.name] == 0:
		case z.capacity < (1-lostCapacity)*before[z.name] && share > z.share:
		default:
			share = min(z.share+maxShareRise, max(z.share-maxShareFall, share))
		}
		s.setShare(z, share)
	}
}

// worth returns how many slots of a target at the usual speed the target is worth now.
func (s *State) worth(t *targetState, now time.Time) float64 {
	if !t.accepting(now) || t.cold(now) || t.rate.limit.Named {
		return 0
	}
	slots := s.concurrencyLimit(t, now)
	return float64(slots) / t.expectedPace(s.meanPace, now)
}

// wantedShares returns the share of its calls that each zone has too many, and the factor by
// which the capacity that other zones have left covers them.
func (s *State) wantedShares() (wanted map[hemlocktally.ZoneName]float64, factor float64) {
	wanted = map[hemlocktally.ZoneName]float64{}
	excess, room := 0.0, 0.0
	for _, z := range s.spill.zones {
		threshold := shortUtilization
		if z.share > 0 {
			threshold = roomUtilization
		}
		surplus := z.demand - threshold*z.capacity
		if surplus > 0 && z.demand > 0 {
			wanted[z.name] = surplus / z.demand
			excess += surplus
		} else {
			room -= surplus
		}
	}
	if excess == 0 {
		return wanted, 1
	}
	return wanted, min(1, room/excess)
}

func (s *State) sortedFlows() []*zoneFlow {
	return slices.SortedFunc(maps.Values(s.spill.zones), func(a, b *zoneFlow) int { return cmp.Compare(a.name, b.name) })
}

// setShare sets a zone's share and reports it if it starts, ends or differs much from the last
// one reported.
func (s *State) setShare(z *zoneFlow, share float64) {
	z.share = share
	if share == 0 {
		z.credit = 0
	}
	changed := math.Abs(share-z.reported) >= minReportedChange || (share == 0) != (z.reported == 0)
	if !changed || z.calls == 0 {
		return
	}
	s.spill.changes = append(s.spill.changes, SpilloverCmd{Zone: z.name, Share: share, Before: z.reported, Demand: z.demand, Capacity: z.capacity})
	z.reported = share
}

// chooseZone is choose with the decision between the zones in effect. A call leaves its zone if
// another one has a target that is faster by the cost of the path and by a part of the time
// that the call would have to spare at home. Before it leaves, it waits for a target of its own
// zone as long as the path costs.
func (s *State) chooseZone(w *waiter, free *freeTargets, left time.Duration, now time.Time) (list []candidate, best candidate, ok bool) {
	list, _, ok = s.rank(w, free.inZone(w.msg.Zone), left, now)
	var home candidate
	var margin time.Duration
	reason := LeaveFull
	w.holding = false
	switch {
	case ok:
		home = list[0]
		margin, reason = s.leaveMargin(w, home, left)
		// No target is expected to be faster than the typical work.
		if home.cost <= s.typicalWork(w.msg.Request.Contract)+s.pathCost(w.msg.Request.Contract)+margin {
			return list, home, true
		}
	case !free.serves(w.msg.Zone):
		reason = LeaveNoTargets
	case s.holdsForHome(w, now):
		w.holding = true
		return nil, candidate{}, false
	}
	list, away, found := s.rankOthers(w, list, free, left, now)
	switch {
	case !found || (ok && away.cost+margin >= home.cost):
		return list, home, ok
	case ok && !home.fresh && w.probeRounds == 0 && s.mayProbe(home.t, now):
		return list, home, true // Its own speed decides, not that of the others.
	case ok && s.holdsForHome(w, now):
		w.holding = true
		return nil, candidate{}, false // A quick target of the zone may become free soon.
	}
	away.left = reason
	return list, away, true
}

// rankOthers adds the best candidates of the other zones to the list, and returns the best of
// them.
func (s *State) rankOthers(w *waiter, list []candidate, free *freeTargets, left time.Duration, now time.Time) (merged []candidate, best candidate, ok bool) {
	for _, zone := range s.zoneNames {
		if zone == w.msg.Zone {
			continue
		}
		for _, c := range s.rankAway(w, free, zone, left, now) {
			list = insertCandidate(list, c)
			if !ok || c.compare(best) < 0 {
				best, ok = c, true
			}
		}
	}
	return list, best, ok
}

// rankAway returns the best candidates of another zone. Those of a zone that is short itself
// come later, so that zones don't exchange their calls.
func (s *State) rankAway(w *waiter, free *freeTargets, zone hemlocktally.ZoneName, left time.Duration, now time.Time) []candidate {
	list, _, _ := s.rank(w, free.inZone(zone), left, now)
	if z := s.spill.zones[zone]; z != nil && z.share > 0 {
		penalty := time.Duration(shortZonePenalty * float64(s.typicalWork(w.msg.Request.Contract)))
		for i := range list {
			list[i].cost += penalty
		}
	}
	return list
}

// leaveMargin returns by how much a target of another zone has to be better than the one at
// home, in addition to the cost of the path, and the reason for which the call then leaves. The
// second attempt of a call has no time to spare.
func (s *State) leaveMargin(w *waiter, home candidate, left time.Duration) (margin time.Duration, reason LeaveReason) {
	if w.msg.Request.Kind == hemlocktally.AttemptHedge {
		return 0, LeaveSlow
	}
	spare := float64(max(0, left-home.adjusted))
	if z := s.spill.zones[w.msg.Zone]; z != nil && z.credit >= 1 {
		return time.Duration(shortSpareWeight * spare), LeaveShort
	}
	return time.Duration(homeSpareWeight * spare), LeaveSlow
}

// holdsForHome reports whether a call without a quick free target in its zone goes on waiting
// for one there. It does as long as the path to another zone costs more than the wait so far
// and the objective is not at risk.
func (s *State) holdsForHome(w *waiter, now time.Time) bool {
	r := w.msg.Request
	if r.Kind == hemlocktally.AttemptHedge {
		return false
	}
	path := s.pathCost(r.Contract)
	if z := s.spill.zones[w.msg.Zone]; z != nil && z.credit >= 1 {
		path -= 2 * s.Bounds.ZoneDelay
	}
	left := r.Objective.Sub(w.enqueuedAt)
	hold := min(path, time.Duration(maxHoldShare*float64(left)))
	return now.Sub(w.enqueuedAt) < hold && !now.Add(s.promptTime(r.Contract)+2*s.Bounds.ZoneDelay).After(r.Objective)
}

// misses reports whether the first attempt of a call is expected to miss the objective on its
// target. A target at its usual speed again ends the first attempt before a second one would.
func (s *State) misses(t *targetState, r hemlocktally.GrantRequest, now time.Time) bool {
	closest, elapsed := maxDeadlineSkew, time.Duration(0)
	for _, active := range t.grants {
		skew := active.deadline.Sub(r.Deadline).Abs()
		if active.contract == r.Contract && skew <= closest {
			closest, elapsed = skew, now.Sub(active.at)
		}
	}
	if elapsed == 0 {
		return t.pace >= lightLoadPace
	}
	return t.pace*float64(s.typicalWork(r.Contract)) > missFactor*float64(elapsed+r.Objective.Sub(now))
}

// mayProbe reports whether the target can be probed for a choice, or is being probed.
func (s *State) mayProbe(t *targetState, now time.Time) bool {
	if s.service.ProbePath == "" || s.disabled(hemlocktally.MechanismLoadQuestions) {
		return false
	}
	return t.probing || (now.Sub(t.probedAt) >= s.probeInterval(t) && t.avoidedFor(s.Owner, now) == 0)
}

// recordLeave counts a grant in another zone than the caller's.
func (s *State) recordLeave(zone hemlocktally.ZoneName, reason LeaveReason) {
	z := s.spill.zones[zone]
	if z == nil || reason == LeaveNone {
		return
	}
	z.left[reason]++
	z.credit = max(0, z.credit-1)
}

// recordBytes counts the response of a grant in another zone. The grant is zero if it has
// expired.
func (s *State) recordBytes(active activeGrant, bytes int64) {
	if active.at.IsZero() {
		return
	}
	s.spill.learnSize(active.contract, bytes)
	if z := s.spill.zones[active.zone]; z != nil && active.left != LeaveNone && bytes > 0 {
		z.bytes += uint64(bytes)
	}
}

// zoneStats returns the statistics of the zones that have callers, sorted by name.
func (s *State) zoneStats() []ZoneStats {
	var list []ZoneStats
	for _, z := range s.sortedFlows() {
		if z.calls > 0 {
			list = append(list, ZoneStats{Zone: z.name, Share: z.share, Calls: z.calls, Left: maps.Clone(z.left), Bytes: z.bytes})
		}
	}
	return list
}
