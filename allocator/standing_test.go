package allocator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"hemlocktally"
)

func viewOf(ids ...hemlocktally.InstanceID) hemlocktally.View {
	var view hemlocktally.View
	for _, id := range ids {
		view.Members = append(view.Members, hemlocktally.Instance{ID: id, State: hemlocktally.InstanceServing})
	}
	return view
}

func TestOwnerStandsOnceAllHaveConfirmedForAPromise(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	now := start.Add(10 * time.Second)
	a, b := &Standing{Self: "a", Started: start}, &Standing{Self: "b", Started: start}
	a.SetView(viewOf("a", "b"), now)
	a.SetLease("1", now.Add(time.Minute), now)
	b.SetView(viewOf("a", "b"), now)
	c.Check(a.Until(now).IsZero(), qt.IsTrue)
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		view, promised := b.Answer("a", a.View(), now)
		a.Confirm("b", view, promised, now, now.Add(time.Millisecond))
	}
	c.Check(a.Until(now).After(now), qt.IsTrue)
	c.Check(a.Until(now.Add(promiseTime)).IsZero(), qt.IsTrue, qt.Commentf("a promise runs out"))
}

func TestMemberWithAnotherViewDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := &Standing{Self: "b"}
	b.SetView(viewOf("a", "b", "c"), now)
	_, promised := b.Answer("a", HashView(viewOf("a", "b")), now)
	c.Check(promised, qt.IsFalse)
}

func TestPromiseToAnOwnerOutsideOfTheViewHoldsOthersBack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := &Standing{Self: "b"}
	b.SetView(viewOf("a", "b", "c"), now)
	_, promised := b.Answer("a", b.View(), now)
	c.Assert(promised, qt.IsTrue)
	b.SetView(viewOf("b", "c"), now)
	_, promised = b.Answer("c", b.View(), now.Add(promiseTime/2))
	c.Check(promised, qt.IsFalse)
	_, promised = b.Answer("c", b.View(), now.Add(promiseTime))
	c.Check(promised, qt.IsTrue)
}

func TestOwnerStandsNoLongerThanItsLease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	a := &Standing{Self: "a"}
	a.SetView(viewOf("a"), now)
	a.SetLease("1", now.Add(2*promiseTime), now)
	a.Until(now)
	c.Check(a.Until(now.Add(promiseTime)).IsZero(), qt.IsFalse)
	c.Check(a.Until(now.Add(2*promiseTime)).IsZero(), qt.IsTrue)
}

// standingModel lets three instances change their views at random, as long as
// a member is dropped only after its lease ended.
type standingModel struct {
	now   time.Time
	all   [3]*Standing
	views [3]hemlocktally.View
	lives [3]hemlocktally.Instance // lives holds the present incarnations.
	ends  [3]time.Time             // ends holds the leases as their holders know them.
	last  int
}

func newStandingModel() *standingModel {
	m := &standingModel{now: time.Unix(1000, 0)}
	for i, id := range []hemlocktally.InstanceID{"a", "b", "c"} {
		m.all[i] = &Standing{Self: id, Started: m.now}
		m.lives[i].ID = id
		m.register(i)
	}
	for i := range m.all {
		m.read(i, func(string) bool { return false })
	}
	return m
}

// register gives an instance a new lease and incarnation and has it read the
// view after that.
func (m *standingModel) register(i int) {
	m.last++
	name := fmt.Sprint(m.last)
	m.lives[i].Incarnation, m.lives[i].State = name, hemlocktally.InstanceServing
	m.ends[i] = m.now.Add(6 * time.Second)
	m.all[i].SetLease(name, m.ends[i], m.now)
	m.read(i, func(string) bool { return false })
}

// read renews a view. Where it lags, what was seen of a member before stands.
func (m *standingModel) read(i int, lags func(string) bool) {
	var view hemlocktally.View
	for j := range m.all {
		before, seen := m.views[i].Find(m.lives[j].ID)
		switch {
		case j == i || (m.now.Before(m.ends[j]) && !lags("live")):
			view.Members = append(view.Members, m.lives[j])
		case seen && lags("gone"):
			view.Members = append(view.Members, before)
		case seen && m.now.Before(m.ends[j]):
			view.Members = append(view.Members, before)
		}
	}
	m.views[i] = view
	m.all[i].SetView(view, m.now)
}

func (m *standingModel) ask(t *rapid.T, i int) {
	for j := range m.all {
		if j == i || rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
			continue
		}
		view, promised := m.all[j].Answer(m.lives[i].ID, m.all[i].View(), m.now)
		sent := m.now
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "back")) * time.Millisecond)
		m.all[i].Confirm(m.lives[j].ID, view, promised, sent, m.now)
	}
}

func (m *standingModel) check(t *rapid.T) {
	standing := 0
	for i := range m.all {
		owner, _ := OwnerOf("reads", m.views[i].Serving())
		if owner.ID == m.lives[i].ID && !m.all[i].Until(m.now).IsZero() {
			standing++
		}
	}
	if standing > 1 {
		t.Fatalf("%d owners stand at once", standing)
	}
}

func TestNeverTwoOwnersStand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStandingModel()
		who := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "who") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				m.read(who(t), func(what string) bool { return rapid.Bool().Draw(t, what) })
			},
			"readAll": func(*rapid.T) {
				for i := range m.all {
					m.read(i, func(string) bool { return false })
				}
			},
			"ask":      func(t *rapid.T) { m.ask(t, who(t)) },
			"register": func(t *rapid.T) { m.register(who(t)) },
			"lapse": func(t *rapid.T) {
				i := who(t)
				m.ends[i] = m.now
				m.all[i].SetLease("", time.Time{}, m.now)
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{10, 50, 100, 700}).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}
