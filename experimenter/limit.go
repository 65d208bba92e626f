package experimenter

import (
	"math"
	"math/rand/v2"
	"time"
)

// Limit computes the shortest times that any balancer could reach: one queue
// in front of all slots, high priority first, no cost of messages. It knows the
// scenario's load, bursts and stragglers; targets never turn cold in it.
func (s Scenario) Limit(seed uint64) *ClassTimes {
	q := &sharedQueue{
		scenario: s, random: rand.New(rand.NewPCG(seed, 12)),
		busyUntil: make([]time.Duration, s.Targets*2), stragglers: s.stragglers(seed), times: newClassTimes(),
	}
	for _, a := range s.Arrivals(seed) {
		q.advance(a.At)
		q.waiting[priorityOf(a.Class)] = append(q.waiting[priorityOf(a.Class)], a)
		q.dispatch(a.At)
	}
	q.advance(math.MaxInt64)
	return q.times
}

// priorityOf returns 0 for the classes that go first.
func priorityOf(class Class) int {
	if class == ClassNormal {
		return 1
	}
	return 0
}

type sharedQueue struct {
	scenario   Scenario
	random     *rand.Rand
	busyUntil  []time.Duration // busyUntil is per slot; a target has two.
	waiting    [2][]Arrival
	stragglers []int
	times      *ClassTimes
}

// advance serves those who wait at each slot's end until the given time.
func (q *sharedQueue) advance(until time.Duration) {
	for len(q.waiting[0])+len(q.waiting[1]) > 0 {
		next := q.busyUntil[0]
		for _, end := range q.busyUntil {
			next = min(next, end)
		}
		if next > until {
			return
		}
		q.dispatch(next)
	}
}

func (q *sharedQueue) dispatch(now time.Duration) {
	for p := range q.waiting {
		for len(q.waiting[p]) > 0 {
			slot := q.freeSlot(now)
			if slot < 0 {
				return
			}
			q.serve(q.waiting[p][0], slot, now)
			q.waiting[p] = q.waiting[p][1:]
		}
	}
}

func (q *sharedQueue) freeSlot(now time.Duration) int {
	first := q.random.IntN(len(q.busyUntil))
	for i := range q.busyUntil {
		slot := (first + i) % len(q.busyUntil)
		if q.busyUntil[slot] <= now {
			return slot
		}
	}
	return -1
}

// workSigma is the spread of the log-normal times of the stand-in targets.
const workSigma = 0.5

func (q *sharedQueue) serve(a Arrival, slot int, now time.Duration) {
	mu := math.Log(float64(q.scenario.Mean)) - workSigma*workSigma/2
	work := math.Exp(mu + workSigma*q.random.NormFloat64())
	if q.slow(slot/2, now) {
		work *= q.scenario.StraggleSlow
	}
	q.busyUntil[slot] = now + time.Duration(work)
	q.times.add(a.Class, q.busyUntil[slot]-a.At)
}

func (q *sharedQueue) slow(target int, now time.Duration) bool {
	if q.scenario.StraggleEvery <= 0 || now%q.scenario.StraggleEvery >= q.scenario.StraggleFor {
		return false
	}
	period := int(now / q.scenario.StraggleEvery)
	return period < len(q.stragglers) && q.stragglers[period] == target
}

// stragglers draws the slow target of each period.
func (s Scenario) stragglers(seed uint64) []int {
	if s.StraggleEvery <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 13))
	list := make([]int, int(s.For/s.StraggleEvery)+1)
	for i := range list {
		list[i] = random.IntN(s.Targets)
	}
	return list
}
