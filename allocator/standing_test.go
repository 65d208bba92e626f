package allocator

import (
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

// TestNeverTwoOwnersStand lets three instances change their views at random,
// lose and delay messages and pause, and asks that no two stand as the owner of
// one service at the same moment.
func TestNeverTwoOwnersStand(t *testing.T) {
	ids := []hemlocktally.InstanceID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		all := make([]*Standing, len(ids))
		views := make([]hemlocktally.View, len(ids))
		for i, id := range ids {
			all[i] = &Standing{Self: id, Started: now}
			views[i] = viewOf(ids...)
			all[i].SetView(views[i], now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"view": func(t *rapid.T) {
				i := rapid.IntRange(0, len(ids)-1).Draw(t, "who")
				var members []hemlocktally.InstanceID
				for j, id := range ids {
					if j == i || rapid.IntRange(0, 3).Draw(t, "member") > 0 {
						members = append(members, id)
					}
				}
				views[i] = viewOf(members...)
				all[i].SetView(views[i], now)
			},
			"agree": func(_ *rapid.T) {
				for i := range all {
					views[i] = viewOf(ids...)
					all[i].SetView(views[i], now)
				}
			},
			"ask": func(t *rapid.T) {
				i := rapid.IntRange(0, len(ids)-1).Draw(t, "asker")
				for j := range all {
					if j == i || rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
						continue
					}
					view, promised := all[j].Answer(ids[i], all[i].View(), now)
					sent := now
					now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "back")) * time.Millisecond)
					all[i].Confirm(ids[j], view, promised, sent, now)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{10, 50, 100, 700}).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				standing := 0
				for i := range all {
					owner, _ := OwnerOf("reads", views[i].Serving())
					if owner.ID == ids[i] && !all[i].Until(now).IsZero() {
						standing++
					}
				}
				if standing > 1 {
					t.Fatalf("%d owners stand at once", standing)
				}
			},
		})
	})
}
