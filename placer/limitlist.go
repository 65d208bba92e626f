package placer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
)

// rateLimitTTL is how long a limit is remembered after the last response that named it. A limit
// whose target gets no calls for so long is learned anew from its next response.
const rateLimitTTL = time.Minute

// limitList holds what the targets' responses say about their limits, as far as this instance
// knows. The zero value is ready to use.
type limitList struct {
	size    atomic.Int64 // size is the number of entries. It spares most calls the lock.
	granted atomic.Uint64
	mu      sync.Mutex
	targets map[hemlocktally.TargetName]limitEntry
}

// limitEntry is the last known limit of one incarnation of a target.
type limitEntry struct {
	service hemlocktally.ServiceName
	address string
	started int64
	limit   hemlocktally.RateLimit
}

func (e limitEntry) matches(target hemlocktally.Target) bool {
	return e.address == target.Address && e.started == target.Started
}

// record applies what a response said, unless a later one is known. It returns the limit known
// before, and whether it differs.
func (l *limitList) record(service hemlocktally.ServiceName, target hemlocktally.Target, limit hemlocktally.RateLimit) (before hemlocktally.RateLimit, changed bool) {
	if !limit.Named && l.size.Load() == 0 {
		return before, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.targets[target.Name]
	if known && !entry.matches(target) {
		entry, known = limitEntry{}, false
	}
	if limit.At.Before(entry.limit.At) || (!known && !limit.Named) {
		return entry.limit, false
	}
	if l.targets == nil {
		l.targets = map[hemlocktally.TargetName]limitEntry{}
	}
	if len(l.targets) >= pruneThreshold {
		maps.DeleteFunc(l.targets, func(_ hemlocktally.TargetName, e limitEntry) bool { return limit.At.Sub(e.limit.At) > rateLimitTTL })
	}
	l.targets[target.Name] = limitEntry{service: service, address: target.Address, started: target.Started, limit: limit}
	l.size.Store(int64(len(l.targets)))
	return entry.limit, !limit.Same(entry.limit)
}

// find returns what is known of the target's limit; ok is false if nothing is.
func (l *limitList) find(target hemlocktally.Target, now time.Time) (limit hemlocktally.RateLimit, ok bool) {
	if l.size.Load() == 0 {
		return limit, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.targets[target.Name]
	if !known || !entry.matches(target) || now.Sub(entry.limit.At) > rateLimitTTL {
		return limit, false
	}
	return entry.limit, true
}

// limited returns how many targets are known to have a limit.
func (l *limitList) limited(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, entry := range l.targets {
		if entry.limit.Named && now.Sub(entry.limit.At) <= rateLimitTTL {
			n++
		}
	}
	return n
}
