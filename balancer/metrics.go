package balancer

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
	"hemlocktally/placer"
	"hemlocktally/recorder"
	"hemlocktally/reserver"
)

// statsTimeout limits the wait for the statistics of all services.
const statsTimeout = 200 * time.Millisecond

// The types of metrics.
const (
	typeGauge   = "gauge"
	typeCounter = "counter"
)

func (b *Balancer) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), statsTimeout)
		defer cancel()
		if err := b.recorder.WriteMetrics(w, b.gauges(ctx)); err != nil {
			b.Log.Log(logger.EventMetricsFailed, logger.Fields{"Cause": err.Error()})
		}
	})
}

func (b *Balancer) gauges(ctx context.Context) []recorder.Metric {
	picture := b.follower.FleetState()
	ages := b.follower.InformationAges()
	gauges := []recorder.Metric{
		{Name: "revision", Help: "Revision of the configuration in force.", Type: typeGauge, Value: float64(picture.Configuration.Revision)},
		{Name: "hubs", Help: "Hubs in the view.", Type: typeGauge, Value: float64(len(b.follower.View().Members))},
		{Name: "instances", Help: "Instances that there seem to be.", Type: typeGauge, Value: float64(b.follower.View().Instances)},
		{Name: "targets_age_seconds", Help: "Age of the list of targets.", Type: typeGauge, Value: time.Since(picture.TargetsReadAt).Seconds()},
		{Name: "store_age_seconds", Help: "Time since the store last answered this instance itself.", Type: typeGauge, Value: ages.Store.Seconds()},
		{Name: "store_generation", Help: "How often the store has come back from a copy, as it says; 0 where it says nothing.", Type: typeGauge, Value: float64(b.follower.Generation())},
		{Name: "hub_age_seconds", Help: "Time since a hub in touch with the store last answered this instance.", Type: typeGauge, Value: ages.Hub.Seconds()},
	}
	gauges = append(gauges, recorder.Metric{
		Name: "requests_read_ahead_total", Help: "Requests that were served before those ahead of them had their answers.", Type: typeCounter, Value: float64(b.pipeline.ReadAheadCount()),
	})
	gauges = append(gauges, recorder.Metric{
		Name: "target_crashes_total", Help: "Attempts that ended with a crash of their target.", Type: typeCounter, Value: float64(b.dispatcher.Crashes()),
	})
	gauges = append(gauges, recorder.Metric{
		Name: "malformed_responses_total", Help: "Responses of targets and instances that were malformed or incomplete.", Type: typeCounter, Value: float64(b.dispatcher.MalformedResponses()),
	}, recorder.Metric{
		Name: "connections_abandoned_total", Help: "Connections to targets that were closed with a request that had no response.", Type: typeCounter, Value: float64(b.dialer.Abandoned()),
	}, recorder.Metric{
		Name: "handler_panics_total", Help: "Panics while a call was served.", Type: typeCounter, Value: float64(b.dispatcher.Panics() + b.pipeline.Panics()),
	})
	gauges = append(gauges, recorder.Metric{
		Name: "isolated_services", Help: "Services of which this instance reaches hardly any target.", Type: typeGauge, Value: float64(b.monitor.IsolatedServices()),
	})
	gauges = append(gauges, recorder.Metric{
		Name: "calls_handed_over_total", Help: "Calls that other instances served because this one reaches hardly any target.", Type: typeCounter, Value: float64(b.forwarder.Forwarded()),
	}, recorder.Metric{
		Name: "calls_taken_over", Help: "Calls of other instances that are open.", Type: typeGauge, Value: float64(b.dispatcher.Forwarded()),
	})
	suspected, held, refused := b.suspects.Stats()
	gauges = append(gauges, recorder.Metric{
		Name: "suspected_requests", Help: "Requests under which targets crashed lately, as far as this instance knows.", Type: typeGauge, Value: float64(suspected),
	}, recorder.Metric{
		Name: "quarantined_requests", Help: "Requests that this instance holds back because they crash targets.", Type: typeGauge, Value: float64(held),
	}, recorder.Metric{
		Name: "quarantine_refusals_total", Help: "Attempts that were refused because their request crashes targets.", Type: typeCounter, Value: float64(refused),
	})
	limited, granted := b.granter.Limits()
	gauges = append(gauges, recorder.Metric{
		Name: "limited_targets", Help: "Targets that name a limit, as far as this instance knows.", Type: typeGauge, Value: float64(limited),
	}, recorder.Metric{
		Name: "limited_grants_total", Help: "Grants that were counted against a limit of their target.", Type: typeCounter, Value: float64(granted),
	})
	gauges = append(gauges, b.reserverGauges()...)
	gauges = append(gauges, customerGauges(b.quotas.Stats())...)
	owned := b.owner.Stats(ctx)
	gauges = append(gauges, serviceGauges("owner", owned)...)
	gauges = append(gauges, serviceGauges("alone", b.fallback.Stats(ctx))...)
	gauges = append(gauges, spilloverGauges(owned)...)
	if b.LinesDropped != nil {
		gauges = append(gauges, recorder.Metric{
			Name: "log_lines_dropped_total", Help: "Log lines over the budget, or that nobody read.", Type: typeCounter, Value: float64(b.LinesDropped()),
		})
	}
	if b.StoreCalls == nil {
		return gauges
	}
	calls := b.StoreCalls()
	for _, operation := range slices.Sorted(maps.Keys(calls)) {
		gauges = append(gauges, recorder.Metric{
			Name: "store_calls_" + operation + "_total", Help: "Calls to the store.", Type: typeCounter, Value: float64(calls[operation]),
		})
	}
	return gauges
}

// spilloverGauges returns the metrics of the calls that leave their zone, of the services that
// this instance owns.
func spilloverGauges(services []placer.Stats) []recorder.Metric {
	var calls, shares, left, sizes []recorder.Metric
	for _, service := range services {
		for _, zone := range service.Zones {
			metric := recorder.Metric{Service: service.Service, Zone: zone.Zone, Type: typeCounter}
			metric.Name, metric.Help, metric.Value = "owner_zone_calls_total", "Calls from the zone.", float64(zone.Calls)
			calls = append(calls, metric)
			metric.Name, metric.Help, metric.Value = "owner_zone_left_bytes_total", "Bytes of responses from other zones to the zone's calls.", float64(zone.Bytes)
			sizes = append(sizes, metric)
			for _, reason := range placer.LeaveReasons() {
				metric.Name, metric.Help, metric.Value = "owner_zone_left_total", "Attempts for the zone's calls that were sent to another zone.", float64(zone.Left[reason])
				metric.Reason = string(reason)
				left = append(left, metric)
			}
			metric.Name, metric.Help, metric.Value = "owner_zone_share", "Share of the zone's calls that may leave because its targets are too few.", zone.Share
			metric.Reason, metric.Type = "", typeGauge
			shares = append(shares, metric)
		}
	}
	return slices.Concat(calls, shares, left, sizes)
}

// reserverGauges returns the metrics of what callers make the instance hold.
func (b *Balancer) reserverGauges() []recorder.Metric {
	stats := b.reserver.Stats()
	gauges := []recorder.Metric{
		{Name: "caller_memory_bytes", Help: "Memory reserved for what callers make the instance hold.", Type: typeGauge, Value: float64(stats.Used)},
		{Name: "caller_memory_limit_bytes", Help: "Budget for that memory; 0 for none.", Type: typeGauge, Value: float64(b.reserver.Bytes)},
		{Name: "caller_connections", Help: "Open connections of callers.", Type: typeGauge, Value: float64(stats.Connections)},
		{Name: "caller_connections_limit", Help: "How many connections callers may have open; 0 for no limit.", Type: typeGauge, Value: float64(b.reserver.Connections)},
		{Name: "caller_addresses", Help: "Addresses that callers have connections from.", Type: typeGauge, Value: float64(stats.Addresses)},
	}
	for _, kind := range reserver.Kinds() {
		gauges = append(gauges, recorder.Metric{
			Name: "caller_refusals_" + kind.String() + "_total", Help: "Callers refused or closed: " + kind.String() + ".", Type: typeCounter, Value: float64(stats.Refusals[kind]),
		})
	}
	return gauges
}

// serviceGauges returns the metrics of the services that this instance places
// calls for in a role: as their owner, or alone, without the owner.
func serviceGauges(role string, services []placer.Stats) []recorder.Metric {
	var gauges []recorder.Metric
	for _, metric := range []struct {
		name, help, kind string
		value            func(placer.Stats) float64
	}{
		{"waiting", "Calls that wait for a turn.", typeGauge, func(s placer.Stats) float64 { return float64(s.Waiting) }},
		{"turns", "Turns in use.", typeGauge, func(s placer.Stats) float64 { return float64(s.ActiveGrants) }},
		{"targets", "Targets known.", typeGauge, func(s placer.Stats) float64 { return float64(s.Targets) }},
		{"granted_total", "Turns given.", typeCounter, func(s placer.Stats) float64 { return float64(s.Granted) }},
		{"probes_total", "Questions to targets about their load.", typeCounter, func(s placer.Stats) float64 { return float64(s.Probes) }},
		{"limited_targets", "Targets whose limits are counted.", typeGauge, func(s placer.Stats) float64 { return float64(s.Limited) }},
		{"limit_refusals_total", "Calls refused because of targets' limits.", typeCounter, func(s placer.Stats) float64 { return float64(s.LimitRefusals) }},
		{"displaced_total", "Waiting calls refused for calls of customers that use less of their shares.", typeCounter, func(s placer.Stats) float64 { return float64(s.Displaced) }},
		{"retry_budget_used", "Part of the window's retry budget that is spent.", typeGauge, func(s placer.Stats) float64 { return s.BudgetUsed }},
	} {
		for _, stats := range services {
			gauges = append(gauges, recorder.Metric{
				Name: role + "_" + metric.name, Help: metric.help, Type: metric.kind, Service: stats.Service, Value: metric.value(stats),
			})
		}
	}
	return append(gauges, rolloutGauges(role, services)...)
}

// rolloutGauges returns the metrics of rollouts; none if rollouts are off.
func rolloutGauges(role string, services []placer.Stats) []recorder.Metric {
	var gauges []recorder.Metric
	for _, metric := range []struct {
		name, help, kind string
		value            func(placer.Stats) float64
	}{
		{"barred_targets", "Targets that get no calls because of their version.", typeGauge, func(s placer.Stats) float64 { return float64(s.Barred) }},
		{"rollout_deciding", "1 where this instance decides on a rollout.", typeGauge, func(s placer.Stats) float64 { return indicator(s.Rollout.Deciding) }},
		{"rollout_running", "1 while a rollout is running.", typeGauge, func(s placer.Stats) float64 {
			return indicator(s.Rollout.Phase == hemlocktally.RolloutRunning || s.Rollout.Phase == hemlocktally.RolloutSwitching)
		}},
		{"rollout_rolled_back", "1 if the last rollout was rolled back.", typeGauge, func(s placer.Stats) float64 { return indicator(s.Rollout.Phase == hemlocktally.RolloutRolledBack) }},
		{"rollout_share", "Share of the calls that are to go to the ordered version.", typeGauge, func(s placer.Stats) float64 { return s.Rollout.Share }},
		{"rollout_calls", "Calls since the order.", typeGauge, func(s placer.Stats) float64 { return s.Rollout.Calls }},
		{"rollout_exposed", "Calls that the ordered version may have got.", typeGauge, func(s placer.Stats) float64 { return s.Rollout.Exposed }},
		{"rollout_bad", "Results of the ordered version that were bad.", typeGauge, func(s placer.Stats) float64 { return s.Rollout.Bad }},
	} {
		for _, stats := range services {
			if stats.Versions {
				gauges = append(gauges, recorder.Metric{
					Name: role + "_" + metric.name, Help: metric.help, Type: metric.kind, Service: stats.Service, Value: metric.value(stats),
				})
			}
		}
	}
	return gauges
}

func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
