package balancer

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

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
	gauges = append(gauges, serviceGauges("owner", b.owner.Stats(ctx))...)
	gauges = append(gauges, serviceGauges("alone", b.fallback.Stats(ctx))...)
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
		{"retry_budget_used", "Part of the window's retry budget that is spent.", typeGauge, func(s placer.Stats) float64 { return s.BudgetUsed }},
	} {
		for _, stats := range services {
			gauges = append(gauges, recorder.Metric{
				Name: role + "_" + metric.name, Help: metric.help, Type: metric.kind, Service: stats.Service, Value: metric.value(stats),
			})
		}
	}
	return gauges
}
