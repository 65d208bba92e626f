package allocator

import (
	"time"

	"hemlocktally"
)

// statuses returns the status of each target, with the reason why it gets no or
// little work.
func (s *State) statuses(now time.Time) []hemlocktally.TargetStatus {
	list := make([]hemlocktally.TargetStatus, 0, len(s.targets))
	for _, t := range s.targets {
		reason := t.reason
		switch {
		case t.outOfService:
			reason = "operators took it or its zone out of service"
		case now.Before(t.backoffUntil):
			reason = "in backoff after failures: " + reason
		case t.cold() && !now.Before(s.exclusivity.Until):
			reason = "waits until this owner is the only one: " + reason
		}
		list = append(list, hemlocktally.TargetStatus{
			Service: s.Service, Target: t.target.Name, Zone: t.target.Zone, Owner: s.Owner, State: t.state(),
			Reason: reason, InFlight: len(t.inFlight), Cap: t.concurrencyLimit(now, s.exclusivity),
			Latency: time.Duration(t.latency.value), Served: t.served,
		})
	}
	return list
}

// budgetStatuses returns the probe and contract budgets and what has been used of
// them.
func (s *State) budgetStatuses() hemlocktally.BudgetStatus {
	status := hemlocktally.BudgetStatus{
		Service: s.Service, Owner: s.Owner, ProbesPerSecond: s.probes.perSecond,
		Probes: s.probes.spent, ProbesRefused: s.probes.refused,
	}
	for _, contract := range s.budgets {
		status.Contracts = append(status.Contracts, hemlocktally.ContractBudgetStatus{
			Contract: contract.contract.Name, Calls: contract.callCount, Retries: contract.retryCount, Hedges: contract.hedgeCount,
			Refused: contract.refusedCount,
		})
	}
	return status
}

// unobservedTargets returns the cold targets in service from which this owner has
// heard nothing yet.
func (s *State) unobservedTargets() []hemlocktally.TargetName {
	var names []hemlocktally.TargetName
	for _, t := range s.targets {
		if t.cold() && t.lastHeard.IsZero() && !t.outOfService {
			names = append(names, t.target.Name)
		}
	}
	return names
}

// warmTargets returns the warm targets in service.
func (s *State) warmTargets() []hemlocktally.TargetName {
	var names []hemlocktally.TargetName
	for _, t := range s.targets {
		if t.warm() && !t.outOfService {
			names = append(names, t.target.Name)
		}
	}
	return names
}
