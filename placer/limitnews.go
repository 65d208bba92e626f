package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
)

// limitProbeInterval is how old the knowledge of a limit gets before the target is probed.
const limitProbeInterval = time.Second

// learnLimits applies what a client knows of the limits of targets.
func (s *State) learnLimits(limits []hemlocktally.TargetLimit, from hemlocktally.InstanceID, now time.Time) {
	for _, l := range limits {
		if t := s.targets[l.Target]; t != nil && t.target.Started == l.Started {
			s.learnLimit(t, l.Limit, from, now)
		}
	}
}

// learnLimit applies what a response of the target said about its limit, unless a later one is
// known.
func (s *State) learnLimit(t *targetState, limit hemlocktally.RateLimit, from hemlocktally.InstanceID, now time.Time) {
	budget := &t.rate
	if limit.At.Before(budget.limit.At) || (!limit.Named && budget.limit.At.IsZero()) {
		return
	}
	before := budget.limit
	s.refill(t, now)
	budget.limit, budget.reportedBy = limit, from
	if limit.Same(before) {
		return
	}
	if before.At.IsZero() {
		// Owners that take over one after the other must not each start with a whole call.
		budget.tokens = rand.Float64()
	}
	budget.tokens = min(budget.tokens, s.limitCapacity(t))
	budget.aloneTurn, budget.probeNames, budget.probeSilent = time.Time{}, false, false
	s.limitVersion++
	budget.version = s.limitVersion
	s.limitChanges = append(s.limitChanges, LimitCmd{Target: t.target.Name, Limit: limit, Before: before, ReportedBy: from})
	s.countLimited()
}

// learnProbedLimit applies the answer to a probe. Where probe answers don't name the limits
// that responses to calls name, their silence says nothing.
func (s *State) learnProbedLimit(t *targetState, limit hemlocktally.RateLimit, now time.Time) {
	limit.At = now
	if limit.Named || t.rate.probeNames {
		s.learnLimit(t, limit, s.Owner, now)
	}
	t.rate.probeNames = limit.Named
	t.rate.probeSilent = t.rate.limit.Named && !limit.Named
}

// limitNews returns the limits that changed since the version, which may be from an earlier run
// of the owner.
func (s *State) limitNews(since uint64) LimitNews {
	if s.limitVersion == 0 {
		return LimitNews{}
	}
	const counterBits = 32
	epoch := xxhash.Sum64String(s.Epoch) << counterBits
	news := LimitNews{Version: epoch | uint64(s.limitVersion)}
	if since == news.Version {
		return news
	}
	known := uint32(0)
	if since&^math.MaxUint32 == epoch {
		known = uint32(since & math.MaxUint32)
	}
	for _, t := range s.sorted {
		if t.rate.version > known {
			news.Limits = append(news.Limits, hemlocktally.TargetLimit{Target: t.target.Name, Started: t.target.Started, Limit: t.rate.limit})
		}
	}
	return news
}

// countLimited updates the list of targets that name a limit.
func (s *State) countLimited() {
	s.limited = s.limited[:0]
	for _, t := range s.sorted {
		if t.rate.limit.Named {
			s.limited = append(s.limited, t)
		}
	}
}

// probeLimits probes the limited targets whose limits were last heard of too long ago, so that
// a limit that was lifted is not kept for want of calls.
func (s *State) probeLimits(now time.Time) []any {
	if s.Alone || s.service.ProbePath == "" || s.disabled(hemlocktally.MechanismLoadQuestions) {
		return nil
	}
	var commands []any
	for _, t := range s.limited {
		due := now.Sub(t.rate.limit.At) >= limitProbeInterval && now.Sub(t.probedAt) >= t.rate.probeInterval()
		if due && !t.probing && t.accepting(now) && t.avoidedFor(s.Owner, now) == 0 {
			commands = append(commands, s.probe(t, now))
		}
	}
	return commands
}

// probeInterval returns the time between two probes that ask for the limit.
func (b *rateBudget) probeInterval() time.Duration {
	if b.probeSilent {
		return limitRetestAge
	}
	return limitProbeInterval
}
