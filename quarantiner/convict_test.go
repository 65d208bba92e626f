package quarantiner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/quarantiner"
)

// running is one request on a target.
type running struct {
	request int
	ends    time.Time
}

// simulation is a service of targets that run requests; some targets crash, by chance or by a
// request.
type simulation struct {
	state    quarantiner.State
	random   *rand.Rand
	targets  [][]running
	lost     []int // lost holds requests whose targets crashed; they come again at once.
	nextCode int
	crashed  int
}

const (
	popularRequest = 1 // popularRequest is a harmless request that comes all the time.
	deadlyRequest  = 2 // deadlyRequest crashes its targets.
	firstUnique    = 10
)

func (m *simulation) start(request int, now time.Time) {
	if verdict(&m.state, request, now) == hemlocktally.VerdictHold {
		return
	}
	target := m.random.IntN(len(m.targets))
	work := time.Duration(20+m.random.IntN(160)) * time.Millisecond
	m.targets[target] = append(m.targets[target], running{request, now.Add(work)})
}

func (m *simulation) crash(target int, now time.Time) {
	m.crashed++
	for _, r := range m.targets[target] {
		m.state.Update(crash(r.request, m.crashed, now), now)
		m.lost = append(m.lost, r.request)
	}
	m.targets[target] = nil
}

// step plays 10 ms: requests end, or crash their target, and new ones start.
func (m *simulation) step(now time.Time, deadly bool) {
	retries := m.lost
	m.lost = nil
	for _, request := range retries {
		m.start(request, now)
	}
	m.start(popularRequest, now)
	m.nextCode++
	m.start(firstUnique+m.nextCode, now)
	if deadly {
		m.start(deadlyRequest, now)
	}
	for target := range m.targets {
		for _, r := range m.targets[target] {
			if r.request == deadlyRequest && now.After(r.ends) {
				m.crash(target, now)
				break
			}
		}
		var left []running
		for _, r := range m.targets[target] {
			if now.Before(r.ends) {
				left = append(left, r)
			} else {
				m.state.Update(quarantiner.ClearMsg{Request: fingerprint(r.request), By: "t"}, now)
			}
		}
		m.targets[target] = left
	}
}

// Targets that crash by chance, flap or end together convict no request; the deadly one among
// them is found, and few others are held back with it.
func TestOnlyTheDeadlyRequestIsConvicted(t *testing.T) {
	c := qt.New(t)
	held, requests := 0, 0
	for seed := range uint64(20) {
		for _, deadly := range []bool{false, true} {
			m := &simulation{random: rand.New(rand.NewPCG(seed, 1)), targets: make([][]running, 16)}
			for tick := range 3000 {
				now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
				if m.random.IntN(40) == 0 {
					m.crash(m.random.IntN(16), now) // A crash every 0.4 s.
				}
				if tick%20 == 0 {
					m.crash(3, now) // A flapping target.
				}
				if tick%500 == 0 {
					for target := range 5 {
						m.crash(target, now) // A zone.
					}
				}
				m.step(now, deadly && tick%30 == 0)
			}
			end := start.Add(31 * time.Second)
			c.Check(verdict(&m.state, popularRequest, end), qt.Equals, hemlocktally.VerdictSend, qt.Commentf("seed %d", seed))
			if deadly {
				c.Check(verdict(&m.state, deadlyRequest, end), qt.Equals, hemlocktally.VerdictHold, qt.Commentf("seed %d", seed))
			}
			for request := firstUnique; request < firstUnique+m.nextCode; request++ {
				requests++
				if verdict(&m.state, request, end) == hemlocktally.VerdictHold {
					held++
				}
			}
		}
	}
	c.Check(float64(held) <= 0.001*float64(requests), qt.IsTrue, qt.Commentf("%d of %d harmless requests are held back", held, requests))
}
