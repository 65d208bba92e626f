package recorder

import (
	"cmp"
	"maps"
	"slices"

	"hemlocktally"
)

// maxCustomers limits the customers that are counted separately; the calls of any further one are
// counted as those of OverflowName.
const maxCustomers = 200

// CustomerCount counts the calls of one customer.
type CustomerCount struct {
	Customer  hemlocktally.CustomerName
	Requested uint64
	Served    uint64 // Served is the number of calls with outcome Done.
	Late      uint64 // Late is the number of those whose response came after the objective.
	Refused   map[hemlocktally.Reason]uint64
}

// countCustomer counts a call of a customer. The lock is held.
func (r *Recorder) countCustomer(record *hemlocktally.CallRecord) {
	name := record.Customer
	if name == "" {
		return
	}
	if r.customers == nil {
		r.customers = map[hemlocktally.CustomerName]*CustomerCount{}
	}
	if r.customers[name] == nil && len(r.customers) >= maxCustomers {
		name = OverflowName
	}
	count := r.customers[name]
	if count == nil {
		count = &CustomerCount{Customer: name, Refused: map[hemlocktally.Reason]uint64{}}
		r.customers[name] = count
	}
	count.Requested++
	switch {
	case record.Outcome != hemlocktally.OutcomeDone:
		count.Refused[record.Reason]++
	case record.Late:
		count.Served++
		count.Late++
	default:
		count.Served++
	}
}

// Customers returns the counts of the customers, sorted by name.
func (r *Recorder) Customers() []CustomerCount {
	r.flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]CustomerCount, 0, len(r.customers))
	for _, count := range r.customers {
		copied := *count
		copied.Refused = maps.Clone(count.Refused)
		list = append(list, copied)
	}
	slices.SortFunc(list, func(a, b CustomerCount) int { return cmp.Compare(a.Customer, b.Customer) })
	return list
}

// customerMetrics returns the counts of the customers as metrics.
func customerMetrics(customers []CustomerCount) []Metric {
	var list []Metric
	for _, metric := range []struct {
		name, help string
		value      func(CustomerCount) uint64
	}{
		{"customer_calls_total", "Calls of a customer.", func(c CustomerCount) uint64 { return c.Requested }},
		{"customer_served_total", "Calls of a customer that got a target's response.", func(c CustomerCount) uint64 { return c.Served }},
		{"customer_late_total", "Calls of a customer whose response came after the objective.", func(c CustomerCount) uint64 { return c.Late }},
	} {
		for _, c := range customers {
			list = append(list, Metric{Name: metric.name, Help: metric.help, Type: "counter", Customer: c.Customer, Value: float64(metric.value(c))})
		}
	}
	for _, c := range customers {
		for _, reason := range slices.Sorted(maps.Keys(c.Refused)) {
			list = append(list, Metric{
				Name: "customer_refused_total", Help: "Calls of a customer without a target's response, by reason.", Type: "counter",
				Customer: c.Customer, Reason: string(cmp.Or(reason, UnsetName)), Value: float64(c.Refused[reason]),
			})
		}
	}
	return list
}
