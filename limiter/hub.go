package limiter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hemlocktally"
)

// hub is another hub, as far as shares are concerned.
type hub struct {
	incarnation string
	address     string
	inView      bool
	// contactAt is when the last message was sent that the hub answered. Until the first one it
	// is when the hub was first known.
	contactAt time.Time
	silent    bool // silent is set once contactAt is silenceTime old.
	// silentTo holds the hubs that have not answered this one lately, as it says.
	silentTo []hemlocktally.InstanceID
}

// Times after which shares change without an agreement.
const (
	// silenceTime is how long after its last contact a hub keeps a share that is larger than an
	// equal one.
	silenceTime = time.Second
	// equalShareDelay is how long after its last contact with any other hub, and one window, a hub
	// raises its share to an equal one. The others have lowered theirs by then, and what they
	// granted before is too old to count.
	equalShareDelay = 1500 * time.Millisecond
	// loneTime is how long a hub without contact to other hubs and to the store uses an equal
	// share. It is less than lostTime because the others use that share again then: the hub is
	// no longer listed once its lease in the store has ended.
	loneTime = 25 * time.Second
	// lostTime is how long the share of a hub without contact is left unused.
	lostTime = 30 * time.Second
	// memberGrace is how long an instance that is no hub any more keeps its shares: others may
	// still take it for an owner.
	memberGrace = 3 * time.Second
)

// SetHubs sets the hubs that the instance knows.
func (s *State) SetHubs(hubs []hemlocktally.Instance, now time.Time) {
	s.start(now)
	wasMember, shared := s.member, s.Shares(now)
	s.member = slices.ContainsFunc(hubs, func(i hemlocktally.Instance) bool { return i.ID == s.Self })
	if s.member && !shared {
		s.join(now)
	}
	for _, h := range s.hubs {
		h.inView = false
	}
	for _, instance := range hubs {
		if instance.ID == s.Self {
			continue
		}
		if s.gone[instance.ID] < instance.Incarnation {
			s.meet(instance.ID, instance.Incarnation, now)
		}
		if h := s.hubs[instance.ID]; h != nil && h.incarnation == instance.Incarnation {
			h.inView, h.address = true, instance.PeerAddress
		}
	}
	if wasMember && !s.member {
		s.memberTill = now.Add(memberGrace)
	}
}

// join begins the instance's time as a hub. What it knows of others is of the time when it did not
// exchange messages with them.
func (s *State) join(now time.Time) {
	s.joinedAt, s.knownSince, s.told = now, now, nil
	clear(s.hubs)
	clear(s.gone)
	for _, a := range s.accounts {
		s.forget(a)
	}
}

// Shares reports whether the instance holds shares: it is a hub, or was one a moment ago.
func (s *State) Shares(now time.Time) bool {
	return !s.leaving && (s.member || now.Before(s.memberTill))
}

// Leave makes the instance give its shares up.
func (s *State) Leave() { s.leaving = true }

// meet adds a hub, or replaces its earlier run.
func (s *State) meet(id hemlocktally.InstanceID, incarnation string, now time.Time) {
	known := s.hubs[id]
	if known != nil && known.incarnation >= incarnation {
		return
	}
	address := ""
	if known != nil {
		s.Depart(id, known.incarnation, true, now)
		address = known.address
	}
	s.hubs[id] = &hub{incarnation: incarnation, address: address, contactAt: now}
	s.newHub = true
	delete(s.gone, id)
	for _, a := range s.accounts {
		a.changed = true // The hub knows no shares yet.
	}
}

// runID names one run of a hub.
func runID(id hemlocktally.InstanceID, incarnation string) hemlocktally.InstanceID {
	return id + "/" + hemlocktally.InstanceID(incarnation)
}

// Depart removes a hub that has ended. crashed tells that it may have granted calls after its
// last report.
func (s *State) Depart(id hemlocktally.InstanceID, incarnation string, crashed bool, now time.Time) {
	h := s.hubs[id]
	if h == nil || h.incarnation != incarnation {
		return
	}
	delete(s.hubs, id)
	s.gone[id] = incarnation
	for _, a := range s.accounts {
		_, shared := s.allowed(a, now)
		a.depart(id, runID(id, incarnation), shared, crashed, s.bucket(now))
	}
}

// hasHubs reports whether any other hub may use a share.
func (s *State) hasHubs() bool { return len(s.hubs) > 0 }

// equalShare returns the share of each hub if all have the same.
func (s *State) equalShare() float64 { return inUnits(1 / float64(len(s.hubs)+1)) }

// checkSilence lowers and raises shares because of hubs without contact.
func (s *State) checkSilence(now time.Time) {
	lone := s.hasHubs()
	last := s.startedAt
	for _, id := range slices.Sorted(maps.Keys(s.hubs)) {
		h := s.hubs[id]
		age := now.Sub(h.contactAt)
		switch {
		case age < silenceTime:
			h.silent = false
		case age > lostTime && !h.inView:
			s.Depart(id, h.incarnation, false, now)
		case !h.silent:
			s.makeRoom(id)
			h.silent = true
		case age > equalShareDelay+s.Bounds.Window && s.silentToAll(id):
			s.limitShare(id)
		}
		lone = lone && h.silent
		if h.contactAt.After(last) {
			last = h.contactAt
		}
	}
	s.lone = lone
	if s.lone {
		s.setLoneShare(now.Sub(last))
	}
}

// makeRoom lowers the shares so that a hub without contact can use an equal one. All hubs that
// still reach each other lower theirs by the same factor.
func (s *State) makeRoom(id hemlocktally.InstanceID) {
	equal := s.equalShare()
	for _, a := range s.accounts {
		h := a.hub(id)
		rest := 1.0
		for other, silent := range s.hubs {
			if silent.silent && other != id {
				rest -= equal
			}
		}
		if h.share < equal && rest > h.share {
			a.share = inUnits(a.share * max(0, rest-equal) / (rest - h.share))
		}
		h.share = max(h.share, equal)
		a.changed = true
	}
}

// silentToAll reports whether a hub has answered none of the hubs with which this one has
// contact. It uses at most an equal share then.
func (s *State) silentToAll(id hemlocktally.InstanceID) bool {
	for other, h := range s.hubs {
		if other != id && !h.silent && !slices.Contains(h.silentTo, id) {
			return false
		}
	}
	return true
}

// limitShare notes that a hub uses at most an equal share.
func (s *State) limitShare(id hemlocktally.InstanceID) {
	for _, a := range s.accounts {
		a.hub(id).share = s.equalShare()
	}
}

// setLoneShare sets the shares of a hub that has had no contact for the given time.
func (s *State) setLoneShare(silence time.Duration) {
	equal := s.equalShare()
	for _, a := range s.accounts {
		before := a.share
		switch {
		case silence > loneTime && s.storeLost:
			a.share = 0
		case silence > equalShareDelay+s.Bounds.Window:
			a.share = equal
		default:
			a.share = min(a.share, equal)
		}
		a.changed = a.changed || a.share != before
	}
}

// SetStoreLost tells whether the instance has no contact to the store.
func (s *State) SetStoreLost(lost bool) { s.storeLost = lost }

// sortedAccounts returns the accounts by name.
func (s *State) sortedAccounts() []*account {
	return slices.SortedFunc(maps.Values(s.accounts), func(a, b *account) int { return strings.Compare(string(a.name), string(b.name)) })
}
