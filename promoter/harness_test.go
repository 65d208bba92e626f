package promoter

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	modelStep     = 5 * time.Millisecond
	followerDelay = 500 * time.Millisecond
	storeDelay    = 10 * time.Millisecond
	work          = 200 * time.Millisecond
	orderDuration = 12 * time.Second
)

// quality tells how the new version serves one call, by the time since the order, the contract and
// the calls in flight on its target.
type quality func(since time.Duration, contract string, busy int, random *rand.Rand) (failed bool, slowness float64)

func good(time.Duration, string, int, *rand.Rand) (bool, float64) { return false, 1 }

// model drives deciders with calls, a store and the delays of the fleet, on a manual clock.
type model struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	events map[int64][]func() // events holds what happens, by the number of the step.
	steps  int64
	rate   float64
	due    float64
	speed  quality
	zones  int

	deciders []*State // deciders are in the order in which calls ask them.
	stopped  []bool
	order    *hemlocktally.RolloutOrder
	record   []byte
	version  hemlocktally.StoreVersion
	revision hemlocktally.StoreVersion
	status   []string
	statusAt []time.Time
	storeOff bool
	loseRate float64

	newTargets, oldTargets int
	slots                  int
	warmAt                 time.Time
	inFlight               []int // inFlight counts the calls on each new target.
	oldInFlight            int
	next                   int
	turn                   func() int // turn returns the decider that calls ask; nil means the first one.

	orderedAt time.Time
	calls     int
	exposed   int
	bad       int
	fiftieth  time.Time
	lastNew   time.Time
	worst     float64 // worst is the most by which the new version exceeded the budget.
	oldCalls  int     // oldCalls counts calls to the old version after completed was written.
	reasons   []string
}

func newModel(t *testing.T, seed int64, rate float64, targets int) *model {
	t.Helper()
	m := &model{
		t: t, now: startTime, events: map[int64][]func(){}, random: rand.New(rand.NewSource(seed)), rate: rate, speed: good, zones: 3, slots: 3,
		oldTargets: targets, newTargets: targets, inFlight: make([]int, targets), worst: -1e9,
	}
	m.warmAt = startTime.Add(time.Hour)
	m.addDecider()
	m.addDecider()
	return m
}

func (m *model) addDecider() *State {
	d := &State{
		Instance: hemlocktally.InstanceID(fmt.Sprintf("e-%d", len(m.deciders))), Run: fmt.Sprintf("r%d", len(m.deciders)),
		Bounds: Bounds{Share: 0.1, Slack: 50, RollbackDelay: 5 * time.Second},
	}
	m.deciders, m.stopped = append(m.deciders, d), append(m.stopped, false)
	m.rank()
	m.hearSoon(len(m.deciders) - 1)
	return d
}

func (m *model) after(d time.Duration, do func()) {
	at := m.steps + max(1, int64((d+modelStep-1)/modelStep))
	m.events[at] = append(m.events[at], do)
}

// rank tells the deciders who is alive.
func (m *model) rank() {
	var members []hemlocktally.InstanceID
	for i, d := range m.deciders {
		if !m.stopped[i] {
			members = append(members, d.Instance)
		}
	}
	first := true
	for i := range m.deciders {
		if m.stopped[i] {
			continue
		}
		m.send(i, RankMsg{First: first, Member: true, Members: members})
		first = false
	}
}

// kill stops the decider that calls ask first. The others learn of it after the given time.
func (m *model) kill(noticedAfter time.Duration) {
	for i := range m.deciders {
		if !m.stopped[i] {
			m.stopped[i] = true
			break
		}
	}
	m.after(noticedAfter, m.rank)
}

func (m *model) registrations() []hemlocktally.Registration {
	list := make([]hemlocktally.Registration, 0, m.oldTargets)
	for range m.oldTargets {
		list = append(list, hemlocktally.Registration{Target: hemlocktally.Target{Version: "v1", Slots: m.slots}})
	}
	return list
}

func (m *model) rollout() hemlocktally.Rollout {
	r := hemlocktally.Rollout{Order: m.order, At: hemlocktally.GenerationVersion{Version: m.version}}
	if m.record != nil {
		record, err := hemlocktally.DecodeRolloutRecord(m.record)
		qt.Assert(m.t, err, qt.IsNil)
		r.Record = &record
	}
	return r
}

// hearSoon lets a decider hear what the store says, after the delay of a follower.
func (m *model) hearSoon(i int) {
	if m.storeOff {
		return
	}
	said := m.rollout()
	m.after(followerDelay, func() { m.send(i, FleetMsg{Rollout: said, Targets: m.registrations()}) })
}

func (m *model) changed() {
	for i := range m.deciders {
		m.hearSoon(i)
	}
}

func (m *model) send(i int, msg any) {
	if m.stopped[i] {
		return
	}
	for _, command := range m.deciders[i].Update(msg, m.now) {
		m.execute(i, command)
	}
}

func (m *model) execute(i int, command any) {
	switch command := command.(type) {
	case WriteCmd:
		m.after(storeDelay, func() { m.swap(i, command) })
	case StatusCmd:
		m.after(storeDelay, func() { m.tell(i, command) })
	case ChangeCmd:
		m.reasons = append(m.reasons, fmt.Sprintf("%s e-%d %s/%d %s %+v", m.now.Sub(m.orderedAt), i, command.Phase, command.Step, command.Reason, command.Report))
	}
}

func (m *model) swap(i int, command WriteCmd) {
	switch {
	case m.storeOff:
		m.after(100*time.Millisecond, func() { m.send(i, WriteFailedMsg{}) })
		return
	case command.Expected != m.version:
		conflict := ConflictMsg{Version: m.version, Value: slices.Clone(m.record)}
		m.after(storeDelay, func() { m.send(i, conflict) })
		return
	}
	value, err := command.Record.Encode()
	qt.Assert(m.t, err, qt.IsNil)
	m.revision++
	m.record, m.version = value, m.revision
	m.changed()
	if m.random.Float64() < m.loseRate {
		m.after(500*time.Millisecond, func() { m.send(i, WriteFailedMsg{}) })
		return
	}
	written := WrittenMsg{Sequence: command.Record.Sequence, Version: m.version}
	m.after(storeDelay, func() { m.send(i, written) })
}

func (m *model) tell(i int, command StatusCmd) {
	if !m.storeOff {
		text := fmt.Sprintf("%s %s", command.Phase, command.Version)
		if len(m.status) == 0 || m.status[len(m.status)-1] != text {
			m.status, m.statusAt = append(m.status, text), append(m.statusAt, m.now)
		}
	}
	reply := StatusMsg{Phase: command.Phase, Version: command.Version, Written: !m.storeOff}
	m.after(storeDelay, func() { m.send(i, reply) })
}

// orderVersion writes an order. The new targets come up cold soon after.
func (m *model) orderVersion(version hemlocktally.SoftwareVersion) {
	m.revision++
	m.order = &hemlocktally.RolloutOrder{Service: "s", Version: version, Duration: orderDuration, At: hemlocktally.GenerationVersion{Version: m.revision}}
	m.orderedAt, m.warmAt = m.now, m.now.Add(3500*time.Millisecond)
	m.calls, m.exposed, m.bad, m.fiftieth = 0, 0, 0, time.Time{}
	m.changed()
}

func (m *model) capacity() Capacity {
	c := Capacity{OldSlots: m.oldTargets * m.slots, OldBusy: 0, Busy: m.oldInFlight}
	if m.now.After(m.orderedAt.Add(500*time.Millisecond)) && m.order != nil {
		c.NewTargets = m.newTargets
	}
	for _, n := range m.inFlight {
		c.Busy += n
	}
	if m.now.After(m.warmAt) {
		c.NewSlots = m.newTargets * m.slots
	}
	return c
}

// run lets the time pass.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		m.steps++
		for _, do := range m.events[m.steps] {
			do()
		}
		delete(m.events, m.steps)
		for m.due += m.rate * modelStep.Seconds(); m.due >= 1; m.due-- {
			m.call()
		}
		for i := range m.deciders {
			m.send(i, TickMsg{Capacity: m.capacity()})
		}
	}
}

func (m *model) contract() string {
	if m.random.Float64() < 0.03 {
		return "rare"
	}
	return []string{"a", "b", "c"}[m.random.Intn(3)]
}

// call places one call with the first decider that is alive, and ends it later.
func (m *model) call() {
	m.calls++
	contract := m.contract()
	for i, d := range m.deciders {
		if m.stopped[i] || (m.turn != nil && m.turn() != i) {
			continue
		}
		trial := d.Assign(hemlocktally.ContractName(contract), hemlocktally.AttemptFirst, m.now)
		if !trial && d.InUse() == m.orderedVersion() && m.order != nil {
			m.serveNew(i, contract)
			return
		}
		if trial {
			if !m.serveNew(i, contract) {
				d.Unassign(hemlocktally.ContractName(contract))
				m.serveOld(i, contract)
			}
			return
		}
		m.serveOld(i, contract)
		return
	}
}

func (m *model) orderedVersion() hemlocktally.SoftwareVersion {
	if m.order == nil {
		return ""
	}
	return m.order.Version
}

func (m *model) latency() time.Duration {
	return time.Duration(float64(work) * (0.5 + m.random.ExpFloat64()/2))
}

func (m *model) serveOld(i int, contract string) {
	if len(m.status) > 0 && m.status[len(m.status)-1] == "Completed v2" {
		m.oldCalls++
	}
	took := m.latency()
	failed := m.random.Float64() < 0.001
	m.oldInFlight++
	m.after(took, func() {
		m.oldInFlight--
		m.send(i, ResultMsg{Target: "old", Zone: "z0", Contract: hemlocktally.ContractName(contract), Outcome: outcome(failed), Latency: took, Pace: 1})
	})
}

func outcome(failed bool) hemlocktally.AttemptOutcome {
	if failed {
		return hemlocktally.AttemptFailed
	}
	return hemlocktally.AttemptDone
}

// serveNew runs a call on a target of the new version: on few of them in the canary phase.
func (m *model) serveNew(i int, contract string) bool {
	limit := m.slots
	targets := m.newTargets
	if _, running := m.deciders[i].Candidate(); running {
		if m.deciders[i].Canary() {
			targets = min(targets, 3)
		}
		m.next = int(m.now.Sub(startTime) / time.Second)
	} else {
		m.next++
	}
	cold := m.now.Before(m.warmAt)
	if cold {
		limit = 1
	}
	chosen := -1
	for n := range targets {
		if t := (m.next + n) % m.newTargets; m.inFlight[t] < limit {
			chosen = t
			break
		}
	}
	if chosen < 0 {
		return false
	}
	m.exposed++
	m.lastNew = m.now
	m.inFlight[chosen]++
	m.worst = max(m.worst, float64(m.exposed)-0.1*float64(m.calls)-50)
	failed, slowness := m.speed(m.now.Sub(m.orderedAt), contract, m.inFlight[chosen], m.random)
	failed = failed || m.random.Float64() < 0.001
	took := time.Duration(float64(m.latency()) * slowness)
	if cold {
		took *= 2
	}
	result := ResultMsg{
		New: true, Target: hemlocktally.TargetName(fmt.Sprint(chosen)), Zone: hemlocktally.ZoneName(fmt.Sprint("z", chosen%m.zones)),
		Contract: hemlocktally.ContractName(contract), Outcome: outcome(failed), Latency: took, Pace: 1, Cold: cold,
	}
	overdue := m.deciders[i].SlowAfter(result.Contract) + 50*time.Millisecond
	if overdue > 50*time.Millisecond && took > overdue && !cold {
		m.after(overdue, func() {
			late := result
			late.Outcome, late.Latency = hemlocktally.AttemptCancelled, overdue
			m.send(i, late)
		})
	} else {
		m.after(took, func() { m.send(i, result) })
	}
	m.after(took, func() {
		m.inFlight[chosen]--
		if failed || slowness > 2 {
			if m.bad++; m.bad == 50 {
				m.fiftieth = m.now
			}
		}
	})
	return true
}

func (m *model) lastStatus() string {
	if len(m.status) == 0 {
		return ""
	}
	return m.status[len(m.status)-1]
}

// assertCompleted fails unless the order was completed before its deadline and no call went to the
// old version after that.
func (m *model) assertCompleted() {
	m.t.Helper()
	qt.Assert(m.t, m.lastStatus(), qt.Equals, "Completed v2", qt.Commentf("%v\n%v", m.status, m.reasons))
	took := m.statusAt[len(m.statusAt)-1].Sub(m.orderedAt)
	qt.Check(m.t, took < orderDuration, qt.IsTrue, qt.Commentf("completed after %s\n%v", took, m.reasons))
	qt.Check(m.t, m.oldCalls, qt.Equals, 0)
}

// assertRolledBack fails unless the order was rolled back and the new version got no more calls than
// allowed.
func (m *model) assertRolledBack() {
	m.t.Helper()
	qt.Assert(m.t, m.lastStatus(), qt.Equals, "RolledBack v2", qt.Commentf("%v\n%v", m.status, m.reasons))
	qt.Check(m.t, m.worst <= 0, qt.IsTrue, qt.Commentf("%.0f calls over the budget\n%v", m.worst, m.reasons))
	if !m.fiftieth.IsZero() {
		qt.Check(m.t, m.lastNew.Sub(m.fiftieth) < 5*time.Second, qt.IsTrue)
	}
}
