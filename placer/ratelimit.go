package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hemlocktally"
)

// Shares of a target's limit. A limit holds for all instances together, but several may count
// at the same time: two that both take themselves for the first owner, owners further down the
// order that are asked in its place, and instances that reach no owner. Together they stay
// below 1.5 times the limit.
const (
	// firstOwnerLimitShare is the share that the first owner uses, and also that all further
	// owners use together.
	firstOwnerLimitShare = 0.65
	// aloneLimitShare is the share that all instances that decide alone use together.
	aloneLimitShare = 0.15

	// limitBurst is the time for which unused calls are saved up, though at least one call is.
	limitBurst = 50 * time.Millisecond
	// aloneTurnWindow is how long a turn of an instance that decides alone stays valid. Turns
	// that were saved up would be used by many instances at the same moment.
	aloneTurnWindow = 250 * time.Millisecond
	// minLimitRate is the least rate of calls, per second, that an owner sends to a limited
	// target. Only a response tells that the limit was lifted.
	minLimitRate = 1.0 / 60
	// limitRetestAge is the age of that knowledge from which a limited target is not ranked
	// behind the others.
	limitRetestAge = 5 * time.Second
	// maxLimitsShown is how many limits the detail of a refusal lists.
	maxLimitsShown = 3
)

// Rank is the place of an owner among those of a service, in its own view.
type Rank struct {
	Further bool // Further is set if another instance is the first owner.
	Others  int  // Others is the number of owners besides the first.
}

// rateBudget counts the grants on one target against the limit that it named. The zero value
// has no limit.
type rateBudget struct {
	limit hemlocktally.RateLimit
	// reportedBy is the instance that reported the limit.
	reportedBy hemlocktally.InstanceID
	tokens     float64
	filledAt   time.Time
	version    uint32    // version is the State's limitVersion of the last change.
	aloneTurn  time.Time // aloneTurn is when the next turn of an instance that decides alone begins.
	// probeNames is set if probe answers name the limit too, so that one that names none lifts
	// it. probeSilent is set if one did not although the limit held.
	probeNames, probeSilent bool
}

// countsLimits reports whether any target names a limit.
func (s *State) countsLimits() bool { return len(s.limited) > 0 }

// limitShare returns the share of a target's limit that this state uses.
func (s *State) limitShare() float64 {
	switch {
	case s.Alone:
		return aloneLimitShare / float64(max(minAloneInstances, s.instances))
	case s.ownerRank.Further:
		return firstOwnerLimitShare / float64(max(1, s.ownerRank.Others))
	default:
		return firstOwnerLimitShare
	}
}

// limitRate returns how many calls a second this state may send to a limited target.
func (s *State) limitRate(t *targetState) float64 {
	rate := s.limitShare() * t.rate.limit.PerSecond
	if !s.Alone {
		rate = max(rate, minLimitRate)
	}
	return rate
}

// limitCapacity returns how many calls to the target can be saved up.
func (s *State) limitCapacity(t *targetState) float64 {
	return max(1, s.limitRate(t)*limitBurst.Seconds())
}

// refill adds the calls that the limit has allowed since the last time.
func (s *State) refill(t *targetState, now time.Time) {
	budget := &t.rate
	if elapsed := now.Sub(budget.filledAt); budget.limit.Named && !budget.filledAt.IsZero() && elapsed > 0 {
		budget.tokens = min(s.limitCapacity(t), budget.tokens+s.limitRate(t)*elapsed.Seconds())
	}
	budget.filledAt = now
}

// withinLimit reports whether the target's limit allows one more call now.
func (s *State) withinLimit(t *targetState, now time.Time) bool {
	return !t.rate.limit.Named || s.limitWait(t, now) == 0
}

// limitWait returns how long the limit of the target holds the next call back. It returns
// forever if the limit never allows one.
func (s *State) limitWait(t *targetState, now time.Time) time.Duration {
	rate := s.limitRate(t)
	if rate <= 0 {
		return forever
	}
	if s.Alone {
		if t.rate.aloneTurn.IsZero() || now.Sub(t.rate.aloneTurn) > aloneTurnWindow {
			t.rate.drawTurn(rate, now)
		}
		return max(0, t.rate.aloneTurn.Sub(now))
	}
	s.refill(t, now)
	if t.rate.tokens >= 1 {
		return 0
	}
	return max(time.Microsecond, secondsOrForever((1-t.rate.tokens)/rate))
}

// drawTurn draws the time of the next turn of an instance that decides alone. Independent
// exponential intervals spread the turns of many instances evenly.
func (b *rateBudget) drawTurn(rate float64, now time.Time) {
	b.aloneTurn = now.Add(secondsOrForever(rand.ExpFloat64() / rate))
}

// forever stands for a time that is never reached.
const forever = 24 * time.Hour

func secondsOrForever(seconds float64) time.Duration {
	return time.Duration(min(seconds, forever.Seconds()) * float64(time.Second))
}

// spendLimit counts a grant against the target's limit.
func (s *State) spendLimit(t *targetState, now time.Time) {
	switch {
	case !t.rate.limit.Named:
	case s.Alone:
		t.rate.drawTurn(s.limitRate(t), now)
	default:
		t.rate.tokens--
	}
}

// refundLimit takes back a grant that was counted and not used.
func (s *State) refundLimit(t *targetState) {
	if t.rate.limit.Named && !s.Alone {
		t.rate.tokens = min(s.limitCapacity(t), t.rate.tokens+1)
	}
}

// limitsHoldBack reports whether a target with a free slot gets no call because of its limit.
func (s *State) limitsHoldBack(now time.Time) bool {
	return slices.ContainsFunc(s.limited, func(t *targetState) bool {
		return t.accepting(now) && t.busy(now) < s.concurrencyLimit(t, now) && !s.withinLimit(t, now)
	})
}

// limitsDetail describes the limits that are counted: what each target named, how long ago and
// to which instance.
func (s *State) limitsDetail(now time.Time) string {
	shown := make([]string, 0, maxLimitsShown)
	for _, t := range s.limited[:min(len(s.limited), maxLimitsShown)] {
		age := now.Sub(t.rate.limit.At).Round(time.Millisecond)
		shown = append(shown, fmt.Sprintf("%s names %s (%s ago, to %s)", t.target.Name, t.rate.limit, age, t.rate.reportedBy))
	}
	detail := "limits of targets: " + strings.Join(shown, ", ")
	if more := len(s.limited) - len(shown); more > 0 {
		detail += fmt.Sprintf(", and %d more", more)
	}
	return detail
}

// refuseOverLimits refuses a call for which only limited targets are left if the calls ahead
// of it use up what their limits allow within its objective.
func (s *State) refuseOverLimits(request hemlocktally.GrantRequest, available availability, ahead int, now time.Time) *hemlocktally.RefusedError {
	wait := available.limitedIn
	if available.limitedRate > 0 {
		wait += secondsOrForever(float64(ahead) / available.limitedRate)
	}
	inTime := request.Objective.Add(-s.promptTime(request.Contract))
	if back := available.retryIn; back > 0 && !available.avoided && !now.Add(back).After(inTime) {
		return nil // A target without a limit accepts calls again soon enough.
	}
	if available.limitedRate > 0 && (wait == 0 || !now.Add(wait).After(inTime)) {
		return nil
	}
	s.limitRefusals++
	comeBack := min(wait, maxRetryAfter)
	if available.limitedRate > 0 {
		// Without the mean time between two calls, all that are refused at the same moment would
		// come back for the same one.
		comeBack = max(comeBack, secondsOrForever(math.Min(1/available.limitedRate, maxRetryAfter.Seconds())))
	}
	return notRunError(hemlocktally.ReasonTargetLimit, s.limitsDetail(now), s.retryAfter(comeBack))
}
