package imitator

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

type failure struct {
	Detail string
}

func (p *Platform) get(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	e, ok := p.read(r.URL.Query().Get("Key"), p.replicaTime())
	if !ok {
		return http.StatusNotFound, failure{"no such key"}
	}
	return http.StatusOK, e
}

func (p *Platform) swap(r *http.Request) (int, any) {
	var in storedEntry
	if err := decode(r, &in); err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	if len(in.Value) > maxValueBytes {
		return http.StatusRequestEntityTooLarge, failure{"value over 1 MB"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	if in.Lease != "" && p.leases[in.Lease] == nil {
		return http.StatusNotFound, failure{"no such lease"}
	}
	present := p.entries[in.Key]
	if present.Version != in.Version {
		present.Key = in.Key
		return http.StatusConflict, present
	}
	p.sequence++
	in.Version = p.sequence
	in.sequence = p.sequence
	p.entries[in.Key] = in
	delete(p.removed, in.Key)
	p.remember(in.Key, pastEntry{entry: in})
	p.notify()
	return http.StatusOK, in
}

func (p *Platform) remove(r *http.Request) (int, any) {
	key := r.URL.Query().Get("Key")
	version, err := strconv.ParseUint(r.URL.Query().Get("Version"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	present, ok := p.entries[key]
	if !ok {
		return http.StatusNotFound, failure{"no such key"}
	}
	if present.Version != version {
		return http.StatusConflict, present
	}
	p.drop(key)
	return http.StatusOK, present
}

type listing struct {
	Entries  []storedEntry
	Sequence uint64
}

func (p *Platform) list(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	return http.StatusOK, p.below(r.URL.Query().Get("Prefix"), p.replicaTime())
}

func (p *Platform) below(prefix string, asOf time.Time) listing {
	out := listing{Sequence: p.sequence}
	for key := range p.past {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if e, ok := p.read(key, asOf); ok {
			out.Entries = append(out.Entries, e)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Key < out.Entries[j].Key })
	return out
}

// watch answers once anything below the prefix has changed, deletions included.
func (p *Platform) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	wait, err := strconv.ParseInt(query.Get("WaitMilliseconds"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, failure{err.Error()}
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		found := p.below(query.Get("Prefix"), time.Now())
		touched := p.touched(query.Get("Prefix"), after)
		changed := p.changed
		down := p.faults.Down
		p.mu.Unlock()
		if down {
			return http.StatusServiceUnavailable, failure{"the key-value service is down"}
		}
		if touched {
			return http.StatusOK, found
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, found
		case <-r.Context().Done():
			return http.StatusOK, found
		}
	}
}

// touched reports whether a key below the prefix was written or went away after
// the sequence.
func (p *Platform) touched(prefix string, after uint64) bool {
	for key, e := range p.entries {
		if e.sequence > after && strings.HasPrefix(key, prefix) {
			return true
		}
	}
	for key, sequence := range p.removed {
		if sequence > after && strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (p *Platform) drop(key string) {
	p.sequence++
	delete(p.entries, key)
	p.removed[key] = p.sequence
	p.remember(key, pastEntry{gone: true})
	p.notify()
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
