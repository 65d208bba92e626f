package allocator

import (
	"fmt"
	"time"

	"hemlocktally"
)

// checkInvariants returns a command for each invariant that does not hold after a
// step. It recounts from the commands and the grants in flight, independent of
// how targets were chosen.
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
			report("AnsweredOnce", "ticket %d was answered and still waits", ticket)
		}
	}
	if s.probes.tokenBucket.tokens < 0 {
		report("ProbeBudget", "the probe budget has %f tokens", s.probes.tokenBucket.tokens)
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
		report("NoWorkWhenOut", "target %s is out of service or %s", grant.Target.Name, t.state())
	}
	if t.cold() && (len(t.inFlight) > t.coldLimit || !now.Before(s.exclusivity.Until) || !now.Before(grant.LeaseEnd)) {
		report("ColdLimit", "cold target %s has %d calls in flight, limit %d, or the owner is not the only one", grant.Target.Name, len(t.inFlight), t.coldLimit)
	}
	if len(t.inFlight) > 2*t.target.SlotCount() {
		report("Limit", "target %s has %d calls in flight for %d slots", grant.Target.Name, len(t.inFlight), t.target.SlotCount())
	}
}
