package configurator

import (
	"cmp"
	"slices"
	"time"

	"hemlocktally"
)

// ChangesMsg delivers accepted changes, oldest first. Source names where they
// came from: the ID of a peer, or one of the source constants.
type ChangesMsg struct {
	Changes []hemlocktally.AcceptedChange
	Source  string
}

// SnapshotMsg delivers a complete configuration. Recent holds the newest of the
// changes that it contains, oldest first.
type SnapshotMsg struct {
	Configuration *hemlocktally.Configuration
	Recent        []hemlocktally.AcceptedChange
	Source        string
}

// RevisionMsg reports which revision another source has in force, and its hash.
// An empty hash is not compared.
type RevisionMsg struct {
	Revision hemlocktally.Revision
	Hash     string
	Source   string
}

// StopsMsg delivers provisional stops, new or settled.
type StopsMsg struct {
	Stops []hemlocktally.ProvisionalStop
}

// Msg is an input of State.Update: a ChangesMsg, SnapshotMsg, RevisionMsg or
// StopsMsg.
type Msg any

// InForceCmd reports that a newer configuration is in force.
type InForceCmd struct {
	Configuration *hemlocktally.Configuration
	// Changes holds the changes that were applied; it is empty if the
	// configuration came as a SnapshotMsg.
	Changes []hemlocktally.AcceptedChange
	Source  string
}

// MissingChangesCmd reports that the source has changes that this instance lacks.
type MissingChangesCmd struct {
	Source string
}

// DivergenceCmd reports that the source has different content for a revision.
// Hash is the hash known to this instance, SourceHash the one of the source.
type DivergenceCmd struct {
	Revision   hemlocktally.Revision
	Hash       string
	Source     string
	SourceHash string
}

// StopChangedCmd reports that a provisional stop was added or settled.
type StopChangedCmd struct {
	Stop hemlocktally.ProvisionalStop
}

// Cmd is a result of State.Update: an InForceCmd, MissingChangesCmd,
// DivergenceCmd or StopChangedCmd.
type Cmd any

const (
	// maxRecentChanges bounds the accepted changes that are retained for peers.
	maxRecentChanges = 64
	// maxStops bounds the provisional stops that are retained, settled ones
	// included.
	maxStops = 64
	// settledStopRetention is how long a settled stop is retained, so that a late
	// message does not make it active again.
	settledStopRetention = 2 * time.Hour
)

// State holds what one instance knows of the configuration. The revision never
// decreases: no message can put an older revision in force, or different content
// of the same revision. The zero State is ready for use. It is not safe for
// concurrent use.
type State struct {
	accepted  *hemlocktally.Configuration
	recent    []hemlocktally.AcceptedChange // recent is oldest first and ends with the revision in force.
	stops     map[string]hemlocktally.ProvisionalStop
	settledAt map[string]time.Time
}

// Accepted returns the newest configuration known to be accepted by the store,
// without provisional stops. It is empty before the first. The caller must not
// modify it.
func (s *State) Accepted() *hemlocktally.Configuration {
	if s.accepted == nil {
		return &hemlocktally.Configuration{}
	}
	return s.accepted
}

// Update applies a message to the state and returns the resulting commands. It
// performs no I/O, and nothing else changes the state.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	switch msg := msg.(type) {
	case ChangesMsg:
		return s.handleChanges(msg, now)
	case SnapshotMsg:
		return s.handleSnapshot(msg, now)
	case RevisionMsg:
		return s.compareRevision(msg)
	case StopsMsg:
		return s.mergeStops(msg.Stops, now)
	}
	return nil
}

func (s *State) handleChanges(msg ChangesMsg, now time.Time) []Cmd {
	var cmds []Cmd
	var applied []hemlocktally.AcceptedChange
	for _, change := range msg.Changes {
		current := s.Accepted()
		if change.Revision <= current.Revision {
			cmds = append(cmds, s.compareRevision(RevisionMsg{Revision: change.Revision, Hash: change.Hash, Source: msg.Source})...)
			continue
		}
		if change.Revision > current.Revision+1 {
			cmds = append(cmds, MissingChangesCmd{Source: msg.Source})
			break
		}
		next, err := current.Apply(change)
		if err != nil || change.Hash != chainHash(current.Hash, change) {
			cmds = append(cmds, DivergenceCmd{
				Revision: current.Revision, Hash: current.Hash, Source: msg.Source, SourceHash: change.Hash,
			})
			break
		}
		s.accepted = next
		s.addRecent(change)
		applied = append(applied, change)
	}
	if len(applied) == 0 {
		return cmds
	}
	cmds = append(cmds, InForceCmd{Configuration: s.accepted, Changes: applied, Source: msg.Source})
	return append(cmds, s.settleAcceptedStops(applied, now)...)
}

func (s *State) handleSnapshot(msg SnapshotMsg, now time.Time) []Cmd {
	next := msg.Configuration
	for _, change := range msg.Recent {
		if cmds := s.compareRevision(RevisionMsg{Revision: change.Revision, Hash: change.Hash, Source: msg.Source}); containsDivergence(cmds) {
			return cmds
		}
	}
	if next.Revision <= s.Accepted().Revision {
		return s.compareRevision(RevisionMsg{Revision: next.Revision, Hash: next.Hash, Source: msg.Source})
	}
	s.accepted = next
	s.recent = nil
	for _, change := range msg.Recent {
		s.addRecent(change)
	}
	cmds := []Cmd{InForceCmd{Configuration: next, Source: msg.Source}}
	return append(cmds, s.settleAcceptedStops(msg.Recent, now)...)
}

func containsDivergence(cmds []Cmd) bool {
	return slices.ContainsFunc(cmds, func(cmd Cmd) bool {
		_, ok := cmd.(DivergenceCmd)
		return ok
	})
}

// compareRevision compares the revision that a source reports with the state. It
// returns a MissingChangesCmd if the source is ahead, a DivergenceCmd if the hash
// of a known revision differs, and nil otherwise.
func (s *State) compareRevision(msg RevisionMsg) []Cmd {
	current := s.Accepted()
	if msg.Revision > current.Revision {
		return []Cmd{MissingChangesCmd{Source: msg.Source}}
	}
	ownHash := ""
	if msg.Revision == current.Revision {
		ownHash = current.Hash
	} else if i := slices.IndexFunc(s.recent, func(a hemlocktally.AcceptedChange) bool { return a.Revision == msg.Revision }); i >= 0 {
		ownHash = s.recent[i].Hash
	}
	if ownHash == "" || msg.Hash == "" || ownHash == msg.Hash {
		return nil
	}
	return []Cmd{DivergenceCmd{Revision: msg.Revision, Hash: ownHash, Source: msg.Source, SourceHash: msg.Hash}}
}

func (s *State) addRecent(change hemlocktally.AcceptedChange) {
	s.recent = append(s.recent, change)
	if excess := len(s.recent) - maxRecentChanges; excess > 0 {
		s.recent = slices.Delete(s.recent, 0, excess)
	}
}

// ChangesAfter returns a copy of the changes after a revision, oldest first. It
// returns false if they are no longer retained.
func (s *State) ChangesAfter(revision hemlocktally.Revision) ([]hemlocktally.AcceptedChange, bool) {
	current := s.Accepted().Revision
	if revision >= current {
		return nil, true
	}
	i := slices.IndexFunc(s.recent, func(a hemlocktally.AcceptedChange) bool { return a.Revision == revision+1 })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(s.recent[i:]), true
}

// Effective returns the accepted configuration with the active provisional stops
// applied and listed in Provisional. A command that can't be applied is skipped.
func (s *State) Effective() *hemlocktally.Configuration {
	active := s.Stops(hemlocktally.StopActive)
	config := s.Accepted()
	if len(active) == 0 {
		return config
	}
	for _, stop := range active {
		for _, command := range stop.Commands {
			single := hemlocktally.AcceptedChange{
				Revision: config.Revision, AcceptedAt: config.AcceptedAt, Hash: config.Hash,
				Change: hemlocktally.Change{ID: config.ChangeID, Author: config.Author, Commands: []hemlocktally.Command{command}},
			}
			if next, err := config.Apply(single); err == nil {
				config = next
			}
		}
	}
	effective := *config
	effective.Provisional = active
	return &effective
}

// Stops returns the provisional stops that are in the given state, or all of them
// if it is empty, ordered by ID.
func (s *State) Stops(state hemlocktally.StopState) []hemlocktally.ProvisionalStop {
	var list []hemlocktally.ProvisionalStop
	for _, stop := range s.stops {
		if state == "" || stop.State == state {
			list = append(list, stop)
		}
	}
	slices.SortFunc(list, func(a, b hemlocktally.ProvisionalStop) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// mergeStops adds stops that are new and settles those that were settled
// elsewhere. It ignores stops with commands other than taking out of service, and
// new stops once maxStops are retained.
func (s *State) mergeStops(stops []hemlocktally.ProvisionalStop, now time.Time) []Cmd {
	var cmds []Cmd
	s.deleteExpiredStops(now)
	for _, stop := range stops {
		current, known := s.stops[stop.ID]
		if known && (current.State != hemlocktally.StopActive || stop.State == hemlocktally.StopActive) {
			continue
		}
		if !known && len(s.stops) >= maxStops || slices.ContainsFunc(stop.Commands, func(c hemlocktally.Command) bool { return !c.IsStop() }) {
			continue
		}
		cmds = append(cmds, s.putStop(stop, now))
	}
	return cmds
}

// putStop stores a stop. It marks the stop as accepted if a recent change has its
// ID.
func (s *State) putStop(stop hemlocktally.ProvisionalStop, now time.Time) Cmd {
	if s.stops == nil {
		s.stops = map[string]hemlocktally.ProvisionalStop{}
		s.settledAt = map[string]time.Time{}
	}
	if slices.ContainsFunc(s.recent, func(a hemlocktally.AcceptedChange) bool { return a.Change.ID == stop.ID }) {
		stop.State = hemlocktally.StopAccepted
	}
	s.stops[stop.ID] = stop
	if stop.State != hemlocktally.StopActive {
		s.settledAt[stop.ID] = now
	}
	return StopChangedCmd{Stop: stop}
}

func (s *State) deleteExpiredStops(now time.Time) {
	for id, at := range s.settledAt {
		if now.Sub(at) > settledStopRetention {
			delete(s.settledAt, id)
			delete(s.stops, id)
		}
	}
}

// settleAcceptedStops marks the active stops whose changes were accepted.
func (s *State) settleAcceptedStops(changes []hemlocktally.AcceptedChange, now time.Time) []Cmd {
	var cmds []Cmd
	for _, change := range changes {
		if stop, ok := s.stops[change.Change.ID]; ok && stop.State == hemlocktally.StopActive {
			stop.State = hemlocktally.StopAccepted
			cmds = append(cmds, s.putStop(stop, now))
		}
	}
	return cmds
}
