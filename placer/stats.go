package placer

import (
	"context"
	"slices"
	"strings"
	"time"

	"hemlocktally"
	"hemlocktally/promoter"
)

// Stats are the counters of one service since the server started, and its current state.
type Stats struct {
	Service      hemlocktally.ServiceName
	Waiting      int // Waiting is the number of calls that wait for a grant.
	ActiveGrants int // ActiveGrants is the number of grants in use.
	Targets      int
	Granted      uint64
	Probes       uint64 // Probes is the number of load probes sent.
	// Examined is the number of targets that choices have looked at, which measures their
	// cost.
	Examined uint64
	// BudgetUsed is the used share of the retry budget of the current window.
	BudgetUsed float64
	// Limited is the number of targets whose limits are counted, LimitRefusals the number of
	// calls that were refused because of them.
	Limited       int
	LimitRefusals uint64
	// Zones are the counters by the callers' zone; empty if the zones are not weighed.
	Zones []ZoneStats
	// Displaced is the number of waiting calls that were refused because calls of customers that
	// use less of their shares came before them.
	Displaced uint64
	// Rollout is what is known of the service's rollout; Versions is set if rollouts are on.
	Rollout  promoter.Report
	Versions bool
	Barred   int // Barred is the number of targets whose version gets no calls.
}

// Stats returns the current statistics of the service.
func (s *State) Stats(now time.Time) Stats {
	out := Stats{
		Service: s.service.Name, Waiting: len(s.queue), Targets: len(s.sorted), Granted: s.granted, Probes: s.probes,
		Examined:   s.examined,
		BudgetUsed: s.retries.usedShare(now, s.effectiveBounds()),
		Zones:      s.zoneStats(),
		Limited:    len(s.limited), LimitRefusals: s.limitRefusals, Displaced: s.displaced,
	}
	for _, t := range s.sorted {
		out.ActiveGrants += len(t.grants)
	}
	if s.rollout.decision != nil {
		out.Rollout, out.Versions, out.Barred = s.rollout.decision.Report(now), true, s.rollout.barred
	}
	return out
}

// statsRequest asks a service's task for its statistics.
type statsRequest struct {
	reply chan Stats
}

// Stats returns the statistics of each service that has a task, sorted by name. Services whose
// tasks don't reply before the context ends are missing.
func (s *Server) Stats(ctx context.Context) []Stats {
	s.mu.Lock()
	tasks := make([]*serviceTask, 0, len(s.services))
	for _, task := range s.services {
		tasks = append(tasks, task)
	}
	s.mu.Unlock()
	var list []Stats
	for _, task := range tasks {
		request := statsRequest{reply: make(chan Stats, 1)}
		select {
		case task.inbox <- request:
		case <-ctx.Done():
			return list
		}
		select {
		case stats := <-request.reply:
			list = append(list, stats)
		case <-ctx.Done():
			return list
		}
	}
	slices.SortFunc(list, func(a, b Stats) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return list
}
