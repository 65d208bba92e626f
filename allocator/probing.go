package allocator

import (
	"time"

	"hemlocktally"
)

// A target is measured only where nothing was heard of it for this long.
const (
	coldProbeInterval = time.Second
	warmProbeInterval = 10 * time.Second
	probeTimeout      = time.Second
)

func (t *targetTracker) probeInterval() time.Duration {
	if t.warm() {
		return warmProbeInterval
	}
	return coldProbeInterval
}

// probeDue reports whether a measurement of the target is wanted.
func (t *targetTracker) probeDue(now time.Time) bool {
	if t.outOfService || t.probeInFlight || len(t.inFlight) > 0 {
		return false
	}
	return now.Sub(t.lastHeard) >= t.probeInterval()
}

// probe measures a target of which nothing recent is known, within the budget
// and only while the budget is this owner's alone.
func (s *State) issueProbes(now time.Time) []Command {
	if s.config.ProbePath == "" || !now.Before(s.exclusivity.Until) {
		s.probes.refilledAt = now
		return nil
	}
	s.probes.refill(now)
	var commands []Command
	for _, t := range s.targets {
		if !t.probeDue(now) {
			continue
		}
		if !s.probes.tokenBucket.take() {
			s.probes.refused++
			return commands
		}
		s.probes.spent++
		t.probeInFlight = true
		commands = append(commands, ProbeCmd{Target: t.target, Path: s.config.ProbePath})
	}
	return commands
}

// nextProbe returns when a probe may be due, or the zero time.
func (s *State) nextProbe() time.Time {
	var next time.Time
	if s.config.ProbePath == "" || !s.updatedAt.Before(s.exclusivity.Until) {
		return next
	}
	for _, t := range s.targets {
		if t.outOfService || t.probeInFlight || len(t.inFlight) > 0 {
			continue
		}
		at := t.lastHeard.Add(t.probeInterval())
		if token := s.probes.nextTokenAt(s.updatedAt); token.After(at) {
			at = token
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// measured takes in a measurement. It can only make the owner more careful: a
// good report makes no target warm, and one that answers disproved is not
// believed any more.
func (s *State) recordProbe(msg ProbeMsg, now time.Time) {
	t := s.byName[msg.Target]
	if t == nil {
		return
	}
	t.probeInFlight = false
	t.lastHeard = now
	if msg.Failed {
		t.recordFailure(now)
		return
	}
	if t.state() == hemlocktally.TargetDraining && msg.State != hemlocktally.TargetDraining {
		t.transition(eventReturn, "it no longer drains")
	}
	s.compareReport(t, msg)
	if t.disprovedReports >= maxDisprovedReports {
		return
	}
	switch msg.State {
	case hemlocktally.TargetDraining:
		t.transition(eventDrain, "it reports that it drains")
	case hemlocktally.TargetCold:
		t.transition(eventTurnCold, "it reports that it is cold")
	case hemlocktally.TargetWarm, hemlocktally.TargetGone:
	}
}

// compare sets the target's report beside its answers. A target whose answers
// say that it is cold, or whose calls are in flight, while it reports to be
// warm and idle, lies or lags.
func (s *State) compareReport(t *targetTracker, msg ProbeMsg) {
	if !msg.Reported {
		return
	}
	slow := t.latency.initialized && s.latency.hasQuantiles() && time.Duration(t.latency.value) > s.latency.p95
	contradicts := msg.State == hemlocktally.TargetWarm && (t.saidCold || slow)
	if contradicts || (msg.InFlight == 0 && len(t.inFlight) >= t.target.SlotCount()) {
		t.disprovedReports++
		return
	}
	agrees := (msg.State == hemlocktally.TargetCold && t.saidCold) || (msg.InFlight > 0 && len(t.inFlight) > 0)
	if agrees {
		t.disprovedReports = max(0, t.disprovedReports-1)
	}
}
