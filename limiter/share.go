package limiter

import (
	"maps"
	"slices"
	"time"

	"hemlocktally"
)

// Message is one direction of an exchange between two hubs.
type Message struct {
	From        hemlocktally.InstanceID
	Incarnation string
	Sequence    uint64
	Known       time.Duration // Known is for how long the sender has known all counts.
	Leaving     bool          // Leaving is set if the sender grants no more calls.
	Address     string
	Silent      []hemlocktally.InstanceID // Silent holds the hubs that have not answered the sender lately.
	Counts      []Count
}

// Count is what a hub reports about one customer.
type Count struct {
	Customer hemlocktally.CustomerName
	Recent   []uint32 // Recent holds the calls granted in each tenth of the window, the latest first.
	Share    float64
	Departed []Departed
	// Before is what was granted before the sender knew all counts, as far as instances told it.
	Before float64
	Raise  bool // Raise is set if the sender asks for the share and does not use it yet.
}

// Departed is what a run of a hub that is gone may have granted.
type Departed struct {
	Hub    hemlocktally.InstanceID // Hub names the hub and its run.
	Recent []uint32                // Recent is like that of Count.
}

const (
	// reportInterval is the time after which the counts of a customer are reported again.
	reportInterval = time.Second
	// busyPart is the part of the quota from which the counts are reported in each round.
	busyPart = 0.7
	// raiseStep is the factor by which a share has to grow to be asked for.
	raiseStep = 1.02
)

// Begin begins a round: it returns the message for all other hubs, and false if there is
// nothing to tell. early is set for a round that is held before its time because shares may be
// used up.
func (s *State) Begin(early bool, now time.Time) (Message, bool) {
	s.start(now)
	s.checkSilence(now)
	early = early && s.Shares(now) // The last message of a hub is complete.
	joined := s.newHub
	s.urgent, s.newHub = false, false
	var counts []Count
	bucket := s.bucket(now)
	for _, a := range s.sortedAccounts() {
		a.dropDeparted(bucket)
		if a.idle(bucket) {
			s.forget(a)
			continue
		}
		s.propose(a, now)
		if a.proposed > 0 || (s.hasHubs() && a.tellDue()) || (!early && s.reportDue(a, now)) {
			counts = append(counts, s.newCount(a, now))
			a.toldAt, a.toldSum, a.changed, a.telling = now, a.own.sum, false, a.granted
		}
	}
	return s.newMessage(counts, now), len(counts) > 0 || !early || joined
}

// forget drops the share of a customer without calls.
func (s *State) forget(a *account) {
	a.share, a.changed = 0, false
	clear(a.hubs)
}

func (s *State) newMessage(counts []Count, now time.Time) Message {
	s.sequence++
	m := Message{
		From: s.Self, Incarnation: s.Incarnation, Sequence: s.sequence, Known: now.Sub(s.knownSince), Leaving: !s.Shares(now),
		Address: s.Address, Counts: counts,
	}
	for id, h := range s.hubs {
		if h.silent {
			m.Silent = append(m.Silent, id)
		}
	}
	slices.Sort(m.Silent)
	return m
}

// newCount reports a customer's calls, with the greatest share that this hub may use.
func (s *State) newCount(a *account, now time.Time) Count {
	if !s.Shares(now) {
		a.share = 0
	}
	return Count{
		Customer: a.name, Recent: a.own.report(s.bucket(now)), Share: max(a.share, a.proposed), Departed: a.departedReport(s.bucket(now)), Raise: a.proposed > 0,
		Before: float64(a.before.count(s.bucket(now))),
	}
}

// propose decides whether to ask for a larger share: half of what the hub should have left, as
// calls are distributed now, is not.
func (s *State) propose(a *account, now time.Time) {
	a.proposed = 0
	if !s.hasHubs() || s.lone || !s.Shares(now) {
		return
	}
	const part = 0.5
	_, shared := s.allowed(a, now)
	wanted := a.wanted(s.bucket(now), shared)
	used := float64(a.own.sum) / shared
	if wanted > raiseStep*a.share && a.share-used < part*(wanted-used) {
		a.proposed = wanted
	}
}

// reportDue reports whether the others should hear of the customer's calls.
func (s *State) reportDue(a *account, now time.Time) bool {
	active, departed := a.counts(s.bucket(now))
	used := float64(a.own.sum) + active + departed
	busy := used > busyPart*a.budget.quota && a.own.sum != a.toldSum
	return a.changed || busy || !s.Shares(now) || (now.Sub(a.toldAt) >= reportInterval && (a.own.sum > 0 || a.toldSum > 0 || departed > 0))
}

// Answer handles a message of another hub and returns the response. It lowers shares of this
// hub that are larger than needed, to make room for those that the other hub asks for.
func (s *State) Answer(m Message, now time.Time) Message {
	s.start(now)
	s.record(m, now)
	var counts []Count
	for _, count := range m.Counts {
		a := s.account(count.Customer)
		if a == nil {
			continue
		}
		if count.Raise {
			s.concede(a, now)
			counts = append(counts, s.newCount(a, now))
		}
	}
	return s.newMessage(counts, now)
}

// concede lowers the share of this hub to what it needs if all shares add up to more than one.
func (s *State) concede(a *account, now time.Time) {
	others := s.othersShare(a, now)
	if a.share+others <= 1 {
		return
	}
	_, shared := s.allowed(a, now)
	lowered := min(a.share, max(a.wanted(s.bucket(now), shared), inUnits(1-others)))
	a.changed = a.changed || lowered < a.share
	a.share = lowered
}

// othersShare returns the sum of the shares that other hubs may use, and of what departed ones
// granted.
func (s *State) othersShare(a *account, now time.Time) float64 {
	sum := 0.0
	for _, h := range a.hubs {
		sum += h.share
	}
	for id, h := range s.hubs {
		if h.silent && a.hubs[id] == nil {
			sum += s.equalShare()
		}
	}
	_, shared := s.allowed(a, now)
	_, departed := a.counts(s.bucket(now))
	return sum + departed/shared
}

// Heard handles the response to a message that was sent at the given time.
func (s *State) Heard(m Message, sentAt, now time.Time) {
	s.record(m, now)
	if h := s.hubs[m.From]; h != nil && h.incarnation == m.Incarnation && sentAt.After(h.contactAt) {
		h.contactAt = sentAt
	}
}

// record notes what another hub reports.
func (s *State) record(m Message, now time.Time) {
	if m.From == s.Self {
		return
	}
	if m.Leaving {
		s.Depart(m.From, m.Incarnation, false, now)
		if s.gone[m.From] == m.Incarnation {
			s.recordCounts(m, now) // It may have answered before its last message.
		}
		return
	}
	s.meet(m.From, m.Incarnation, now)
	if s.hubs[m.From].incarnation != m.Incarnation {
		return // A message of an earlier run.
	}
	if since := now.Add(-m.Known); since.Before(s.knownSince) {
		s.knownSince = since
	}
	s.hubs[m.From].address, s.hubs[m.From].silentTo = m.Address, m.Silent
	s.recordCounts(m, now)
}

// recordCounts notes what a hub has granted. What one that leaves reports is its last word.
func (s *State) recordCounts(m Message, now time.Time) {
	bucket := s.bucket(now)
	from := m.From
	if m.Leaving {
		from = runID(m.From, m.Incarnation)
	}
	for _, count := range m.Counts {
		a := s.account(count.Customer)
		if a == nil {
			continue
		}
		if now.Sub(s.joinedAt) < s.Bounds.Window+adoptionTime {
			a.adopt(count.Departed, bucket, now)
		}
		h := a.hub(from)
		if m.Sequence <= h.sequence {
			continue
		}
		h.sequence, h.reportedAt, h.before, h.departed = m.Sequence, now, int(count.Before), m.Leaving
		h.window.load(count.Recent, bucket)
		if !m.Leaving {
			h.share = count.Share
		}
	}
}

// Finish ends a round. complete is set if all hubs with contact have answered, so that they know
// the shares that this hub asked for; it may use these as far as the others' leave room.
func (s *State) Finish(complete bool, now time.Time) {
	for _, a := range s.accounts {
		if complete {
			a.told = max(a.told, a.telling)
		}
		if a.proposed == 0 {
			continue
		}
		asked := a.proposed
		if complete {
			a.share = max(a.share, inUnits(min(asked, 1-s.othersShare(a, now))))
		}
		a.proposed = 0
		a.changed = a.changed || !complete || a.share < asked
	}
}

// Others returns the hubs that a round waits for, and those that it does not wait for because
// they have not answered lately.
func (s *State) Others() (waitFor, silent []hemlocktally.Instance) {
	for _, id := range slices.Sorted(maps.Keys(s.hubs)) {
		h := s.hubs[id]
		instance := hemlocktally.Instance{ID: id, Incarnation: h.incarnation, PeerAddress: h.address}
		switch {
		case h.address == "":
		case h.silent:
			silent = append(silent, instance)
		default:
			waitFor = append(waitFor, instance)
		}
	}
	return waitFor, silent
}
