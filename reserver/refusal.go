package reserver

import (
	"net/netip"
	"time"
)

// Kind is the kind of a refusal.
type Kind int

// The kinds of refusals.
const (
	KindMemory      Kind = iota // KindMemory is work beyond the memory budget, refused as not run.
	KindConnections             // KindConnections is a new connection beyond the limit, closed.
	KindIdle                    // KindIdle is an idle connection that was closed for a new one.
	KindSlow                    // KindSlow is a connection that was closed because it moved few bytes.
	KindHeadSize                // KindHeadSize is a head with too many bytes.
	KindHeadLines               // KindHeadLines is a head with too many lines.
	KindEmptyLines              // KindEmptyLines is too many empty lines before a head.
	KindBodyRate                // KindBodyRate is a body that arrived too slowly.
	kinds
)

// String returns the kind as it is named in logs and metrics.
func (k Kind) String() string {
	return [...]string{"memory", "connections", "idle", "slow", "head_size", "head_lines", "empty_lines", "body_rate"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for k := range all {
		all[k] = Kind(k)
	}
	return all
}

// reportInterval is the least time between two reports of one kind.
const reportInterval = time.Second

// refusals counts the refusals of one kind.
type refusals struct {
	total, unreported uint64
	reportedAt        time.Time
}

func (r *Reserver) note(kind Kind, client netip.Addr) {
	n := &r.refusals[kind]
	n.total++
	n.unreported++
	now := time.Now()
	if r.Report == nil || now.Sub(n.reportedAt) < reportInterval {
		return
	}
	r.Report(kind, n.unreported, client)
	n.unreported, n.reportedAt = 0, now
}

// Stats are the figures of a Reserver.
type Stats struct {
	Used        int64 // Used is the memory that is reserved, in bytes.
	Connections int
	Addresses   int
	Refusals    [kinds]uint64 // Refusals counts the refusals by Kind.
}

// Stats returns the current figures.
func (r *Reserver) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{Used: r.used, Connections: len(r.holders), Addresses: len(r.addresses)}
	for kind, n := range r.refusals {
		s.Refusals[kind] = n.total
	}
	return s
}
