package imitator

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
)

type storedLease struct {
	ttl time.Duration
	end time.Time
}

const leaseSweepInterval = 20 * time.Millisecond

func (p *Platform) grant(r *http.Request) (int, any) {
	var in struct{ TTLMilliseconds int64 }
	if err := decode(r, &in); err != nil || in.TTLMilliseconds <= 0 {
		return http.StatusBadRequest, failure{"a lease needs TTLMilliseconds"}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	id := uuid.NewString()
	ttl := time.Duration(in.TTLMilliseconds) * time.Millisecond
	p.leases[id] = &storedLease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, struct{ ID string }{id}
}

func (p *Platform) renew(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	lease := p.leases[r.URL.Query().Get("ID")]
	if lease == nil {
		return http.StatusNotFound, failure{"no such lease"}
	}
	lease.end = time.Now().Add(lease.ttl)
	return http.StatusOK, struct{}{}
}

func (p *Platform) revoke(r *http.Request) (int, any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.URL.Query().Get("ID")
	if p.leases[id] == nil {
		return http.StatusNotFound, failure{"no such lease"}
	}
	p.endLease(id)
	return http.StatusOK, struct{}{}
}

// EndLease lets the lease lapse now, whoever holds it.
func (p *Platform) EndLease(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.endLease(id)
}

func (p *Platform) sweepLeases(ctx context.Context) {
	ticker := time.NewTicker(leaseSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.mu.Lock()
			p.init()
			p.expire(now)
			p.mu.Unlock()
		}
	}
}

func (p *Platform) expire(now time.Time) {
	for id, lease := range p.leases {
		if now.After(lease.end) {
			p.endLease(id)
		}
	}
}

func (p *Platform) endLease(id string) {
	delete(p.leases, id)
	for key, e := range p.entries {
		if e.Lease == id {
			p.drop(key)
		}
	}
}
