package placer

import (
	"sync"
	"time"

	"hemlocktally"
)

// fullLasts is how long an owner that had nothing for a visitor is not visited.
const fullLasts = 60 * time.Millisecond

// visitors remembers which owners had nothing for visitors lately. Its zero value
// works.
type visitors struct {
	mu    sync.Mutex
	since map[visited]time.Time
}

// visited is a service at its owner of a zone.
type visited struct {
	service hemlocktally.ServiceName
	owner   hemlocktally.InstanceID
}

// note notes that the owner had nothing. There are as many entries as owners and
// services at the most.
func (v *visitors) note(service hemlocktally.ServiceName, owner hemlocktally.InstanceID, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.since == nil {
		v.since = map[visited]time.Time{}
	}
	v.since[visited{service, owner}] = now
}

// full reports whether the owner had nothing a moment ago.
func (v *visitors) full(service hemlocktally.ServiceName, owner hemlocktally.InstanceID, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.since[visited{service, owner}]
	return ok && now.Sub(at) < fullLasts
}
