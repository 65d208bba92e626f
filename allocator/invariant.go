package allocator

import (
	"fmt"
	"time"

	"hemlocktally"
)

// check asserts what must hold after each step. It recounts from the commands
// and the tally, and does not rely on how the choice was made.
func (s *State) checkInvariants(commands []Command, now time.Time) []Command {
	var broken []Command
	report := func(invariant, format string, values ...any) {
		broken = append(broken, InvariantBrokenCmd{Invariant: invariant, Detail: fmt.Sprintf(format, values...)})
	}
	answered := map[uint64]bool{}
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			if answered[command.Ticket] {
				report("AnsweredOnce", "ticket %d", command.Ticket)
			}
			answered[command.Ticket] = true
			s.checkGrant(command.Grant, now, report)
		case RefuseCmd:
			if answered[command.Ticket] {
				report("AnsweredOnce", "ticket %d", command.Ticket)
			}
			answered[command.Ticket] = true
		}
	}
	for ticket := range answered {
		if _, waiting := s.queue.tickets[ticket]; waiting {
			report("AnsweredOnce", "ticket %d still waits", ticket)
		}
	}
	if s.probes.tokenBucket.tokens < 0 {
		report("ProbeBudget", "%f tokens", s.probes.tokenBucket.tokens)
	}
	return broken
}

func (s *State) checkGrant(grant hemlocktally.Grant, now time.Time, report func(invariant, format string, values ...any)) {
	t := s.byName[grant.Target.Name]
	if t == nil {
		report("KnownTarget", "%s", grant.Target.Name)
		return
	}
	if t.outOfService || t.state() == hemlocktally.TargetDraining || t.state() == hemlocktally.TargetGone {
		report("NoWorkWhenOut", "%s is out or %s", grant.Target.Name, t.state())
	}
	if t.cold() && (len(t.inFlight) > t.coldLimit || !now.Before(s.exclusivity.Until) || !now.Before(grant.LeaseEnd)) {
		report("ColdLimit", "%s has %d of %d", grant.Target.Name, len(t.inFlight), t.coldLimit)
	}
	if len(t.inFlight) > 2*t.target.SlotCount() {
		report("Limit", "%s has %d for %d slots", grant.Target.Name, len(t.inFlight), t.target.SlotCount())
	}
}
