package configurator

import (
	"cmp"
	"slices"
	"time"

	"hemlocktally"
)

// ChangesMsg brings accepted changes, oldest first.
type ChangesMsg struct {
	Changes []hemlocktally.Accepted
	Source  string
}

// WholeMsg brings a whole configuration, with the newest changes in it.
type WholeMsg struct {
	Configuration *hemlocktally.Configuration
	Recent        []hemlocktally.Accepted
	Source        string
}

// SeenMsg says what another source has in force.
type SeenMsg struct {
	Revision hemlocktally.Revision
	Hash     string
	Source   string
}

// StopsMsg brings provisional stops.
type StopsMsg struct {
	Stops []hemlocktally.ProvisionalStop
}

// Msg is one of the messages above.
type Msg any

// InForceCmd says that a newer configuration is in force.
type InForceCmd struct {
	Configuration *hemlocktally.Configuration
	Changes       []hemlocktally.Accepted // Changes is empty where the configuration came whole.
	Source        string
}

// GapCmd says that the source has changes that this instance lacks.
type GapCmd struct {
	Source string
}

// DivergentCmd says that the source has other content for a revision.
type DivergentCmd struct {
	Revision   hemlocktally.Revision
	Hash       string
	Source     string
	SourceHash string
}

// StopChangedCmd says that a provisional stop is new or was settled.
type StopChangedCmd struct {
	Stop hemlocktally.ProvisionalStop
}

// Cmd is one of the commands above.
type Cmd any

const (
	// recentLimit bounds the changes that are kept for peers.
	recentLimit = 64
	// stopLimit bounds the provisional stops that are kept.
	stopLimit = 64
	// settledTime is how long a settled stop is kept against late messages.
	settledTime = 2 * time.Hour
)

// State is what one instance knows of the configuration. Revisions only rise:
// no message can put an older one in force, or another of the same number.
type State struct {
	accepted *hemlocktally.Configuration
	recent   []hemlocktally.Accepted // recent ends with the revision in force.
	stops    map[string]hemlocktally.ProvisionalStop
	settled  map[string]time.Time
}

// Accepted returns the configuration that the store accepted, without
// provisional stops.
func (s *State) Accepted() *hemlocktally.Configuration {
	if s.accepted == nil {
		return &hemlocktally.Configuration{}
	}
	return s.accepted
}

// Update is the only step that changes the state.
func (s *State) Update(msg Msg, now time.Time) []Cmd {
	switch msg := msg.(type) {
	case ChangesMsg:
		return s.changes(msg, now)
	case WholeMsg:
		return s.whole(msg, now)
	case SeenMsg:
		return s.seen(msg)
	case StopsMsg:
		return s.mergeStops(msg.Stops, now)
	}
	return nil
}

func (s *State) changes(msg ChangesMsg, now time.Time) []Cmd {
	var cmds []Cmd
	var applied []hemlocktally.Accepted
	for _, change := range msg.Changes {
		present := s.Accepted()
		if change.Revision <= present.Revision {
			cmds = append(cmds, s.seen(SeenMsg{Revision: change.Revision, Hash: change.Hash, Source: msg.Source})...)
			continue
		}
		if change.Revision > present.Revision+1 {
			cmds = append(cmds, GapCmd{Source: msg.Source})
			break
		}
		next, err := present.Apply(change)
		if err != nil || change.Hash != chain(present.Hash, change) {
			cmds = append(cmds, DivergentCmd{
				Revision: present.Revision, Hash: present.Hash, Source: msg.Source, SourceHash: change.Hash,
			})
			break
		}
		s.accepted = next
		s.remember(change)
		applied = append(applied, change)
	}
	if len(applied) == 0 {
		return cmds
	}
	cmds = append(cmds, InForceCmd{Configuration: s.accepted, Changes: applied, Source: msg.Source})
	return append(cmds, s.settleBy(applied, now)...)
}

func (s *State) whole(msg WholeMsg, now time.Time) []Cmd {
	next := msg.Configuration
	for _, change := range msg.Recent {
		if cmds := s.seen(SeenMsg{Revision: change.Revision, Hash: change.Hash, Source: msg.Source}); isDivergent(cmds) {
			return cmds
		}
	}
	if next.Revision <= s.Accepted().Revision {
		return s.seen(SeenMsg{Revision: next.Revision, Hash: next.Hash, Source: msg.Source})
	}
	s.accepted = next
	s.recent = nil
	for _, change := range msg.Recent {
		s.remember(change)
	}
	cmds := []Cmd{InForceCmd{Configuration: next, Source: msg.Source}}
	return append(cmds, s.settleBy(msg.Recent, now)...)
}

func isDivergent(cmds []Cmd) bool {
	return slices.ContainsFunc(cmds, func(cmd Cmd) bool {
		_, divergent := cmd.(DivergentCmd)
		return divergent
	})
}

// seen compares what a source has in force with what is in force here.
func (s *State) seen(msg SeenMsg) []Cmd {
	present := s.Accepted()
	if msg.Revision > present.Revision {
		return []Cmd{GapCmd{Source: msg.Source}}
	}
	own := ""
	if msg.Revision == present.Revision {
		own = present.Hash
	} else if i := slices.IndexFunc(s.recent, func(a hemlocktally.Accepted) bool { return a.Revision == msg.Revision }); i >= 0 {
		own = s.recent[i].Hash
	}
	if own == "" || msg.Hash == "" || own == msg.Hash {
		return nil
	}
	return []Cmd{DivergentCmd{Revision: msg.Revision, Hash: own, Source: msg.Source, SourceHash: msg.Hash}}
}

func (s *State) remember(change hemlocktally.Accepted) {
	s.recent = append(s.recent, change)
	if extra := len(s.recent) - recentLimit; extra > 0 {
		s.recent = slices.Delete(s.recent, 0, extra)
	}
}

// After returns the changes after a revision, oldest first. It returns false
// where they are no longer kept.
func (s *State) After(revision hemlocktally.Revision) ([]hemlocktally.Accepted, bool) {
	present := s.Accepted().Revision
	if revision >= present {
		return nil, true
	}
	i := slices.IndexFunc(s.recent, func(a hemlocktally.Accepted) bool { return a.Revision == revision+1 })
	if i < 0 {
		return nil, false
	}
	return slices.Clone(s.recent[i:]), true
}

// Effective returns the configuration with the provisional stops in it.
func (s *State) Effective() *hemlocktally.Configuration {
	active := s.Stops(hemlocktally.StopActive)
	config := s.Accepted()
	if len(active) == 0 {
		return config
	}
	for _, stop := range active {
		for _, command := range stop.Commands {
			one := hemlocktally.Accepted{
				Revision: config.Revision, AcceptedAt: config.AcceptedAt, Hash: config.Hash,
				Change: hemlocktally.Change{ID: config.ChangeID, Author: config.Author, Commands: []hemlocktally.Command{command}},
			}
			if next, err := config.Apply(one); err == nil {
				config = next
			}
		}
	}
	effective := *config
	effective.Provisional = active
	return &effective
}

// Stops returns the provisional stops in a state, or all for an empty one,
// ordered by ID.
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

// mergeStops takes over stops that are new or settled elsewhere.
func (s *State) mergeStops(stops []hemlocktally.ProvisionalStop, now time.Time) []Cmd {
	var cmds []Cmd
	s.forgetStops(now)
	for _, stop := range stops {
		present, known := s.stops[stop.ID]
		if known && (present.State != hemlocktally.StopActive || stop.State == hemlocktally.StopActive) {
			continue
		}
		if !known && len(s.stops) >= stopLimit || slices.ContainsFunc(stop.Commands, func(c hemlocktally.Command) bool { return !c.IsStop() }) {
			continue
		}
		cmds = append(cmds, s.putStop(stop, now))
	}
	return cmds
}

func (s *State) putStop(stop hemlocktally.ProvisionalStop, now time.Time) Cmd {
	if s.stops == nil {
		s.stops = map[string]hemlocktally.ProvisionalStop{}
		s.settled = map[string]time.Time{}
	}
	if slices.ContainsFunc(s.recent, func(a hemlocktally.Accepted) bool { return a.Change.ID == stop.ID }) {
		stop.State = hemlocktally.StopAccepted
	}
	s.stops[stop.ID] = stop
	if stop.State != hemlocktally.StopActive {
		s.settled[stop.ID] = now
	}
	return StopChangedCmd{Stop: stop}
}

func (s *State) forgetStops(now time.Time) {
	for id, at := range s.settled {
		if now.Sub(at) > settledTime {
			delete(s.settled, id)
			delete(s.stops, id)
		}
	}
}

// settleBy ends the stops that have become accepted changes.
func (s *State) settleBy(changes []hemlocktally.Accepted, now time.Time) []Cmd {
	var cmds []Cmd
	for _, change := range changes {
		if stop, ok := s.stops[change.Change.ID]; ok && stop.State == hemlocktally.StopActive {
			stop.State = hemlocktally.StopAccepted
			cmds = append(cmds, s.putStop(stop, now))
		}
	}
	return cmds
}
