package allocator

import (
	"time"

	"hemlocktally"
)

// A target is probed only if nothing was heard from it for its probe interval.
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

// probeDue reports whether the target should be probed: it is in service, idle,
// and was not heard from for its probe interval.
func (t *targetTracker) probeDue(now time.Time) bool {
	if t.outOfService || t.probeInFlight || len(t.inFlight) > 0 {
		return false
	}
	return now.Sub(t.lastHeard) >= t.probeInterval()
}

// issueProbes probes the targets that are due, within the budget. It does so only
// while this owner is the only one, because the budget is that of the whole service.
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

// nextProbe returns when the next probe may be due, or the zero time if none is.
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

// recordProbe updates a target from the result of a probe. A probe never makes a
// target warm: it can only reduce the load, apart from a draining target that
// becomes cold. Once maxDisprovedReports reports were contradicted by responses,
// the reported state is ignored.
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
		t.transition(eventReturn, "it is no longer draining")
	}
	s.compareReport(t, msg)
	if t.disprovedReports >= maxDisprovedReports {
		return
	}
	switch msg.State {
	case hemlocktally.TargetDraining:
		t.transition(eventDrain, "its load report says that it is draining")
	case hemlocktally.TargetCold:
		t.transition(eventTurnCold, "its load report says that it is cold")
	case hemlocktally.TargetWarm, hemlocktally.TargetGone:
	}
}

// compareReport counts load reports that contradict what is known of the target,
// because they are false or late: it reports to be warm while its responses are
// slow or say that it is cold, or reports no calls in flight while all its slots
// are in use. A report that agrees lowers the count by one.
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
