package placer

import (
	"maps"
	"sync"
	"time"

	"hemlocktally"
)

// Limits of the list of targets that an instance avoids.
const (
	// leavingTTL is how long a target is remembered as leaving after it last said so. It is
	// longer than a leaving target stays.
	leavingTTL = 10 * time.Minute
	// pruneThreshold is the number of entries at which old ones are removed.
	pruneThreshold = 256
	// maxReturnedGrants is how many grants on avoided targets a call returns before it is
	// refused.
	maxReturnedGrants = 4
)

// avoidList holds the targets that told this instance that they are leaving or that it should
// stay away. The client applies it to the grants of every owner, whatever list of targets the
// owner has. The zero value is ready to use.
type avoidList struct {
	mu      sync.Mutex
	targets map[hemlocktally.TargetName]avoidedTarget
}

// avoidedTarget is one incarnation of a target.
type avoidedTarget struct {
	address string
	started int64
	leaving bool
	until   time.Time
}

// record adds the target of the result if it said that it is leaving or asked to stay away. It
// reports whether the target was not known to be leaving before.
func (l *avoidList) record(result hemlocktally.GrantResult, now time.Time) (newlyLeaving bool) {
	if !result.ReportedDraining && result.RetryAfter <= 0 {
		return false
	}
	target := result.Grant.Target
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.targets == nil {
		l.targets = map[hemlocktally.TargetName]avoidedTarget{}
	}
	if len(l.targets) >= pruneThreshold {
		maps.DeleteFunc(l.targets, func(_ hemlocktally.TargetName, t avoidedTarget) bool { return now.After(t.until) })
	}
	entry := l.targets[target.Name]
	if !entry.matches(target) {
		entry = avoidedTarget{address: target.Address, started: target.Started}
	}
	newlyLeaving = result.ReportedDraining && !entry.leaving
	entry.leaving = entry.leaving || result.ReportedDraining
	entry.until = laterOf(entry.until, now.Add(result.RetryAfter))
	if entry.leaving {
		entry.until = laterOf(entry.until, now.Add(leavingTTL))
	}
	l.targets[target.Name] = entry
	return newlyLeaving
}

func (t avoidedTarget) matches(target hemlocktally.Target) bool {
	return t.address == target.Address && t.started == target.Started
}

// find returns the entry of the target, and whether the target is to be avoided now.
func (l *avoidList) find(target hemlocktally.Target, now time.Time) (avoidedTarget, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.targets[target.Name]
	return entry, ok && entry.matches(target) && now.Before(entry.until)
}
