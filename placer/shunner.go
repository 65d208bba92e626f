package placer

import (
	"maps"
	"sync"
	"time"

	"hemlocktally"
)

// Bounds of what an instance remembers itself of targets that want nothing of it.
const (
	leavingKept  = 10 * time.Minute // leavingKept is how long a target is known to leave after it last said so: longer than it stays.
	pruneAt      = 256              // pruneAt is the number of entries from which on old ones are looked for.
	shunnedTurns = 4                // shunnedTurns is how many turns on shunned targets a call gives back before it is refused.
)

// shunner is an instance's own memory of the targets that told it that they leave,
// or that they want nothing of it for a while. It holds whoever decides, by
// whatever list. Its zero value works.
type shunner struct {
	mu      sync.Mutex
	targets map[hemlocktally.TargetName]shunned
}

// shunned is one incarnation of a target.
type shunned struct {
	address string
	started int64
	leaving bool
	until   time.Time
}

// note takes over what the end of an attempt tells. It reports whether the target
// is newly known to leave.
func (s *shunner) note(result hemlocktally.GrantResult, now time.Time) (news bool) {
	if !result.SaidDraining && result.StayAway <= 0 {
		return false
	}
	target := result.Grant.Target
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets == nil {
		s.targets = map[hemlocktally.TargetName]shunned{}
	}
	if len(s.targets) >= pruneAt {
		maps.DeleteFunc(s.targets, func(_ hemlocktally.TargetName, t shunned) bool { return now.After(t.until) })
	}
	t := s.targets[target.Name]
	if !t.is(target) {
		t = shunned{address: target.Address, started: target.Started}
	}
	news = result.SaidDraining && !t.leaving
	t.leaving = t.leaving || result.SaidDraining
	t.until = later(t.until, now.Add(result.StayAway))
	if t.leaving {
		t.until = later(t.until, now.Add(leavingKept))
	}
	s.targets[target.Name] = t
	return news
}

func (t shunned) is(target hemlocktally.Target) bool {
	return t.address == target.Address && t.started == target.Started
}

// shuns returns what the instance knows against sending to the target.
func (s *shunner) shuns(target hemlocktally.Target, now time.Time) (shunned, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[target.Name]
	return t, ok && t.is(target) && now.Before(t.until)
}
