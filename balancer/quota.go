package balancer

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"hemlocktally"
	"hemlocktally/limiter"
	"hemlocktally/recorder"
)

// setUpQuotas creates the limiters of customers' calls.
func (b *Balancer) setUpQuotas(incarnation string, peers *http.Client) {
	s := b.Settings
	bounds := limiter.Bounds{Window: s.Quotas.Window, Overshoot: 1 + s.Quotas.Overshoot, Slack: s.Quotas.Slack}
	b.quotas = &limiter.Limiter{
		Self: hemlocktally.InstanceID(s.Instance.ID), Incarnation: incarnation, Address: s.Listen.Peers, Bounds: bounds,
		View: b.follower, HTTP: peers, Log: b.Log, StoreAge: func() time.Duration { return b.follower.InformationAges().Store },
	}
	b.quotas.Prepare()
	b.alone = &limiter.Alone{Bounds: bounds}
}

// maxCustomerGauges is how many customers have metrics of their own. The others, which have the
// fewest calls, are added up as recorder.OverflowName.
const maxCustomerGauges = 100

// customerGauges returns the metrics of the customers' calls that this instance decided on as an
// owner.
func customerGauges(stats []limiter.Stats) []recorder.Metric {
	slices.SortStableFunc(stats, func(a, b limiter.Stats) int { return cmp.Compare(b.Requested, a.Requested) })
	if len(stats) > maxCustomerGauges {
		other := limiter.Stats{Customer: recorder.OverflowName}
		for _, s := range stats[maxCustomerGauges:] {
			other.Requested += s.Requested
			other.Refused += s.Refused
			other.GivenBack += s.GivenBack
			other.Used, other.Share = max(other.Used, s.Used), max(other.Share, s.Share)
		}
		stats = append(stats[:maxCustomerGauges:maxCustomerGauges], other)
	}
	var gauges []recorder.Metric
	for _, metric := range []struct {
		name, help, kind string
		value            func(limiter.Stats) float64
	}{
		{"quota_requested_total", "Calls that this owner counted or refused against a quota.", typeCounter, func(s limiter.Stats) float64 { return float64(s.Requested) }},
		{"quota_refused_total", "Calls that this owner refused because of a quota.", typeCounter, func(s limiter.Stats) float64 { return float64(s.Refused) }},
		{"quota_given_back_total", "Counted calls that were not executed and do not count.", typeCounter, func(s limiter.Stats) float64 { return float64(s.GivenBack) }},
		{"quota_used", "Part of the quota of the current window that is used, at all owners.", typeGauge, func(s limiter.Stats) float64 { return s.Used }},
		{"quota_share", "Part of the quota that this owner may use.", typeGauge, func(s limiter.Stats) float64 { return s.Share }},
	} {
		for _, s := range stats {
			gauges = append(gauges, recorder.Metric{
				Name: metric.name, Help: metric.help, Type: metric.kind, Customer: s.Customer, Value: metric.value(s),
			})
		}
	}
	return gauges
}
