package allocator

import (
	"time"

	"hemlocktally"
)

// A target is measured only where nothing was heard of it for this long.
const (
	quietWhileCold = time.Second
	quietWhileWarm = 10 * time.Second
	probeTimeout   = time.Second
)

func (t *tally) quietBound() time.Duration {
	if t.warm() {
		return quietWhileWarm
	}
	return quietWhileCold
}

// probeDue reports whether a measurement of the target is wanted.
func (t *tally) probeDue(now time.Time) bool {
	if t.out || t.probing || len(t.inFlight) > 0 {
		return false
	}
	return now.Sub(t.heardAt) >= t.quietBound()
}

// probe measures a target of which nothing recent is known, within the budget
// and only while the budget is this owner's alone.
func (s *State) probe(now time.Time) []Command {
	if s.config.ProbePath == "" || !now.Before(s.standing.Until) {
		s.probes.filled = now
		return nil
	}
	s.probes.refill(now)
	var commands []Command
	for _, t := range s.targets {
		if !t.probeDue(now) {
			continue
		}
		if !s.probes.bucket.take() {
			s.probes.refused++
			return commands
		}
		s.probes.spent++
		t.probing = true
		commands = append(commands, ProbeCmd{Target: t.target, Path: s.config.ProbePath})
	}
	return commands
}

// nextProbe returns when a probe may be due, or the zero time.
func (s *State) nextProbe() time.Time {
	var next time.Time
	if s.config.ProbePath == "" || !s.asOf.Before(s.standing.Until) {
		return next
	}
	for _, t := range s.targets {
		if t.out || t.probing || len(t.inFlight) > 0 {
			continue
		}
		at := t.heardAt.Add(t.quietBound())
		if token := s.probes.next(s.asOf); token.After(at) {
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
func (s *State) measured(msg ProbeMsg, now time.Time) {
	t := s.byName[msg.Target]
	if t == nil {
		return
	}
	t.probing = false
	t.heardAt = now
	if msg.Failed {
		t.fail(now)
		return
	}
	if t.state() == hemlocktally.TargetDraining && msg.State != hemlocktally.TargetDraining {
		t.fire(eventReturn, "it no longer drains")
	}
	s.compare(t, msg)
	if t.lies >= liesToDistrust {
		return
	}
	switch msg.State {
	case hemlocktally.TargetDraining:
		t.fire(eventDrain, "it reports that it drains")
	case hemlocktally.TargetCold:
		t.fire(eventChill, "it reports that it is cold")
	case hemlocktally.TargetWarm, hemlocktally.TargetGone:
	}
}

// compare sets the target's report beside its answers. A target whose answers
// say that it is cold, or whose calls are in flight, while it reports to be
// warm and idle, lies or lags.
func (s *State) compare(t *tally, msg ProbeMsg) {
	if !msg.Reported {
		return
	}
	slow := t.latency.known && s.latency.known() && time.Duration(t.latency.value) > s.latency.p95
	contradicts := msg.State == hemlocktally.TargetWarm && (t.saidCold || slow)
	if contradicts || (msg.InFlight == 0 && len(t.inFlight) >= t.target.SlotCount()) {
		t.lies++
		return
	}
	agrees := (msg.State == hemlocktally.TargetCold && t.saidCold) || (msg.InFlight > 0 && len(t.inFlight) > 0)
	if agrees {
		t.lies = max(0, t.lies-1)
	}
}
