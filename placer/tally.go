package placer

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"hemlocktally"
)

// turn is one turn in use.
type turn struct {
	contract hemlocktally.ContractName
	from     hemlocktally.InstanceID
	deadline time.Time
	pace     float64 // pace is what was believed of the target when the turn was given.
	at       level   // at is how full the target was with it.
}

// tally is what the owner knows of one target.
type tally struct {
	registration hemlocktally.Registration
	target       hemlocktally.Target
	number       int // number is its place among the targets of the service.
	width        int // width is how many calls at once it gets, as worked out at widthAt.
	widthAt      time.Time
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
	joined    bool // joined is set where the target came while others were known.
	left      bool // left is set once it said itself that it leaves; that holds for its life, whatever a list says.
	// away holds until when it wants nothing of an instance.
	away  map[hemlocktally.InstanceID]time.Time
	links map[hemlocktally.InstanceID]idleLinks // links holds the idle links of instances.
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
	awaySpread    = 0.1             // awaySpread is the part by which the time that a target wants nothing is drawn out at random.
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

// next is how full the target is with one call more.
func (t *tally) next(now time.Time) level {
	return level{slots: t.target.SlotCount(), busy: min(t.target.SlotCount(), t.busy(now)+1)}
}

// open reports whether the target may get a call now, leaving its slots aside.
func (t *tally) open(now time.Time) bool {
	return t.mayReturn() && !now.Before(t.holdUntil)
}

// mayReturn reports whether nothing but time keeps the target from getting calls.
func (t *tally) mayReturn() bool { return !t.out && !t.registration.Draining && !t.left }

// stayAway keeps the target from getting calls of an instance. The end is spread,
// so that those who wait for it don't all come back at once.
func (t *tally) stayAway(from hemlocktally.InstanceID, span time.Duration, now time.Time) {
	if t.away == nil {
		t.away = map[hemlocktally.InstanceID]time.Time{}
	}
	maps.DeleteFunc(t.away, func(_ hemlocktally.InstanceID, until time.Time) bool { return !now.Before(until) })
	spread := 1 + awaySpread*rand.Float64()
	t.away[from] = later(t.away[from], now.Add(time.Duration(spread*float64(span))))
}

// awayFor returns how long the target still wants nothing of the instance.
func (t *tally) awayFor(from hemlocktally.InstanceID, now time.Time) time.Duration {
	return max(0, t.away[from].Sub(now))
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

// idleLinks are the links of one instance to a target that carry no call.
type idleLinks struct {
	count int
	at    time.Time // at is when a call last ended on one of them.
}

// linked reports whether the instance should have an idle link to the target.
func (t *tally) linked(instance hemlocktally.InstanceID, now time.Time) bool {
	l := t.links[instance]
	return l.count > 0 && now.Sub(l.at) < linkLasts
}

// linkIsTaken notes that a call of the instance uses a link, a new one where it has
// none.
func (t *tally) linkIsTaken(instance hemlocktally.InstanceID) {
	if l := t.links[instance]; l.count > 0 {
		l.count--
		t.links[instance] = l
	}
}

// linkIsIdle notes that a call of the instance has ended and left its link usable.
func (t *tally) linkIsIdle(instance hemlocktally.InstanceID, now time.Time) {
	l := t.links[instance]
	if now.Sub(l.at) >= linkLasts {
		l.count = 0 // What was idle for so long is closed.
	}
	t.links[instance] = idleLinks{count: l.count + 1, at: now}
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

// ended takes over what the end of an attempt tells of the target.
func (t *tally) ended(result hemlocktally.GrantResult, now time.Time) {
	switch result.Outcome {
	case hemlocktally.AttemptDone:
		t.heard(hemlocktally.AnswerHeader{Load: result.Load}, now)
		t.answered(false)
	case hemlocktally.AttemptRefused:
		t.answered(true)
		if result.Elsewhere {
			t.holdUntil = now.Add(elsewhereHold)
		}
	case hemlocktally.AttemptFailed:
		// An answer that was lost says nothing of whether the next one will be; the
		// target is asked for its load before it gets more.
		t.answered(true)
		t.paceAt = time.Time{}
	case hemlocktally.AttemptUnused:
		if result.Unreachable {
			t.unreachable(now)
		}
	case hemlocktally.AttemptTimedOut:
		t.answered(true)
	case hemlocktally.AttemptCancelled:
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
