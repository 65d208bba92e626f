package limiter

import (
	"fmt"
	"math"
	"time"

	"hemlocktally"
)

// State is what one hub knows of the customers' calls. Its exported fields must be set before
// use. It has no lock and reads no clock: the caller serializes access and passes the time.
type State struct {
	Self        hemlocktally.InstanceID
	Incarnation string // Incarnation is greater in each run of the instance.
	Address     string // Address is where other hubs reach this instance.
	Bounds      Bounds

	startedAt  time.Time
	joinedAt   time.Time // joinedAt is when the instance became a hub.
	knownSince time.Time // knownSince is since when all counts are known.
	quotas     map[hemlocktally.CustomerName]budget
	accounts   map[hemlocktally.CustomerName]*account
	hubs       map[hemlocktally.InstanceID]*hub
	member     bool // member is set while the instance is a hub.
	memberTill time.Time
	sequence   uint64
	urgent     bool // urgent is set if a share may be used up before the next round.
	newHub     bool // newHub is set until the first round after a hub joined.
	leaving    bool
	left       bool // left is set once the others were told that the instance grants no more calls.
	// gone holds the runs of hubs that have ended, which may still be listed.
	gone map[hemlocktally.InstanceID]string
	lone bool // lone is set while no other hub answers.
	// storeLost is set while the instance has no contact to the store.
	storeLost bool
	told      map[teller]bool // told holds the instances that told what they sent before the start.
}

// Charge is one counted call. The zero value counts nothing.
type Charge struct {
	customer hemlocktally.CustomerName
	bucket   int64
}

// Counted reports whether the charge counts a call.
func (c Charge) Counted() bool { return c.customer != "" }

func (s *State) start(now time.Time) {
	if s.startedAt.IsZero() {
		s.left = true
		s.Bounds = s.Bounds.withDefaults()
		s.startedAt, s.joinedAt, s.knownSince = now, now, now
		s.accounts, s.hubs = map[hemlocktally.CustomerName]*account{}, map[hemlocktally.InstanceID]*hub{}
		s.gone = map[hemlocktally.InstanceID]string{}
	}
}

// SetCustomers sets the quotas.
func (s *State) SetCustomers(customers []hemlocktally.Customer, now time.Time) {
	s.start(now)
	s.quotas = make(map[hemlocktally.CustomerName]budget, len(customers))
	for _, customer := range customers {
		if customer.HasQuota() {
			s.quotas[customer.Name] = newBudget(customer, s.Bounds)
		}
	}
	for name, a := range s.accounts {
		quota, ok := s.quotas[name]
		if !ok {
			delete(s.accounts, name)
			continue
		}
		a.budget = quota
	}
}

// Active reports whether any customer has a quota.
func (s *State) Active() bool { return len(s.quotas) > 0 }

// TakesPart reports whether the instance exchanges messages with the hubs: while it holds shares,
// and once more to give them up.
func (s *State) TakesPart(now time.Time) bool {
	if s.Shares(now) {
		s.left = false
		return s.Active()
	}
	last := !s.left && s.Active()
	s.left = true
	return last
}

func (s *State) bucket(now time.Time) int64 {
	return int64(now.Sub(s.startedAt) / s.Bounds.bucketWidth())
}

// account returns the account of a customer; nil if it has no quota.
func (s *State) account(name hemlocktally.CustomerName) *account {
	if a := s.accounts[name]; a != nil {
		return a
	}
	quota, ok := s.quotas[name]
	if !ok {
		return nil
	}
	a := &account{name: name, budget: quota, hubs: map[hemlocktally.InstanceID]*hubAccount{}}
	s.accounts[name] = a
	return a
}

// allowed returns what the hubs may grant in a window while they know all counts, and what
// their shares may add up to.
func (s *State) allowed(a *account, now time.Time) (counted, shared float64) {
	before := s.usedBefore(a, now) > 0
	quota := a.budget.allowed(now.Sub(s.knownSince), before, s.Bounds)
	if before {
		return quota, quota
	}
	return quota + countedPart*a.budget.margin, quota + sharedPart*a.budget.margin
}

// Take counts a call of the customer, or refuses it. Unless final is set, it returns pending for a
// call for which only this hub's share has no room: the next round may give it more.
func (s *State) Take(name hemlocktally.CustomerName, final bool, now time.Time) (charge Charge, refused *hemlocktally.RefusedError, pending bool) {
	a := s.account(name)
	if a == nil {
		return Charge{}, nil, false
	}
	if !s.hasHubs() && s.Shares(now) {
		a.share = 1
	}
	bucket := s.bucket(now)
	own := float64(a.own.count(bucket))
	active, departed := a.counts(bucket)
	counted, shared := s.allowed(a, now)
	used, before := own+active+departed, s.usedBefore(a, now)
	switch {
	case used+1 > counted, before > 0 && used+before+1 > a.budget.quota:
		return Charge{}, s.refuse(a, now, a.nextFree(bucket, counted, used)), false
	case own+1 > max(a.share*shared, a.budget.newcomer), s.hasHubs() && a.untold() >= a.budget.untold:
		s.urgent = true
		if !final {
			return Charge{}, nil, true
		}
		return Charge{}, s.refuse(a, now, 1), false
	}
	a.stats.Requested++
	a.own.add(bucket, 1)
	a.granted++
	if s.hasHubs() && (nearlyUsed(a.share*shared-own, shared-used) || a.tellDue()) {
		s.urgent = true
	}
	return Charge{customer: name, bucket: bucket}, nil, false
}

// lateReserve is the part of a quota that late calls leave to others. Callers that are refused
// for their quota come back, and a quota that is used up would go to them: as many calls would
// be served, but most of them late.
const lateReserve = 0.15

// Yield refuses a late call of a customer that has used up nearly all of its quota, or of this
// hub's share of it.
func (s *State) Yield(name hemlocktally.CustomerName, now time.Time) *hemlocktally.RefusedError {
	a := s.account(name)
	if a == nil {
		return nil
	}
	bucket := s.bucket(now)
	own := float64(a.own.count(bucket))
	active, departed := a.counts(bucket)
	_, shared := s.allowed(a, now)
	used := own + active + departed
	share := a.share
	if !s.hasHubs() {
		share = 1
	}
	if used < (1-lateReserve)*a.budget.quota && own < (1-lateReserve)*max(share*shared, a.budget.newcomer) {
		return nil
	}
	return s.refuse(a, now, a.nextFree(bucket, (1-lateReserve)*a.budget.quota, used))
}

// usedBefore returns what was granted in the window before the hubs knew all counts.
func (s *State) usedBefore(a *account, now time.Time) float64 {
	if now.Sub(s.knownSince) >= s.Bounds.Window {
		return 0
	}
	return float64(a.beforeSum(s.bucket(now), now))
}

// nearlyUsed reports whether so little of a share is unused that more is asked for at once. The
// number falls with what is left of the quota, so that little is asked once that is used up.
func nearlyUsed(unused, left float64) bool {
	const part, least = 0.05, 2
	return unused < max(least, part*left)
}

func (s *State) refuse(a *account, now time.Time, buckets int64) *hemlocktally.RefusedError {
	width := s.Bounds.bucketWidth()
	wait := max(minRetryAfter, time.Duration(buckets)*width-now.Sub(s.startedAt)%width)
	a.stats.Requested++
	a.stats.Refused++
	a.unlogged++
	return refusal(fmt.Sprintf("customer %s may have %.0f requests in %s from all instances together", a.name, math.Floor(a.budget.quota), s.Bounds.Window), wait)
}

// Start moves a call to the time at which it is sent to a target. It may have waited since it
// was counted.
func (s *State) Start(charge Charge, now time.Time) Charge {
	a := s.accounts[charge.customer]
	if a == nil {
		return charge
	}
	bucket := s.bucket(now)
	if bucket != charge.bucket {
		a.own.remove(charge.bucket)
		a.own.add(bucket, 1)
		charge.bucket = bucket
	}
	return charge
}

// GiveBack takes a call back that was certainly not executed.
func (s *State) GiveBack(charge Charge) {
	if a := s.accounts[charge.customer]; a != nil && a.own.remove(charge.bucket) {
		a.stats.GivenBack++
	}
}

// minRetryAfter is the shortest Retry-After; a shorter one would be written as zero.
const minRetryAfter = 5 * time.Millisecond

// RefusalMsg reports that calls of a customer were refused, for the log.
type RefusalMsg struct {
	Customer hemlocktally.CustomerName
	Refused  uint64
	Quota    float64
	Used     float64
	Share    float64
}

// logInterval is the minimum time between two reports of a customer's refusals.
const logInterval = 10 * time.Second

// Refusals returns the refusals to be logged.
func (s *State) Refusals(now time.Time) []RefusalMsg {
	var list []RefusalMsg
	for _, a := range s.sortedAccounts() {
		if a.unlogged == 0 || now.Sub(a.loggedAt) < logInterval {
			continue
		}
		active, departed := a.counts(s.bucket(now))
		list = append(list, RefusalMsg{
			Customer: a.name, Refused: a.unlogged, Quota: a.budget.quota, Used: float64(a.own.count(s.bucket(now))) + active + departed, Share: a.share,
		})
		a.unlogged, a.loggedAt = 0, now
	}
	return list
}

// Stats are the counters of one customer at one instance.
type Stats struct {
	Customer  hemlocktally.CustomerName
	Requested uint64
	Refused   uint64
	GivenBack uint64
	Used      float64 // Used is the part of the quota that is used in the current window, by all hubs.
	Share     float64 // Share is the part of the quota that this instance may use.
}

// Stats returns the statistics of the customers with calls, sorted by name.
func (s *State) Stats(now time.Time) []Stats {
	accounts := s.sortedAccounts()
	list := make([]Stats, 0, len(accounts))
	for _, a := range accounts {
		active, departed := a.counts(s.bucket(now))
		out := a.stats
		out.Customer, out.Share = a.name, a.share
		out.Used = (float64(a.own.count(s.bucket(now))) + active + departed) / a.budget.quota
		list = append(list, out)
	}
	return list
}

// Urgent reports whether a share may be used up before the next round.
func (s *State) Urgent() bool { return s.urgent }
