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
	heartbeatInterval = 200 * time.Millisecond
	// urgentInterval is the delay until the next round once there is an urgent update.
	urgentInterval = 20 * time.Millisecond
	// maxConfirmations bounds the heartbeats of a round that confirm failures.
	maxConfirmations = 4
	// confirmersPerMember is how many instances confirm a vote against a member.
	confirmersPerMember = 3
	// suspectProbeRounds is the number of rounds between heartbeats to a Suspect member.
	suspectProbeRounds = 5
	maxReports         = 32
	// mismatchTimeout is how long digests may differ before full states are exchanged.
	mismatchTimeout = time.Second
)

// expediteRound brings the next round forward because of an urgent update.
func (s *State) expediteRound() {
	if soon := s.now.Add(urgentInterval); soon.Before(s.nextRound) {
		s.nextRound = soon
	}
}

// startRound sends the heartbeats of one round, except to members that have one
// in flight.
func (s *State) startRound(now time.Time) []Cmd {
	s.round++
	s.nextRound = now.Add(heartbeatInterval)
	var cmds []Cmd
	for _, m := range s.selectPeers() {
		if m.awaitingReply {
			continue
		}
		m.awaitingReply = true
		cmds = append(cmds, HeartbeatCmd{To: m.instance.ID, Address: m.instance.PeerAddress, Heartbeat: s.newHeartbeat(string(m.instance.ID), false)})
	}
	return cmds
}

// selectPeers returns the members that get a heartbeat in this round: the next one
// on the hash ring of the instance's zone, a random one of another zone, those
// whose failure is to be confirmed, and every suspectProbeRounds a Suspect one.
func (s *State) selectPeers() []*member {
	all := s.ordered()
	live := slices.DeleteFunc(slices.Clone(all), (*member).isSuspect)
	chosen := s.membersToConfirm(all, live)
	if next := s.successor(live); next != nil {
		chosen = append(chosen, next)
	}
	if other := s.inOtherZones(live); len(other) > 0 {
		chosen = append(chosen, other[s.random.IntN(len(other))])
	}
	if suspects := slices.DeleteFunc(slices.Clone(all), func(m *member) bool { return !m.isSuspect() }); len(suspects) > 0 && s.round%suspectProbeRounds == 0 {
		chosen = append(chosen, suspects[s.random.IntN(len(suspects))])
	}
	slices.SortFunc(chosen, compareID)
	return slices.Compact(chosen)
}

func compareID(a, b *member) int { return cmp.Compare(a.instance.ID, b.instance.ID) }

func (m *member) isSuspect() bool { return m.lifecycle.state() == hemlocktally.InstanceSuspect }

// membersToConfirm returns members whose failure this instance should confirm: those
// that failed to answer it, and those that others suspect and that it is a
// confirmer of.
func (s *State) membersToConfirm(all, live []*member) []*member {
	var tests []*member
	for _, m := range all {
		if !m.isSuspect() && (m.failures > 0 || len(m.votes) > 0 && s.isConfirmer(m, live)) {
			tests = append(tests, m)
		}
	}
	s.random.Shuffle(len(tests), func(i, j int) { tests[i], tests[j] = tests[j], tests[i] })
	return tests[:min(len(tests), maxConfirmations)]
}

// isConfirmer reports whether the instance is one of the confirmersPerMember live
// instances that confirm a vote against the member, chosen by rendezvous hashing.
func (s *State) isConfirmer(suspected *member, live []*member) bool {
	own := pairHash(s.Self.ID, suspected.instance.ID)
	higher := 0
	for _, m := range live {
		if m != suspected && pairHash(m.instance.ID, suspected.instance.ID) > own {
			higher++
		}
	}
	return higher < confirmersPerMember
}

func pairHash(a, b hemlocktally.InstanceID) uint64 {
	return xxhash.Sum64String(string(a) + "/" + string(b))
}

// successor returns the next live member on the hash ring of the instance's zone,
// or nil where there is none.
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

// inOtherZones returns the live members of other zones, or all live ones where
// there are none.
func (s *State) inOtherZones(live []*member) []*member {
	other := slices.DeleteFunc(slices.Clone(live), func(m *member) bool { return m.instance.Zone == s.Self.Zone })
	if len(other) == 0 {
		return live
	}
	return other
}

// newHeartbeat builds a heartbeat to a peer. It carries the members' reports that
// have sends left, up to maxReports, or all reports if whole is set.
func (s *State) newHeartbeat(to string, whole bool) *messenger.BeatMessage {
	heartbeat := &messenger.BeatMessage{From: s.selfReport().toProto(), Digest: s.digest(), Whole: whole}
	s.sendsLeft = max(0, s.sendsLeft-1)
	for _, m := range s.ordered() {
		if whole || m.sendsLeft > 0 && len(heartbeat.Known) < maxReports {
			m.sendsLeft = max(0, m.sendsLeft-1)
			heartbeat.Known = append(heartbeat.Known, m.toProto())
		}
		heartbeat.Suspicions = append(heartbeat.Suspicions, m.suspicions(to, whole)...)
	}
	for _, t := range s.tombstones {
		if t.sendsLeft > 0 && len(heartbeat.Known) < maxReports {
			t.sendsLeft--
			heartbeat.Known = append(heartbeat.Known, t.last.toProto())
		}
	}
	return heartbeat
}

// newReply builds the reply to a heartbeat; whole is set for a sender that was
// unknown. A sender whose incarnation counts as gone is told so, and can then
// return under a new incarnation.
func (s *State) newReply(heartbeat *messenger.BeatMessage, whole bool) *messenger.BeatMessage {
	from := heartbeat.GetFrom()
	reply := s.newHeartbeat(from.GetID(), whole)
	if t := s.tombstones[incarnationKey{hemlocktally.InstanceID(from.GetID()), from.GetIncarnation()}]; t != nil {
		reply.Known = append(reply.Known, t.last.toProto())
	}
	return reply
}

// suspicions returns the votes against the member that are still to be sent. The
// member itself always gets them, so that it can refute them.
func (m *member) suspicions(to string, whole bool) []*messenger.Suspicion {
	var list []*messenger.Suspicion
	for voter, sendsLeft := range m.votes {
		if sendsLeft <= 0 && !whole && to != string(m.instance.ID) {
			continue
		}
		m.votes[voter] = sendsLeft - 1
		list = append(list, &messenger.Suspicion{
			ID: string(m.instance.ID), Incarnation: m.instance.Incarnation, Version: m.version, By: string(voter),
		})
	}
	return list
}

// digest combines the digests of all reports, the instance's own included.
func (s *State) digest() uint64 { return s.membersDigest ^ s.selfReport().digest() }

// handleHeartbeat merges the reports and votes of a heartbeat. The sender counts as
// heard.
func (s *State) handleHeartbeat(heartbeat *messenger.BeatMessage, now time.Time) []Cmd {
	cmds := s.mergeReport(reportFromProto(heartbeat.GetFrom()), now)
	if m := s.members[hemlocktally.InstanceID(heartbeat.GetFrom().GetID())]; m != nil && m.instance.Incarnation == heartbeat.GetFrom().GetIncarnation() {
		m.heardAt, m.failures = now, 0
	}
	for _, known := range heartbeat.GetKnown() {
		cmds = append(cmds, s.mergeReport(reportFromProto(known), now)...)
	}
	for _, v := range heartbeat.GetSuspicions() {
		cmds = append(cmds, s.addVote(v)...)
	}
	return cmds
}

// handleReply merges the reply to a heartbeat. A reply from another instance at the
// same address counts as a failure of the member that the heartbeat was for.
func (s *State) handleReply(msg HeartbeatReplyMsg, now time.Time) []Cmd {
	m := s.members[msg.To]
	if m != nil {
		m.awaitingReply = false
	}
	cmds := s.handleHeartbeat(msg.Heartbeat, now)
	from := hemlocktally.InstanceID(msg.Heartbeat.GetFrom().GetID())
	if msg.To != "" && from != msg.To {
		return append(cmds, s.handleFailure(HeartbeatFailedMsg{To: msg.To, Sent: now}, now)...)
	}
	return append(cmds, s.compareDigests(msg.Heartbeat, now)...)
}

// compareDigests requests the full state once digests have differed for
// mismatchTimeout.
func (s *State) compareDigests(heartbeat *messenger.BeatMessage, now time.Time) []Cmd {
	switch {
	case heartbeat.GetDigest() == s.digest():
		s.mismatchSince = time.Time{}
	case s.mismatchSince.IsZero():
		s.mismatchSince = now
	case now.Sub(s.mismatchSince) >= mismatchTimeout:
		s.mismatchSince = now
		m := s.members[hemlocktally.InstanceID(heartbeat.GetFrom().GetID())]
		if m == nil || m.awaitingReply {
			return nil
		}
		m.awaitingReply = true
		return []Cmd{HeartbeatCmd{To: m.instance.ID, Address: m.instance.PeerAddress, Heartbeat: s.newHeartbeat(string(m.instance.ID), true)}}
	}
	return nil
}
