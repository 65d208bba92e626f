package imitator

import "time"

const (
	// DefaultReplicaLag is how far a lagging replica is behind.
	DefaultReplicaLag = 200 * time.Millisecond
	// pastTime is how long the history of a key is kept.
	pastTime = 10 * time.Second
)

// pastEntry is what a key held from a moment on.
type pastEntry struct {
	entry storedEntry
	gone  bool
	at    time.Time
}

// remember adds to the history of a key and drops what no replica shows.
func (p *Platform) remember(key string, past pastEntry) {
	past.at = time.Now()
	history := p.past[key]
	history = append(history, past)
	for len(history) > 1 && past.at.Sub(history[1].at) > pastTime {
		history = history[1:]
	}
	p.past[key] = history
}

// read returns what a key held at a time.
func (p *Platform) read(key string, asOf time.Time) (storedEntry, bool) {
	history := p.past[key]
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(asOf) {
			return history[i].entry, !history[i].gone
		}
	}
	return storedEntry{}, false
}

// replicaTime returns the time that one read shows: now, or by chance that of
// the lagging replica.
func (p *Platform) replicaTime() time.Time {
	now := time.Now()
	if p.random.Float64() >= p.faults.StaleReads {
		return now
	}
	if p.faults.ReplicaLag > 0 {
		return now.Add(-p.faults.ReplicaLag)
	}
	return now.Add(-DefaultReplicaLag)
}
