package placer

import (
	"context"
	"slices"
	"strings"
	"time"

	"hemlocktally"
)

// Stats is what an owner or an instance that decides alone has done for one
// service since it started, and what it holds now.
type Stats struct {
	Service hemlocktally.ServiceName
	Waiting int // Waiting is the calls that wait for a turn.
	Turns   int // Turns are those in use.
	Targets int
	Granted uint64
	Probes  uint64 // Probes are the questions about load.
	// Examined counts the targets that choices looked at: what they cost.
	Examined uint64
	// BudgetUsed is the part of the retry budget of the window that is spent.
	BudgetUsed float64
}

// Stats returns the present figures of the service.
func (s *State) Stats(now time.Time) Stats {
	out := Stats{
		Service: s.service.Name, Waiting: len(s.queue), Targets: len(s.order), Granted: s.granted, Probes: s.probes,
		Examined:   s.examined,
		BudgetUsed: s.spent.used(now, s.ownBounds()),
	}
	for _, t := range s.order {
		out.Turns += len(t.turns)
	}
	return out
}

// statsCall asks a service's task for its figures.
type statsCall struct {
	answer chan Stats
}

// Stats returns the figures of each service that is decided for here, as far as
// their tasks answer before the context ends.
func (s *Server) Stats(ctx context.Context) []Stats {
	s.mu.Lock()
	tasks := make([]*serviceTask, 0, len(s.services))
	for _, task := range s.services {
		tasks = append(tasks, task)
	}
	s.mu.Unlock()
	var list []Stats
	for _, task := range tasks {
		call := statsCall{answer: make(chan Stats, 1)}
		select {
		case task.inbox <- call:
		case <-ctx.Done():
			return list
		}
		select {
		case stats := <-call.answer:
			list = append(list, stats)
		case <-ctx.Done():
			return list
		}
	}
	slices.SortFunc(list, func(a, b Stats) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return list
}
