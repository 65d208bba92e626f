package registrar

import (
	"math/bits"
	"time"

	"hemlocktally"
	"hemlocktally/messenger"
)

const (
	// votesToSuspect is how many instances must find a member silent.
	votesToSuspect = 2
	// failuresToVote is how many heartbeats in a row must fail before a vote.
	failuresToVote = 2
	// silenceLimit is the least time without an answer before a first vote. An
	// instance that confirms another's vote needs one failure only.
	silenceLimit = 400 * time.Millisecond
	// voterWindow is how recently a member was heard that may vote.
	voterWindow = 2 * time.Second
)

// spread returns how many heartbeats carry one piece of news, so that it
// reaches every instance with near certainty.
func (s *State) spread() int {
	const factor, least = 3, 4
	return least + factor*bits.Len(uint(len(s.members)))
}

// merge takes over a report that a member made of itself, from whichever peer.
func (s *State) merge(r report, now time.Time) []Cmd {
	id := r.instance.ID
	if id == "" || r.instance.Incarnation == "" || id == s.Self.ID {
		return s.mergeSelf(r, now)
	}
	if r.instance.State != hemlocktally.InstanceGone && s.buried(id, r.instance.Incarnation) {
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
		cmds = s.bury(m, "replaced by a newer incarnation", now)
		m = nil
	}
	switch {
	case m == nil:
		m = &member{life: newLife(), heardAt: now}
		s.members[id], s.list = m, nil
	case r.version <= m.version:
		return cmds
	default:
		s.sum ^= m.digest()
	}
	m.report = r
	s.sum ^= r.digest()
	m.votes = nil
	m.failures = 0
	m.news = s.spread()
	s.changed = true
	return append(cmds, s.judge(m, "reported by itself")...)
}

// buried reports whether the incarnation is gone. Whoever still speaks of it
// hears of that in one of the next messages.
func (s *State) buried(id hemlocktally.InstanceID, incarnation string) bool {
	b := s.graves[grave{id, incarnation}]
	if b == nil {
		return false
	}
	b.news = max(b.news, 1)
	return true
}

// mergeGone takes over that an incarnation is gone, known here or not.
func (s *State) mergeGone(r report, now time.Time) []Cmd {
	if m := s.members[r.instance.ID]; m != nil && m.instance.Incarnation == r.instance.Incarnation {
		return s.bury(m, "reported as gone", now)
	}
	if g := (grave{r.instance.ID, r.instance.Incarnation}); s.graves[g] == nil {
		s.graves[g] = &burial{last: r, until: now.Add(graveTime), news: s.spread()}
	}
	return nil
}

// mergeSelf looks at an echo of the own report. A newer incarnation under the
// same ID means that this process has been replaced.
func (s *State) mergeSelf(r report, now time.Time) []Cmd {
	if r.instance.ID != s.Self.ID {
		return nil
	}
	switch {
	case r.instance.Incarnation > s.Self.Incarnation && !s.keeper.before:
		s.reincarnate(r.instance.Incarnation, now)
	case r.instance.Incarnation > s.Self.Incarnation && !s.departed:
		s.keeper.drop()
		s.report(hemlocktally.InstanceLeaving)
		s.departed = true
		return []Cmd{ChangedCmd{Member: r.instance, From: hemlocktally.InstanceServing, To: hemlocktally.InstanceLeaving, Cause: "another process has this instance's ID"}}
	case r.instance.Incarnation == s.Self.Incarnation && r.instance.State == hemlocktally.InstanceGone && !s.departed:
		s.reincarnate(s.Self.Incarnation, now)
	case r.instance.Incarnation == s.Self.Incarnation && r.version > s.version:
		s.version = r.version
		s.bump()
	}
	return nil
}

// bury removes an incarnation for good.
func (s *State) bury(m *member, cause string, now time.Time) []Cmd {
	from := m.life.state()
	if !m.life.move(hemlocktally.InstanceGone) {
		return nil
	}
	last := m.report
	last.instance.State = hemlocktally.InstanceGone
	s.graves[grave{m.instance.ID, m.instance.Incarnation}] = &burial{last: last, until: now.Add(graveTime), news: s.spread()}
	delete(s.members, m.instance.ID)
	s.list = nil
	s.sum ^= m.digest()
	s.changed = true
	return []Cmd{ChangedCmd{Member: last.instance, From: from, To: hemlocktally.InstanceGone, Cause: cause}}
}

// judge brings a member into the state that it reports, or into Suspect while
// enough instances find it silent.
func (s *State) judge(m *member, cause string) []Cmd {
	from, to := m.life.state(), m.instance.State
	if len(m.votes) > 0 && len(m.votes) >= s.quorum(m) {
		to = hemlocktally.InstanceSuspect
	}
	if !m.life.move(to) {
		return nil
	}
	s.changed = true
	return []Cmd{ChangedCmd{Member: m.seen(), From: from, To: to, Cause: cause}}
}

// quorum returns how many votes make a member suspect: two, or one where this
// instance hears nobody else who could vote.
func (s *State) quorum(accused *member) int {
	voters := 1
	for _, m := range s.members {
		if m != accused && s.now.Sub(m.heardAt) < voterWindow {
			voters++
		}
	}
	return min(votesToSuspect, voters)
}

// vote counts one instance's finding that a member is silent. A vote about an
// older version has been refuted.
func (s *State) vote(v *messenger.Suspicion) []Cmd {
	id, by := hemlocktally.InstanceID(v.GetID()), hemlocktally.InstanceID(v.GetBy())
	if id == s.Self.ID {
		if v.GetIncarnation() == s.Self.Incarnation && v.GetVersion() >= s.version {
			s.version = v.GetVersion()
			s.bump()
			s.hurry()
		}
		return nil
	}
	m := s.members[id]
	if s.buried(id, v.GetIncarnation()) || m == nil || m.instance.Incarnation != v.GetIncarnation() || v.GetVersion() < m.version {
		return nil
	}
	if _, known := m.votes[by]; known {
		return nil
	}
	if m.votes == nil {
		m.votes = map[hemlocktally.InstanceID]int{}
	}
	m.votes[by] = s.spread()
	s.hurry()
	return s.judge(m, "found silent by "+string(by))
}

// silence counts a heartbeat without an answer.
func (s *State) silence(msg SilenceMsg, now time.Time) []Cmd {
	m := s.members[msg.To]
	if m == nil {
		return nil
	}
	m.awaiting = false
	if m.heardAt.After(msg.Sent) {
		return nil
	}
	m.failures++
	if m.failures == 1 {
		m.failing = msg.Sent
	}
	if len(m.votes) == 0 && (m.failures < failuresToVote || now.Sub(m.failing) < silenceLimit) {
		return nil
	}
	return s.vote(&messenger.Suspicion{
		ID: string(msg.To), Incarnation: m.instance.Incarnation, Version: m.version, By: string(s.Self.ID),
	})
}
