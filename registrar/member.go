package registrar

import (
	"math/bits"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

const (
	// votesToSuspect is how many votes make a member Suspect.
	votesToSuspect = 2
	// failuresToVote is how many consecutive heartbeats must fail before a first vote.
	failuresToVote = 2
	// minFailingTime is the least time since the first failed heartbeat before a first
	// vote. An instance that confirms another's vote needs only one failure.
	minFailingTime = 400 * time.Millisecond
	// voterWindow is how recently a member must have been heard to count as a voter.
	voterWindow = 2 * time.Second
)

// transmitLimit returns how many heartbeats carry one update. It grows with the
// logarithm of the member count, so that the update almost certainly reaches
// every instance.
func (s *State) transmitLimit() int {
	const factor, least = 3, 4
	return least + factor*bits.Len(uint(len(s.members)))
}

// mergeReport merges a report that a member made of itself, whichever peer passed it on.
func (s *State) mergeReport(r report, now time.Time) []Cmd {
	id := r.instance.ID
	if id == "" || r.instance.Incarnation == "" || id == s.Self.ID {
		return s.mergeSelf(r, now)
	}
	if r.instance.State != hemlocktally.InstanceGone && s.isGone(id, r.instance.Incarnation) {
		return nil
	}
	m := s.members[id]
	if m != nil && r.instance.Incarnation < m.instance.Incarnation {
		return nil
	}
	if r.instance.State == hemlocktally.InstanceGone {
		return s.mergeGone(r, now)
	}
	var cmds []Cmd
	if m != nil && r.instance.Incarnation > m.instance.Incarnation {
		cmds = s.removeMember(m, "replaced by a newer incarnation", now)
		m = nil
	}
	switch {
	case m == nil:
		m = &member{lifecycle: newLifecycle(), heardAt: now}
		s.members[id], s.sorted = m, nil
	case r.version <= m.version:
		return cmds
	default:
		s.membersDigest ^= m.digest()
	}
	m.report = r
	s.membersDigest ^= r.digest()
	m.votes = nil
	m.failures = 0
	m.sendsLeft = s.transmitLimit()
	s.viewChanged = true
	return append(cmds, s.updateState(m, "reported by itself")...)
}

// isGone reports whether the incarnation is gone. If so, the tombstone is sent again,
// so that peers that still report the incarnation learn of it.
func (s *State) isGone(id hemlocktally.InstanceID, incarnation string) bool {
	t := s.tombstones[incarnationKey{id, incarnation}]
	if t == nil {
		return false
	}
	t.sendsLeft = max(t.sendsLeft, 1)
	return true
}

// mergeGone merges a report that an incarnation is gone, whether or not it is known here.
func (s *State) mergeGone(r report, now time.Time) []Cmd {
	if m := s.members[r.instance.ID]; m != nil && m.instance.Incarnation == r.instance.Incarnation {
		return s.removeMember(m, "reported as gone", now)
	}
	if key := (incarnationKey{r.instance.ID, r.instance.Incarnation}); s.tombstones[key] == nil {
		s.tombstones[key] = &tombstone{last: r, expiresAt: now.Add(tombstoneTTL), sendsLeft: s.transmitLimit()}
	}
	return nil
}

// mergeSelf handles the instance's own report as passed on by peers. A newer
// incarnation under the same ID, once this one has had a lease, means that
// another process has replaced this one.
func (s *State) mergeSelf(r report, now time.Time) []Cmd {
	if r.instance.ID != s.Self.ID {
		return nil
	}
	switch {
	case r.instance.Incarnation > s.Self.Incarnation && !s.leaseState.registered:
		s.startIncarnation(r.instance.Incarnation, now)
	case r.instance.Incarnation > s.Self.Incarnation && !s.departed:
		s.leaseState.drop()
		s.setState(hemlocktally.InstanceLeaving)
		s.departed = true
		return []Cmd{StateChangedCmd{Member: r.instance, From: hemlocktally.InstanceServing, To: hemlocktally.InstanceLeaving, Cause: "another process has this instance's ID"}}
	case r.instance.Incarnation == s.Self.Incarnation && r.instance.State == hemlocktally.InstanceGone && !s.departed:
		s.startIncarnation(s.Self.Incarnation, now)
	case r.instance.Incarnation == s.Self.Incarnation && r.version > s.version:
		s.version = r.version
		s.bumpVersion()
	}
	return nil
}

// removeMember removes a member and leaves a tombstone for its incarnation.
func (s *State) removeMember(m *member, cause string, now time.Time) []Cmd {
	from := m.lifecycle.state()
	if !m.lifecycle.transition(hemlocktally.InstanceGone) {
		return nil
	}
	last := m.report
	last.instance.State = hemlocktally.InstanceGone
	s.tombstones[incarnationKey{m.instance.ID, m.instance.Incarnation}] = &tombstone{last: last, expiresAt: now.Add(tombstoneTTL), sendsLeft: s.transmitLimit()}
	delete(s.members, m.instance.ID)
	s.sorted = nil
	s.membersDigest ^= m.digest()
	s.viewChanged = true
	return []Cmd{StateChangedCmd{Member: last.instance, From: from, To: hemlocktally.InstanceGone, Cause: cause}}
}

// updateState moves a member to the state that it reports, or to Suspect once enough
// instances have voted against it.
func (s *State) updateState(m *member, cause string) []Cmd {
	from, to := m.lifecycle.state(), m.instance.State
	if len(m.votes) > 0 && len(m.votes) >= s.quorum(m) {
		to = hemlocktally.InstanceSuspect
	}
	if !m.lifecycle.transition(to) {
		return nil
	}
	s.viewChanged = true
	return []Cmd{StateChangedCmd{Member: m.observed(), From: from, To: to, Cause: cause}}
}

// quorum returns how many votes make a member Suspect: votesToSuspect, or one where
// no other possible voter was heard within voterWindow.
func (s *State) quorum(suspected *member) int {
	voters := 1
	for _, m := range s.members {
		if m != suspected && s.now.Sub(m.heardAt) < voterWindow {
			voters++
		}
	}
	return min(votesToSuspect, voters)
}

// addVote counts one instance's vote that a member does not answer. A vote about an
// older version of the member's report is void: the newer version refutes it. A
// vote against this instance is refuted by a new version of its report.
func (s *State) addVote(suspicion *messenger.Suspicion) []Cmd {
	id, voter := hemlocktally.InstanceID(suspicion.GetID()), hemlocktally.InstanceID(suspicion.GetBy())
	if id == s.Self.ID {
		if suspicion.GetIncarnation() == s.Self.Incarnation && suspicion.GetVersion() >= s.version {
			s.version = suspicion.GetVersion()
			s.bumpVersion()
			s.expediteRound()
		}
		return nil
	}
	m := s.members[id]
	if s.isGone(id, suspicion.GetIncarnation()) || m == nil || m.instance.Incarnation != suspicion.GetIncarnation() || suspicion.GetVersion() < m.version {
		return nil
	}
	if _, known := m.votes[voter]; known {
		return nil
	}
	if m.votes == nil {
		m.votes = map[hemlocktally.InstanceID]int{}
	}
	m.votes[voter] = s.transmitLimit()
	s.expediteRound()
	return s.updateState(m, "suspected by "+string(voter))
}

// handleFailure counts a heartbeat without a reply and votes against the member once
// failuresToVote and minFailingTime are reached, or at once if others already did.
func (s *State) handleFailure(msg HeartbeatFailedMsg, now time.Time) []Cmd {
	m := s.members[msg.To]
	if m == nil {
		return nil
	}
	m.awaitingReply = false
	if m.heardAt.After(msg.Sent) {
		return nil
	}
	m.failures++
	if m.failures == 1 {
		m.failingSince = msg.Sent
	}
	if len(m.votes) == 0 && (m.failures < failuresToVote || now.Sub(m.failingSince) < minFailingTime) {
		return nil
	}
	return s.addVote(&messenger.Suspicion{
		ID: string(msg.To), Incarnation: m.instance.Incarnation, Version: m.version, By: string(s.Self.ID),
	})
}
