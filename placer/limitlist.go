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
const rateLimitTTL = 10 * time.Minute

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
	started int64
	limit   hemlocktally.RateLimit
	// changedAt is when this instance learned that the limit is another one, and heardFrom the
	// server that told it; that is empty if the target's own response did.
	changedAt time.Time
	heardFrom string
}

// record applies what a response said, unless a later one is known. It returns the limit known
// before, and whether it differs.
func (l *limitList) record(service hemlocktally.ServiceName, said hemlocktally.TargetLimit, heardFrom string, now time.Time) (before hemlocktally.RateLimit, changed bool) {
	limit := said.Limit
	if !limit.Named && l.size.Load() == 0 {
		return before, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.targets[said.Target]
	if known && entry.started != said.Started {
		entry, known = limitEntry{}, false
	}
	if limit.At.Before(entry.limit.At) || (!known && !limit.Named) {
		return entry.limit, false
	}
	if l.targets == nil {
		l.targets = map[hemlocktally.TargetName]limitEntry{}
	}
	if len(l.targets) >= pruneThreshold {
		maps.DeleteFunc(l.targets, func(_ hemlocktally.TargetName, e limitEntry) bool { return now.Sub(e.limit.At) > rateLimitTTL })
	}
	before, changed = entry.limit, !limit.Same(entry.limit)
	next := limitEntry{service: service, started: said.Started, limit: limit, changedAt: entry.changedAt, heardFrom: entry.heardFrom}
	if changed {
		next.changedAt, next.heardFrom = now, heardFrom
	}
	l.targets[said.Target] = next
	l.size.Store(int64(len(l.targets)))
	return before, changed
}

// newsFor returns the limits of the service's targets that this instance learned after the given
// time, except from the server itself. If the time is zero, it returns all: the server may have
// restarted.
func (l *limitList) newsFor(server string, service hemlocktally.ServiceName, since time.Time) []hemlocktally.TargetLimit {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var limits []hemlocktally.TargetLimit
	for name, entry := range l.targets {
		if entry.service == service && (since.IsZero() || entry.heardFrom != server) && entry.changedAt.After(since) {
			limits = append(limits, hemlocktally.TargetLimit{Target: name, Started: entry.started, Limit: entry.limit})
		}
	}
	return limits
}

// find returns what is known of the target's limit; ok is false if nothing is.
func (l *limitList) find(target hemlocktally.Target, now time.Time) (limit hemlocktally.RateLimit, ok bool) {
	if l.size.Load() == 0 {
		return limit, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.targets[target.Name]
	if !known || entry.started != target.Started || now.Sub(entry.limit.At) > rateLimitTTL {
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
