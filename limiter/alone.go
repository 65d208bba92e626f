package limiter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hemlocktally"
)

// AloneState decides for an instance while no owner answers. Its exported fields must be set
// before use; the caller serializes access.
//
// The instance does not know how many calls other instances send. It may send as many as in the
// window before it decided alone: if all instances do so, they send no more than the owners had
// granted. A customer that was refused for its quota lately, or that sends more than before, gets
// only a fixed small part of its quota instead, divided by the number of instances.
type AloneState struct {
	Bounds Bounds
	// Random returns exponentially distributed numbers of mean 1; nil means rand.ExpFloat64.
	Random func() float64

	startedAt time.Time
	instances int
	quotas    map[hemlocktally.CustomerName]budget
	accounts  map[hemlocktally.CustomerName]*aloneAccount
}

type aloneAccount struct {
	sent      window // sent counts the calls that the instance got grants for.
	requested window // requested counts the calls that it decided on alone.
	// before is how many calls the instance had sent in the window when it began to decide
	// alone; negative while owners grant.
	before    int
	refusedAt time.Time // refusedAt is when an owner last refused a call for the quota.
	turn      time.Time // turn is when the next call of the fixed part may be sent.
}

const (
	// minInstances is the least number of instances assumed to decide alone at the same time.
	minInstances = 16
	// turnWindow is how long a turn of the fixed part stays valid. Turns that were saved up would
	// be used by many instances at the same moment.
	turnWindow = 250 * time.Millisecond
	// surgeFactor is how many times the calls of before count as the usual load.
	surgeFactor = 2
	// surgeSlack is added to that, because few calls vary much.
	surgeSlack = 3
	// sentSlots is the number of slots in a report of the calls sent.
	sentSlots = 5
)

func (s *AloneState) start(now time.Time) {
	if s.startedAt.IsZero() {
		s.Bounds = s.Bounds.withDefaults()
		s.startedAt, s.accounts = now, map[hemlocktally.CustomerName]*aloneAccount{}
	}
	if s.Random == nil {
		s.Random = rand.ExpFloat64
	}
}

// SetCustomers sets the quotas and the number of instances.
func (s *AloneState) SetCustomers(customers []hemlocktally.Customer, instances int, now time.Time) {
	s.start(now)
	s.instances = max(minInstances, instances)
	s.quotas = make(map[hemlocktally.CustomerName]budget, len(customers))
	for _, customer := range customers {
		if customer.HasQuota() {
			s.quotas[customer.Name] = newBudget(customer, s.Bounds)
		}
	}
	for name := range s.accounts {
		if _, ok := s.quotas[name]; !ok {
			delete(s.accounts, name)
		}
	}
}

func (s *AloneState) bucket(now time.Time) int64 {
	return int64(now.Sub(s.startedAt) / s.Bounds.bucketWidth())
}

func (s *AloneState) account(name hemlocktally.CustomerName) *aloneAccount {
	if a := s.accounts[name]; a != nil {
		return a
	}
	if _, ok := s.quotas[name]; !ok {
		return nil
	}
	a := &aloneAccount{before: -1}
	s.accounts[name] = a
	return a
}

// Granted notes that an owner granted a call.
func (s *AloneState) Granted(name hemlocktally.CustomerName, now time.Time) {
	if a := s.account(name); a != nil {
		a.sent.add(s.bucket(now), 1)
		a.before = -1
	}
}

// Refused notes that an owner refused a call for the quota.
func (s *AloneState) Refused(name hemlocktally.CustomerName, now time.Time) {
	if a := s.account(name); a != nil {
		a.refusedAt = now
	}
}

// Sent reports the calls sent in the window by slots, the latest first.
func (s *AloneState) Sent(name hemlocktally.CustomerName, now time.Time) []uint32 {
	a := s.accounts[name]
	if a == nil {
		return nil
	}
	const perSlot = reportSlots / sentSlots
	fine := a.sent.report(s.bucket(now))
	slots := make([]uint32, (len(fine)+perSlot-1)/perSlot)
	for i, n := range fine {
		slots[i/perSlot] += n
	}
	return slots
}

// Take counts a call that the instance decides on alone, or refuses it.
func (s *AloneState) Take(name hemlocktally.CustomerName, now time.Time) (Charge, *hemlocktally.RefusedError) {
	a := s.account(name)
	if a == nil {
		return Charge{}, nil
	}
	bucket := s.bucket(now)
	sent := a.sent.count(bucket)
	if a.before < 0 {
		a.before = sent
	}
	a.requested.add(bucket, 1)
	wait, ok := s.wait(a, s.quotas[name], bucket, now)
	if !ok {
		detail := fmt.Sprintf("customer %s may have %.0f requests in %s from all instances together, and no owner counts them", name, math.Floor(s.quotas[name].quota), s.Bounds.Window)
		return Charge{}, refusal(detail, wait)
	}
	a.sent.add(bucket, 1)
	return Charge{customer: name, bucket: bucket}, nil
}

// wait reports whether a call may be sent now, and otherwise for how long not.
func (s *AloneState) wait(a *aloneAccount, quota budget, bucket int64, now time.Time) (time.Duration, bool) {
	refusedLately := !a.refusedAt.IsZero() && now.Sub(a.refusedAt) < s.Bounds.Window
	surge := a.requested.sum > surgeFactor*a.before+surgeSlack
	if a.sent.sum < a.before && !refusedLately && !surge {
		return 0, true
	}
	rate := alonePart * quota.margin / s.Bounds.Window.Seconds() / float64(s.instances)
	if a.turn.IsZero() || now.Sub(a.turn) > turnWindow {
		s.drawTurn(a, rate, now)
	}
	if !a.turn.After(now) {
		s.drawTurn(a, rate, now)
		return 0, true
	}
	wait := max(minRetryAfter, min(a.turn.Sub(now), s.Bounds.Window))
	if a.sent.sum <= a.before && !refusedLately && !surge {
		wait = min(wait, s.nextExpiry(a, bucket, now))
	}
	return wait, false
}

// nextExpiry returns the time until one of the calls sent is too old to count.
func (s *AloneState) nextExpiry(a *aloneAccount, bucket int64, now time.Time) time.Duration {
	width := s.Bounds.bucketWidth()
	for k := int64(1); k < ringSize; k++ {
		if a.sent.at(ringSize-k) > 0 {
			return time.Duration(bucket+k)*width - now.Sub(s.startedAt)
		}
	}
	return s.Bounds.Window
}

func (s *AloneState) drawTurn(a *aloneAccount, rate float64, now time.Time) {
	const longest = float64(time.Hour)
	wait := longest
	if rate > 0 {
		wait = min(longest, s.Random()/rate*float64(time.Second))
	}
	a.turn = now.Add(time.Duration(wait))
}

// GiveBack takes a call back that was certainly not executed.
func (s *AloneState) GiveBack(charge Charge) {
	if a := s.accounts[charge.customer]; a != nil {
		a.sent.remove(charge.bucket)
	}
}

// Alone is an AloneState that may be used concurrently. Its methods do nothing on nil.
type Alone struct {
	Bounds Bounds

	mu    sync.Mutex
	state AloneState
}

func (l *Alone) locked(use func(s *AloneState, now time.Time)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.state.startedAt.IsZero() {
		l.state.Bounds = l.Bounds
	}
	l.state.start(now)
	use(&l.state, now)
}

// Configure sets the quotas and the number of instances.
func (l *Alone) Configure(customers []hemlocktally.Customer, instances int) {
	l.locked(func(s *AloneState, now time.Time) { s.SetCustomers(customers, instances, now) })
}

// Granted notes that an owner granted a call.
func (l *Alone) Granted(name hemlocktally.CustomerName) {
	l.locked(func(s *AloneState, now time.Time) { s.Granted(name, now) })
}

// Refused notes that an owner refused a call for the quota.
func (l *Alone) Refused(name hemlocktally.CustomerName) {
	l.locked(func(s *AloneState, now time.Time) { s.Refused(name, now) })
}

// Sent reports the calls sent in the window by slots, the latest first.
func (l *Alone) Sent(name hemlocktally.CustomerName) (slots []uint32) {
	l.locked(func(s *AloneState, now time.Time) { slots = s.Sent(name, now) })
	return slots
}

// Take counts a call, or refuses it. It implements placer.Quotas.
func (l *Alone) Take(name hemlocktally.CustomerName, _ hemlocktally.InstanceID, _ []uint32) (charge Charge, refused *hemlocktally.RefusedError) {
	l.locked(func(s *AloneState, now time.Time) { charge, refused = s.Take(name, now) })
	return charge, refused
}

// Yield refuses nothing: an instance that decides alone does not know how much of a quota is used.
func (l *Alone) Yield(hemlocktally.CustomerName) *hemlocktally.RefusedError { return nil }

// Start does nothing: a call that waited is counted as of when it was taken.
func (l *Alone) Start(charge Charge) Charge { return charge }

// GiveBack takes a call back that was certainly not executed.
func (l *Alone) GiveBack(charge Charge) {
	l.locked(func(s *AloneState, _ time.Time) { s.GiveBack(charge) })
}
