package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hemlocktally"
)

// fairness shares the capacity of a service between customers while calls wait: weighted fair
// queueing within each priority. A customer's weight is its quota. The zero value shares nothing.
type fairness struct {
	weights map[hemlocktally.CustomerName]float64
	// otherWeight is the weight of calls without a quota: the mean of all others.
	otherWeight float64
	customers   []hemlocktally.Customer
	flows       map[flowKey]*flow
	virtual     map[hemlocktally.Priority]float64 // virtual is the virtual time of each priority.
	pass        uint64                            // pass numbers the computations of the order.
}

type flowKey struct {
	customer hemlocktally.CustomerName
	priority hemlocktally.Priority
}

// flow is one customer's share within a priority.
type flow struct {
	weight  float64
	granted float64 // granted is the virtual time up to which the customer has used its share.
	next    float64 // next is the virtual time after its calls that were looked at in this pass.
	pass    uint64
}

// maxFlows is the number of flows from which those that are not ahead of their share are dropped.
const maxFlows = 4096

// setCustomers sets the weights. Without customers no shares are kept.
func (f *fairness) setCustomers(customers []hemlocktally.Customer) {
	if len(customers) == len(f.customers) && (len(customers) == 0 || &customers[0] == &f.customers[0]) {
		return // The configuration is the same.
	}
	f.customers, f.weights, f.otherWeight = customers, nil, 1
	if len(customers) == 0 {
		f.flows, f.virtual = nil, nil
		return
	}
	f.weights = make(map[hemlocktally.CustomerName]float64, len(customers))
	sum := 0.0
	for _, c := range customers {
		if c.HasQuota() {
			f.weights[c.Name] = c.RatePerSecond
			sum += c.RatePerSecond
		}
	}
	if len(f.weights) > 0 {
		f.otherWeight = sum / float64(len(f.weights))
	}
	for key, flow := range f.flows {
		flow.weight = f.weight(key.customer)
	}
}

func (f *fairness) weight(customer hemlocktally.CustomerName) float64 {
	if weight, ok := f.weights[customer]; ok {
		return weight
	}
	return f.otherWeight
}

// flow returns the flow of a request.
func (f *fairness) flow(request hemlocktally.GrantRequest) *flow {
	key := flowKey{customer: request.Customer, priority: request.Priority}
	if found := f.flows[key]; found != nil {
		return found
	}
	if f.flows == nil {
		f.flows, f.virtual = map[flowKey]*flow{}, map[hemlocktally.Priority]float64{}
	}
	if len(f.flows) >= maxFlows {
		for key, flow := range f.flows {
			if flow.granted <= f.virtual[key.priority] {
				delete(f.flows, key)
			}
		}
	}
	added := &flow{weight: f.weight(request.Customer)}
	f.flows[key] = added
	return added
}

// begin returns the flow's virtual time before the first of its waiting calls of this pass.
func (f *fairness) begin(w *flow) float64 {
	if w.pass != f.pass {
		w.pass, w.next = f.pass, w.granted
	}
	return w.next
}

// spend counts a grant against the customer's share.
func (f *fairness) spend(request hemlocktally.GrantRequest, cost time.Duration) {
	w := f.flow(request)
	begun := w.granted
	w.granted = begun + cost.Seconds()/w.weight
	f.virtual[request.Priority] = max(begun, f.virtual[request.Priority])
}

// setCustomers sets the customers that share the capacity.
func (s *State) setCustomers(customers []hemlocktally.Customer) {
	before := len(s.fairness.customers)
	s.fairness.setCustomers(customers)
	if before > 0 && len(customers) == 0 {
		for _, w := range s.queue {
			w.flow = nil
		}
	}
}

// sharesFairly reports whether the capacity is shared between customers.
func (s *State) sharesFairly() bool {
	return len(s.fairness.customers) > 0 && !s.disabled(hemlocktally.MechanismFairShares) && !s.disabled(hemlocktally.MechanismPriorityOrder)
}

// tagWaiters computes for each waiter the virtual time from which it is served if each customer
// gets its share. The calls of one customer stay in the order of the queue.
// Calls that can no longer be prompt come after all others and use no share.
func (s *State) tagWaiters(now time.Time) {
	f := &s.fairness
	f.pass++
	promptFirst := !s.disabled(hemlocktally.MechanismPromptFirst)
	for _, w := range s.queue {
		if w.flow == nil {
			w.flow = f.flow(w.msg.Request)
		}
		if promptFirst && now.Add(time.Duration(promptFactor*float64(w.cost))).After(w.msg.Request.Objective) {
			w.tag = math.Inf(1)
			continue
		}
		w.tag = f.begin(w.flow)
		w.flow.next = w.tag + w.cost.Seconds()/w.flow.weight
	}
}

// compareFair orders waiters by descending priority, then by share, then by objective.
func compareFair(a, b *waiter) int {
	if c := cmp.Compare(b.msg.Request.Priority, a.msg.Request.Priority); c != 0 {
		return c
	}
	if c := cmp.Compare(a.tag, b.tag); c != 0 {
		return c
	}
	return a.msg.Request.Objective.Compare(b.msg.Request.Objective)
}

// startFlow lets a customer without waiting calls begin at the present: capacity that it did not
// use is not saved up for it.
func (s *State) startFlow(request hemlocktally.GrantRequest) {
	own := s.fairness.flow(request)
	if !slices.ContainsFunc(s.queue, func(w *waiter) bool { return w.flow == own }) {
		own.granted = max(own.granted, s.fairness.virtual[request.Priority])
	}
}

// fairAhead returns how many waiting calls are served before a new one.
func (s *State) fairAhead(request hemlocktally.GrantRequest, now time.Time) int {
	s.startFlow(request)
	s.tagWaiters(now)
	own := s.fairness.flow(request)
	tag := own.granted
	for _, w := range s.queue {
		if w.flow == own && !math.IsInf(w.tag, 1) && !w.msg.Request.Objective.After(request.Objective) {
			tag = max(tag, w.tag+w.cost.Seconds()/own.weight)
		}
	}
	ahead := 0
	for _, w := range s.queue {
		switch {
		case w.refused != nil, w.holding, math.IsInf(w.tag, 1):
		case w.msg.Request.Priority > request.Priority, w.msg.Request.Priority == request.Priority && w.flow != own && w.tag <= tag:
			ahead++
		case w.flow == own && !w.msg.Request.Objective.After(request.Objective):
			ahead++
		}
	}
	return ahead
}

// ahead returns how many waiting calls are served before a new one.
func (s *State) ahead(request hemlocktally.GrantRequest, now time.Time) int {
	if s.sharesFairly() {
		return s.fairAhead(request, now)
	}
	ahead := 0
	for _, w := range s.queue {
		if w.msg.Request.Priority >= request.Priority && !w.holding {
			ahead++
		}
	}
	return ahead
}

// displace refuses the last waiting call, which is the newest of the customer that is furthest
// over its share in the lowest priority, if a new call ahead of it makes it late.
func (s *State) displace(now time.Time) []any {
	if !s.sharesFairly() || s.servedPerSecond <= 0 || len(s.queue) < 2 {
		return nil
	}
	s.tagWaiters(now)
	var last *waiter
	waiting := 0
	for _, w := range s.queue {
		if w.refused != nil {
			continue
		}
		waiting++
		if last == nil || compareFair(last, w) <= 0 {
			last = w
		}
	}
	if last == nil || last.enqueuedAt.Equal(now) {
		return nil // A call that was just admitted is in time.
	}
	wait := secondsOrForever(float64(waiting-1) / s.servedPerSecond)
	r := last.msg.Request
	if !now.Add(wait).After(r.Objective.Add(-s.promptTime(r.Contract))) {
		return nil
	}
	s.displaced++
	refused := notRunError(hemlocktally.ReasonShed, "calls of customers that use less of their shares came before it", s.spreadRetry(r, wait))
	if !last.polling() {
		last.refused = refused // Its client hears of it when it asks again.
		return nil
	}
	s.removeWaiter(last.msg.Ticket)
	return []any{RefuseCmd{Ticket: last.msg.Ticket, Error: refused}}
}

// spreadRetry returns the Retry-After of a call that is refused for lack of capacity: its expected
// wait, and longer by the share that its customer has already used beyond the others.
func (s *State) spreadRetry(request hemlocktally.GrantRequest, wait time.Duration) time.Duration {
	if !s.sharesFairly() {
		return s.retryAfter(wait)
	}
	own := s.fairness.flow(request)
	over := max(own.granted, own.next) - s.fairness.virtual[request.Priority]
	if typical := s.typicalWork(request.Contract).Seconds(); over > 0 && typical > 0 && s.servedPerSecond > 0 {
		// The share is used again after as many calls as its weight stands for.
		wait += secondsOrForever(over * own.weight / typical / s.servedPerSecond)
	}
	return s.retryAfter(wait)
}

// inFairOrder sorts the waiters in the order in which they are served.
func (s *State) inFairOrder(waiters []*waiter, now time.Time) {
	s.tagWaiters(now)
	slices.SortStableFunc(waiters, compareFair)
}
