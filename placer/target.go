package placer

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"hemlocktally"
)

// activeGrant is a grant in use.
type activeGrant struct {
	contract hemlocktally.ContractName
	from     hemlocktally.InstanceID
	deadline time.Time
	pace     float64               // pace is the expected pace of the target when the grant was issued.
	level    loadLevel             // level is the load level of the target including this grant.
	counted  bool                  // counted is set if the grant was counted against the target's limit.
	at       time.Time             // at is when the grant was issued.
	zone     hemlocktally.ZoneName // zone is the caller's zone.
	left     LeaveReason           // left is why the call left it.
	trial    bool                  // trial is set if the call was assigned to the version that a rollout tests.
	cold     bool                  // cold is set if the target was cold when the grant was issued.
	overdue  bool                  // overdue is set if the rollout was told that the call takes too long.
}

// targetState is what the owner knows about one target.
type targetState struct {
	registration hemlocktally.Registration
	target       hemlocktally.Target
	index        int // index is the target's position among the service's targets, sorted by name.
	limit        int // limit is the concurrency limit computed at limitAt.
	limitAt      time.Time
	zoneOut      bool
	barred       bool // barred is set if the target's version gets no calls.
	candidate    bool // candidate is set if the target gets only calls that a rollout assigns to its version.
	grants       map[hemlocktally.GrantID]activeGrant

	pace         float64 // pace is the last reported pace.
	paceAt       time.Time
	otherCalls   int // otherCalls is the number of calls that the target reported beyond the grants issued here.
	otherCallsAt time.Time
	coldUntil    time.Time
	rate         rateBudget
	recent       recentGrants

	probing      bool
	probedAt     time.Time
	suspect      bool // suspect is set after failures, until the target answers again.
	backoffUntil time.Time
	failures     int     // failures counts consecutive failures to reach the target.
	failureShare float64 // failureShare is the moving share of its answers that were failures.
	grantedAt    time.Time
	joined       bool // joined is set when the target was added while others were already known.
	leaving      bool // leaving is set once the target itself said that it is leaving. It holds until the target restarts, whatever later lists say.
	// avoidUntil holds, by instance, until when the target wants no calls from it.
	avoidUntil  map[hemlocktally.InstanceID]time.Time
	connections map[hemlocktally.InstanceID]idleConnections // connections holds the idle connections by instance.
}

const (
	// paceDecay is the time constant with which a reported pace loses its weight against the
	// mean.
	paceDecay = 350 * time.Millisecond
	// otherCallsTTL is how long a report of other calls counts.
	otherCallsTTL = 250 * time.Millisecond
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 2 * time.Second
	maxDoublings  = 5
	failureWeight = 0.2
	// coldSlowdown is the factor by which work is slower on a cold target.
	coldSlowdown = 2.0
	// defaultPace is the pace assumed before any report.
	defaultPace        = 1.6
	misdirectedBackoff = time.Second
	// avoidJitter is the largest share by which a time to stay away is lengthened at random.
	avoidJitter = 0.1
	// idleConnectionTTL is how long an instance is assumed to keep an idle connection.
	// Connections are closed after a longer idle time.
	idleConnectionTTL = 7 * time.Second
)

func (t *targetState) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// busy returns the number of calls on the target, including those reported beyond the grants
// issued here.
func (t *targetState) busy(now time.Time) int {
	if now.Sub(t.otherCallsAt) > otherCallsTTL {
		return len(t.grants)
	}
	return len(t.grants) + t.otherCalls
}

// nextLevel returns the load level of the target with one more call.
func (t *targetState) nextLevel(now time.Time) loadLevel {
	return loadLevel{slots: t.target.SlotCount(), busy: min(t.target.SlotCount(), t.busy(now)+1)}
}

// accepting reports whether the target may get calls now, regardless of its free slots.
func (t *targetState) accepting(now time.Time) bool {
	return t.inService() && !now.Before(t.backoffUntil)
}

// inService reports whether the target may get calls now or after a backoff.
func (t *targetState) inService() bool {
	return !t.barred && !t.zoneOut && !t.registration.Draining && !t.leaving
}

// avoid keeps the target from getting calls of an instance. The end is randomized so that
// waiting clients don't all come back at once.
func (t *targetState) avoid(from hemlocktally.InstanceID, span time.Duration, now time.Time) {
	if t.avoidUntil == nil {
		t.avoidUntil = map[hemlocktally.InstanceID]time.Time{}
	}
	maps.DeleteFunc(t.avoidUntil, func(_ hemlocktally.InstanceID, until time.Time) bool { return !now.Before(until) })
	spread := 1 + avoidJitter*rand.Float64()
	t.avoidUntil[from] = laterOf(t.avoidUntil[from], now.Add(time.Duration(spread*float64(span))))
}

// avoidedFor returns how much longer the target wants no calls from the instance.
func (t *targetState) avoidedFor(from hemlocktally.InstanceID, now time.Time) time.Duration {
	return max(0, t.avoidUntil[from].Sub(now))
}

// idleConnections counts the connections of one instance to a target that carry no call.
type idleConnections struct {
	count int
	at    time.Time // at is when a call last ended on one of them.
}

// hasIdleConnection reports whether the instance should have an idle connection to the target.
func (t *targetState) hasIdleConnection(instance hemlocktally.InstanceID, now time.Time) bool {
	idle := t.connections[instance]
	return idle.count > 0 && now.Sub(idle.at) < idleConnectionTTL
}

// takeConnection records that a call of the instance uses an idle connection, if there is one.
func (t *targetState) takeConnection(instance hemlocktally.InstanceID) {
	if idle := t.connections[instance]; idle.count > 0 {
		idle.count--
		t.connections[instance] = idle
	}
}

// addIdleConnection records that a call of the instance ended and left its connection
// reusable.
func (t *targetState) addIdleConnection(instance hemlocktally.InstanceID, now time.Time) {
	idle := t.connections[instance]
	if now.Sub(idle.at) >= idleConnectionTTL {
		// Connections that were idle for so long are closed.
		idle.count = 0
	}
	t.connections[instance] = idleConnections{count: idle.count + 1, at: now}
}

// expectedPace returns the last reported pace, which decays to the mean with the age of the
// report.
func (t *targetState) expectedPace(mean float64, now time.Time) float64 {
	if t.paceAt.IsZero() {
		return mean
	}
	kept := math.Exp(-float64(now.Sub(t.paceAt)) / float64(paceDecay))
	return mean + (t.pace-mean)*kept
}

func (t *targetState) reportAge(now time.Time) time.Duration {
	if t.paceAt.IsZero() {
		return -1
	}
	return now.Sub(t.paceAt)
}

// fresh reports whether the last report is recent enough to issue a grant without a probe.
func (t *targetState) fresh(now time.Time) bool {
	return !t.suspect && t.reportAge(now) >= 0 && t.reportAge(now) <= maxReportAge
}

// recordReport updates the state with an answer's report.
func (t *targetState) recordReport(answer hemlocktally.ResponseInfo, now time.Time) {
	t.failures, t.suspect = 0, false
	if answer.Load != nil && answer.Load.Pace > 0 {
		t.pace, t.paceAt = answer.Load.Pace, now
	}
	if answer.Cold {
		t.coldUntil = now.Add(answer.ColdFor)
	}
}

// recordResult updates the state with the result of an attempt.
func (t *targetState) recordResult(result hemlocktally.GrantResult, now time.Time) {
	switch result.Outcome {
	case hemlocktally.AttemptDone:
		t.recordReport(hemlocktally.ResponseInfo{Load: result.Load}, now)
		t.recordAnswer(false)
	case hemlocktally.AttemptRefused:
		t.recordAnswer(true)
		if result.Misdirected {
			t.backoffUntil = now.Add(misdirectedBackoff)
		}
	case hemlocktally.AttemptFailed:
		// A lost answer does not predict the fate of the next one. Forgetting the pace makes a
		// choice probe the target before it gets more calls.
		t.recordAnswer(true)
		t.paceAt = time.Time{}
	case hemlocktally.AttemptUnused:
		if result.Unreachable {
			t.backOff(now)
		}
	case hemlocktally.AttemptTimedOut:
		t.recordAnswer(true)
	case hemlocktally.AttemptCancelled:
	}
}

// backOff keeps the target from getting calls for a time that doubles with each failure.
func (t *targetState) backOff(now time.Time) {
	t.suspect = true
	wait := minBackoff << min(t.failures, maxDoublings)
	t.failures++
	t.backoffUntil = now.Add(min(wait, maxBackoff))
}

func (t *targetState) recordAnswer(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failureShare += failureWeight * (sample - t.failureShare)
}
