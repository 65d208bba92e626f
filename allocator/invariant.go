package allocator

import (
	"fmt"
	"time"

	"hemlocktally"
)

// check asserts what must hold after each step. It recounts from the commands
// and the tally, and does not rely on how the choice was made.
func (s *State) check(commands []Command, now time.Time) []Command {
	var broken []Command
	fail := func(invariant, format string, values ...any) {
		broken = append(broken, BrokenCmd{Invariant: invariant, Detail: fmt.Sprintf(format, values...)})
	}
	answered := map[uint64]bool{}
	for _, command := range commands {
		switch command := command.(type) {
		case GrantCmd:
			if answered[command.Ticket] {
				fail("AnsweredOnce", "ticket %d", command.Ticket)
			}
			answered[command.Ticket] = true
			s.checkGrant(command.Grant, now, fail)
		case RefuseCmd:
			if answered[command.Ticket] {
				fail("AnsweredOnce", "ticket %d", command.Ticket)
			}
			answered[command.Ticket] = true
		}
	}
	for ticket := range answered {
		if _, waiting := s.queue.tickets[ticket]; waiting {
			fail("AnsweredOnce", "ticket %d still waits", ticket)
		}
	}
	if s.probes.bucket.tokens < 0 {
		fail("ProbeBudget", "%f tokens", s.probes.bucket.tokens)
	}
	return broken
}

func (s *State) checkGrant(grant hemlocktally.Grant, now time.Time, fail func(invariant, format string, values ...any)) {
	t := s.byName[grant.Target.Name]
	if t == nil {
		fail("KnownTarget", "%s", grant.Target.Name)
		return
	}
	if t.out || t.state() == hemlocktally.TargetDraining || t.state() == hemlocktally.TargetGone {
		fail("NoWorkWhenOut", "%s is out or %s", grant.Target.Name, t.state())
	}
	if t.cold() && (len(t.inFlight) > t.bears || !now.Before(s.standing.Until) || !now.Before(grant.LeaseEnd)) {
		fail("ColdLimit", "%s has %d of %d", grant.Target.Name, len(t.inFlight), t.bears)
	}
	if len(t.inFlight) > 2*t.target.SlotCount() {
		fail("Limit", "%s has %d for %d slots", grant.Target.Name, len(t.inFlight), t.target.SlotCount())
	}
}
