package placer

import (
	"math"
	"time"

	"hemlocktally"
)

// turn is one turn in use.
type turn struct {
	contract hemlocktally.ContractName
	from     hemlocktally.InstanceID
	deadline time.Time
	pace     float64 // pace is what was believed of the target when the turn was given.
	last     bool    // last is set where the turn took the target's last free slot.
}

// tally is what the owner knows of one target.
type tally struct {
	registration hemlocktally.Registration
	target       hemlocktally.Target
	out          bool
	turns        map[hemlocktally.GrantID]turn

	pace      float64 // pace is the last one reported.
	paceAt    time.Time
	others    int // others are calls that it reported beyond the turns given here.
	othersAt  time.Time
	coldUntil time.Time
	coldSent  []time.Time // coldSent holds the calls of the last second to a cold target.

	probing   bool
	askedAt   time.Time
	suspect   bool // suspect is set after failures, until it answers again.
	holdUntil time.Time
	failures  int     // failures counts failures to reach it in a row.
	faulty    float64 // faulty is the moving share of its answers that were failures.
	usedAt    time.Time
	// links holds when each instance last ended a call there: it has an idle link.
	links map[hemlocktally.InstanceID]time.Time
}

const (
	paceLasts     = 350 * time.Millisecond // paceLasts is the time in which a reported pace loses most of its worth.
	othersLast    = 250 * time.Millisecond // othersLast is how long a report of others' calls counts.
	firstHold     = 100 * time.Millisecond
	longestHold   = 2 * time.Second
	maxDoublings  = 5
	faultyWeight  = 0.2
	coldSlowdown  = 2.0 // coldSlowdown is how much longer work takes on a cold target.
	unknownPace   = 1.6 // unknownPace is expected of a target before any report.
	coldSpan      = time.Second
	elsewhereHold = time.Second
	linkLasts     = 7 * time.Second // linkLasts is how long an instance is taken to have an idle link; links close after more than that.
)

func (t *tally) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// busy is how many calls it has, others' included.
func (t *tally) busy(now time.Time) int {
	if now.Sub(t.othersAt) > othersLast {
		return len(t.turns)
	}
	return len(t.turns) + t.others
}

// open reports whether the target may get a call now, leaving its slots aside.
func (t *tally) open(now time.Time) bool {
	return !t.out && !t.registration.Draining && !now.Before(t.holdUntil)
}

// coldRoom reports whether a cold target bears one more call this second.
func (t *tally) coldRoom(perSecond, share float64, now time.Time) bool {
	kept := t.coldSent[:0]
	for _, at := range t.coldSent {
		if now.Sub(at) < coldSpan {
			kept = append(kept, at)
		}
	}
	t.coldSent = kept
	if share <= 0 {
		return false
	}
	return len(t.coldSent) < int(math.Max(1, math.Floor(perSecond*share)))
}

// linked reports whether the instance should have an idle link to the target.
func (t *tally) linked(instance hemlocktally.InstanceID, now time.Time) bool {
	at, ok := t.links[instance]
	return ok && now.Sub(at) < linkLasts
}

// expectedPace is the pace by the last report, drawn to the mean as it ages.
func (t *tally) expectedPace(mean float64, now time.Time) float64 {
	if t.paceAt.IsZero() {
		return mean
	}
	kept := math.Exp(-float64(now.Sub(t.paceAt)) / float64(paceLasts))
	return mean + (t.pace-mean)*kept
}

func (t *tally) age(now time.Time) time.Duration {
	if t.paceAt.IsZero() {
		return -1
	}
	return now.Sub(t.paceAt)
}

// fresh reports whether the last report is new enough to give a turn by it.
func (t *tally) fresh(now time.Time) bool {
	return !t.suspect && t.age(now) >= 0 && t.age(now) <= freshFor
}

// heard takes over what an answer says of the target.
func (t *tally) heard(answer hemlocktally.AnswerHeader, now time.Time) {
	t.failures, t.suspect = 0, false
	if answer.Load != nil && answer.Load.Pace > 0 {
		t.pace, t.paceAt = answer.Load.Pace, now
	}
	if answer.Cold {
		t.coldUntil = now.Add(answer.ColdFor)
	}
}

// unreachable holds the target off for a time that doubles with each failure.
func (t *tally) unreachable(now time.Time) {
	t.suspect = true
	wait := firstHold << min(t.failures, maxDoublings)
	t.failures++
	t.holdUntil = now.Add(min(wait, longestHold))
}

func (t *tally) answered(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.faulty += faultyWeight * (sample - t.faulty)
}
