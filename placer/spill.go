package placer

import "time"

// spills reports whether a question is sent to the owners of other zones where
// nothing here is quick: once, but each time while there is no target here at all.
func (s *State) spills(msg AskMsg, now time.Time) bool {
	return s.share.split() && (!msg.Spilled || !s.hasOpen(now))
}

// spill sends a question on. One that visits is told that there is nothing.
func (s *State) spill(msg AskMsg, now time.Time) SpillCmd {
	return SpillCmd{Ticket: msg.Ticket, Empty: !s.hasOpen(now)}
}

// hasOpen reports whether a target of this owner may get calls at all.
func (s *State) hasOpen(now time.Time) bool {
	for _, t := range s.order {
		if s.share.leads(t.target.Zone) && t.open(now) {
			return true
		}
	}
	return false
}
