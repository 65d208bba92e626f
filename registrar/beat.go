package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
	"hemlocktally/messenger"
)

const (
	beatInterval = 200 * time.Millisecond
	// hurryInterval bounds how soon urgent news goes out after a round.
	hurryInterval = 20 * time.Millisecond
	// retestLimit bounds the heartbeats of a round to members that failed.
	retestLimit = 4
	// judgeCount is how many instances test a member that another finds silent.
	judgeCount = 3
	// suspectRounds is how many rounds lie between tests of a suspect member.
	suspectRounds = 5
	newsLimit     = 32
	// mismatchLimit is how long digests may differ before all is exchanged.
	mismatchLimit = time.Second
)

// hurry brings the next round forward for urgent news.
func (s *State) hurry() {
	if soon := s.now.Add(hurryInterval); soon.Before(s.nextBeat) {
		s.nextBeat = soon
	}
}

// beat sends the heartbeats of one round.
func (s *State) beat(now time.Time) []Cmd {
	s.round++
	s.nextBeat = now.Add(beatInterval)
	var cmds []Cmd
	for _, m := range s.peers() {
		if m.awaiting {
			continue
		}
		m.awaiting = true
		cmds = append(cmds, BeatCmd{To: m.instance.ID, Address: m.instance.PeerAddress, Beat: s.message(string(m.instance.ID), false)})
	}
	return cmds
}

// peers chooses the members of a round: the next one on the ring of the own
// zone, a random one, and members whose silence is to be confirmed.
func (s *State) peers() []*member {
	all := s.ordered()
	live := slices.DeleteFunc(slices.Clone(all), (*member).silent)
	chosen := s.retests(all, live)
	if next := s.successor(live); next != nil {
		chosen = append(chosen, next)
	}
	if other := s.elsewhere(live); len(other) > 0 {
		chosen = append(chosen, other[s.random.IntN(len(other))])
	}
	if suspects := slices.DeleteFunc(slices.Clone(all), func(m *member) bool { return !m.silent() }); len(suspects) > 0 && s.round%suspectRounds == 0 {
		chosen = append(chosen, suspects[s.random.IntN(len(suspects))])
	}
	slices.SortFunc(chosen, compareID)
	return slices.Compact(chosen)
}

func compareID(a, b *member) int { return cmp.Compare(a.instance.ID, b.instance.ID) }

func (m *member) silent() bool { return m.life.state() == hemlocktally.InstanceSuspect }

// retests returns members whose silence this instance is to confirm: those that
// failed to answer it, and those whose judge it is.
func (s *State) retests(all, live []*member) []*member {
	var tests []*member
	for _, m := range all {
		if !m.silent() && (m.failures > 0 || len(m.votes) > 0 && s.judges(m, live)) {
			tests = append(tests, m)
		}
	}
	s.random.Shuffle(len(tests), func(i, j int) { tests[i], tests[j] = tests[j], tests[i] })
	return tests[:min(len(tests), retestLimit)]
}

// judges reports whether the instance is among the few that confirm a vote.
func (s *State) judges(accused *member, live []*member) bool {
	own := pairHash(s.Self.ID, accused.instance.ID)
	higher := 0
	for _, m := range live {
		if m != accused && pairHash(m.instance.ID, accused.instance.ID) > own {
			higher++
		}
	}
	return higher < judgeCount
}

func pairHash(a, b hemlocktally.InstanceID) uint64 {
	return xxhash.Sum64String(string(a) + "/" + string(b))
}

// successor returns the next live member on the hash ring of the own zone.
func (s *State) successor(live []*member) *member {
	own := xxhash.Sum64String(string(s.Self.ID))
	var best *member
	var distance uint64
	for _, m := range live {
		if m.instance.Zone != s.Self.Zone {
			continue
		}
		if d := xxhash.Sum64String(string(m.instance.ID)) - own; best == nil || d < distance {
			best, distance = m, d
		}
	}
	return best
}

// elsewhere returns the live members of other zones, or all where there are none.
func (s *State) elsewhere(live []*member) []*member {
	other := slices.DeleteFunc(slices.Clone(live), func(m *member) bool { return m.instance.Zone == s.Self.Zone })
	if len(other) == 0 {
		return live
	}
	return other
}

// message makes a heartbeat for a peer.
func (s *State) message(to string, whole bool) *messenger.BeatMessage {
	beat := &messenger.BeatMessage{From: s.own().wire(), Digest: s.digest(), Whole: whole}
	s.news = max(0, s.news-1)
	for _, m := range s.ordered() {
		if whole || m.news > 0 && len(beat.Known) < newsLimit {
			m.news = max(0, m.news-1)
			beat.Known = append(beat.Known, m.wire())
		}
		beat.Suspicions = append(beat.Suspicions, m.suspicions(to, whole)...)
	}
	for _, b := range s.graves {
		if b.news > 0 && len(beat.Known) < newsLimit {
			b.news--
			beat.Known = append(beat.Known, b.last.wire())
		}
	}
	return beat
}

// reply answers a heartbeat, with all that is known for a newcomer. A sender
// whose incarnation is held for gone is told so, that it may come back as another.
func (s *State) reply(beat *messenger.BeatMessage, whole bool) *messenger.BeatMessage {
	from := beat.GetFrom()
	reply := s.message(from.GetID(), whole)
	if b := s.graves[grave{hemlocktally.InstanceID(from.GetID()), from.GetIncarnation()}]; b != nil {
		reply.Known = append(reply.Known, b.last.wire())
	}
	return reply
}

// suspicions returns the votes about the member that are still to be passed
// on. The accused is always told, so that it can refute them.
func (m *member) suspicions(to string, whole bool) []*messenger.Suspicion {
	var list []*messenger.Suspicion
	for by, left := range m.votes {
		if left <= 0 && !whole && to != string(m.instance.ID) {
			continue
		}
		m.votes[by] = left - 1
		list = append(list, &messenger.Suspicion{
			ID: string(m.instance.ID), Incarnation: m.instance.Incarnation, Version: m.version, By: string(by),
		})
	}
	return list
}

// digest sums up all that is known, the own report included.
func (s *State) digest() uint64 { return s.sum ^ s.own().digest() }

// hear takes over a heartbeat. Its sender is alive.
func (s *State) hear(beat *messenger.BeatMessage, now time.Time) []Cmd {
	cmds := s.merge(reportOf(beat.GetFrom()), now)
	if m := s.members[hemlocktally.InstanceID(beat.GetFrom().GetID())]; m != nil && m.instance.Incarnation == beat.GetFrom().GetIncarnation() {
		m.heardAt, m.failures = now, 0
	}
	for _, known := range beat.GetKnown() {
		cmds = append(cmds, s.merge(reportOf(known), now)...)
	}
	for _, v := range beat.GetSuspicions() {
		cmds = append(cmds, s.vote(v)...)
	}
	return cmds
}

// answer takes over the answer to a heartbeat. An answer from another instance
// at the same address is no sign of life of the member that was meant.
func (s *State) answer(msg AnswerMsg, now time.Time) []Cmd {
	m := s.members[msg.To]
	if m != nil {
		m.awaiting = false
	}
	cmds := s.hear(msg.Beat, now)
	from := hemlocktally.InstanceID(msg.Beat.GetFrom().GetID())
	if msg.To != "" && from != msg.To {
		return append(cmds, s.silence(SilenceMsg{To: msg.To, Sent: now}, now)...)
	}
	return append(cmds, s.compare(msg.Beat, now)...)
}

// compare asks for everything where digests have differed for a while.
func (s *State) compare(beat *messenger.BeatMessage, now time.Time) []Cmd {
	switch {
	case beat.GetDigest() == s.digest():
		s.mismatchSince = time.Time{}
	case s.mismatchSince.IsZero():
		s.mismatchSince = now
	case now.Sub(s.mismatchSince) >= mismatchLimit:
		s.mismatchSince = now
		m := s.members[hemlocktally.InstanceID(beat.GetFrom().GetID())]
		if m == nil || m.awaiting {
			return nil
		}
		m.awaiting = true
		return []Cmd{BeatCmd{To: m.instance.ID, Address: m.instance.PeerAddress, Beat: s.message(string(m.instance.ID), true)}}
	}
	return nil
}
