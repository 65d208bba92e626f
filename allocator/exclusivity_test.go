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

func TestOwnerIsExclusiveOnceAllConfirmedForAPromise(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	now := start.Add(10 * time.Second)
	a, b := &ExclusivityTracker{Self: "a", Started: start}, &ExclusivityTracker{Self: "b", Started: start}
	a.SetView(viewOf("a", "b"), now)
	a.SetLease("1", now.Add(time.Minute), now)
	b.SetView(viewOf("a", "b"), now)
	c.Check(a.Until(now).IsZero(), qt.IsTrue)
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		view, promised := b.Promise("a", a.ViewHash(), now)
		a.RecordAnswer("b", view, promised, now, now.Add(time.Millisecond))
	}
	c.Check(a.Until(now).After(now), qt.IsTrue)
	c.Check(a.Until(now.Add(promiseDuration)).IsZero(), qt.IsTrue, qt.Commentf("a promise expires"))
}

func TestMemberWithAnotherViewDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := &ExclusivityTracker{Self: "b"}
	b.SetView(viewOf("a", "b", "c"), now)
	_, promised := b.Promise("a", HashView(viewOf("a", "b")), now)
	c.Check(promised, qt.IsFalse)
}

func TestPromiseToAnOwnerOutsideTheViewBlocksOthers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := &ExclusivityTracker{Self: "b"}
	b.SetView(viewOf("a", "b", "c"), now)
	_, promised := b.Promise("a", b.ViewHash(), now)
	c.Assert(promised, qt.IsTrue)
	b.SetView(viewOf("b", "c"), now)
	_, promised = b.Promise("c", b.ViewHash(), now.Add(promiseDuration/2))
	c.Check(promised, qt.IsFalse)
	_, promised = b.Promise("c", b.ViewHash(), now.Add(promiseDuration))
	c.Check(promised, qt.IsTrue)
}

func TestOwnerIsExclusiveNoLongerThanItsLease(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	a := &ExclusivityTracker{Self: "a"}
	a.SetView(viewOf("a"), now)
	a.SetLease("1", now.Add(2*promiseDuration), now)
	a.Until(now)
	c.Check(a.Until(now.Add(promiseDuration)).IsZero(), qt.IsFalse)
	c.Check(a.Until(now.Add(2*promiseDuration)).IsZero(), qt.IsTrue)
}

// exclusivityModel lets three instances change their views at random, but a
// member leaves a view only after its lease has ended.
type exclusivityModel struct {
	now             time.Time
	trackers        [3]*ExclusivityTracker
	views           [3]hemlocktally.View
	instances       [3]hemlocktally.Instance // instances holds the current incarnations.
	leaseEnds       [3]time.Time             // leaseEnds holds the end of each lease as its holder knows it.
	lastIncarnation int
}

func newExclusivityModel() *exclusivityModel {
	m := &exclusivityModel{now: time.Unix(1000, 0)}
	for i, id := range []hemlocktally.InstanceID{"a", "b", "c"} {
		m.trackers[i] = &ExclusivityTracker{Self: id, Started: m.now}
		m.instances[i].ID = id
		m.register(i)
	}
	for i := range m.trackers {
		m.readView(i, func(string) bool { return false })
	}
	return m
}

// register gives an instance a new lease and incarnation, and then a new view.
func (m *exclusivityModel) register(i int) {
	m.lastIncarnation++
	name := fmt.Sprint(m.lastIncarnation)
	m.instances[i].Incarnation, m.instances[i].State = name, hemlocktally.InstanceServing
	m.leaseEnds[i] = m.now.Add(6 * time.Second)
	m.trackers[i].SetLease(name, m.leaseEnds[i], m.now)
	m.readView(i, func(string) bool { return false })
}

// readView renews the view of an instance. Where it lags, it keeps what was seen
// of a member before.
func (m *exclusivityModel) readView(i int, lags func(string) bool) {
	var view hemlocktally.View
	for j := range m.trackers {
		before, known := m.views[i].Find(m.instances[j].ID)
		switch {
		case j == i || (m.now.Before(m.leaseEnds[j]) && !lags("live")):
			view.Members = append(view.Members, m.instances[j])
		case known && lags("gone"):
			view.Members = append(view.Members, before)
		case known && m.now.Before(m.leaseEnds[j]):
			view.Members = append(view.Members, before)
		}
	}
	m.views[i] = view
	m.trackers[i].SetView(view, m.now)
}

func (m *exclusivityModel) askMembers(t *rapid.T, i int) {
	for j := range m.trackers {
		if j == i || rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
			continue
		}
		view, promised := m.trackers[j].Promise(m.instances[i].ID, m.trackers[i].ViewHash(), m.now)
		sent := m.now
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "back")) * time.Millisecond)
		m.trackers[i].RecordAnswer(m.instances[j].ID, view, promised, sent, m.now)
	}
}

func (m *exclusivityModel) check(t *rapid.T) {
	exclusiveOwners := 0
	for i := range m.trackers {
		owner, _ := OwnerOf("reads", m.views[i].Serving())
		if owner.ID == m.instances[i].ID && !m.trackers[i].Until(m.now).IsZero() {
			exclusiveOwners++
		}
	}
	if exclusiveOwners > 1 {
		t.Fatalf("%d owners are exclusive at once", exclusiveOwners)
	}
}

func TestNeverTwoExclusiveOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newExclusivityModel()
		who := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "who") }
		t.Repeat(map[string]func(*rapid.T){
			"read": func(t *rapid.T) {
				m.readView(who(t), func(what string) bool { return rapid.Bool().Draw(t, what) })
			},
			"readAll": func(*rapid.T) {
				for i := range m.trackers {
					m.readView(i, func(string) bool { return false })
				}
			},
			"ask":      func(t *rapid.T) { m.askMembers(t, who(t)) },
			"register": func(t *rapid.T) { m.register(who(t)) },
			"lapse": func(t *rapid.T) {
				i := who(t)
				m.leaseEnds[i] = m.now
				m.trackers[i].SetLease("", time.Time{}, m.now)
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{10, 50, 100, 700}).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}
