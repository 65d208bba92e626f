package configurator_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/configurator"
)

var background = context.Background()

func TestChangeIsAcceptedOnce(t *testing.T) {
	c := qt.New(t)
	store := newStore(1)
	first := &configurator.Configurator{Store: store}
	second := &configurator.Configurator{Store: store}
	accepted, err := first.Change(background, change("a", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	c.Check(accepted.Revision, qt.Equals, hemlocktally.Revision(1))
	c.Check(first.Current().Services, qt.HasLen, 1)

	again, err := second.Change(background, change("a", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	c.Check(again, qt.DeepEquals, accepted)

	var other *hemlocktally.ChangeError
	_, err = second.Change(background, change("a", 1, service("other", 2)))
	c.Check(errors.As(err, &other), qt.IsTrue)

	var race *hemlocktally.RevisionConflictError
	_, err = second.Change(background, change("b", 0, service("b", 1)))
	c.Assert(errors.As(err, &race), qt.IsTrue)
	c.Check(race.Winner, qt.DeepEquals, accepted)
}

func TestBadChangeIsRefusedWhole(t *testing.T) {
	c := qt.New(t)
	store := newStore(1)
	configurer := &configurator.Configurator{Store: store}
	bad := hemlocktally.Command{Kind: hemlocktally.CommandPutContract, Contract: &hemlocktally.Contract{Name: "x", Service: "absent"}}
	var wrong *hemlocktally.ChangeError
	_, err := configurer.Change(background, change("a", 0, service("log", 2), bad))
	c.Assert(errors.As(err, &wrong), qt.IsTrue)
	c.Check(wrong.Index, qt.Equals, 1)
	c.Check(wrong.Detail, qt.Contains, `service "absent"`)
	c.Check(store.writes, qt.Equals, 0)
	c.Check(configurer.Current().Revision, qt.Equals, hemlocktally.Revision(0))
}

func TestLostAnswersAreSettled(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := newStore(seed)
			store.loseAnswer, store.loseRequest, store.staleReads = 0.3, 0.3, 0.3
			configurer := &configurator.Configurator{Store: store}
			for i := range 8 {
				id := fmt.Sprint("change-", i)
				accepted, err := configurer.Change(background, change(id, hemlocktally.Revision(i), service(id, 1)))
				c.Assert(err, qt.IsNil)
				c.Check(accepted.Revision, qt.Equals, hemlocktally.Revision(i+1))
			}
			c.Check(configurer.Current().Services, qt.HasLen, 8)
		})
	}
}

func TestOutageSaysNotAccepted(t *testing.T) {
	c := qt.New(t)
	store := newStore(1)
	store.down = true
	configurer := &configurator.Configurator{Store: store}
	_, err := configurer.Change(background, change("a", 0, service("log", 2)))
	var failed *hemlocktally.StoreError
	var unknown *hemlocktally.UnknownChangeError
	c.Check(errors.As(err, &failed), qt.IsTrue)
	c.Check(errors.As(err, &unknown), qt.IsFalse)
}

// TestUnsettledChangeIsUnknown checks a commit whose answer is lost while the store
// goes down, so that its outcome can't be read back.
func TestUnsettledChangeIsUnknown(t *testing.T) {
	c := qt.New(t)
	store := newStore(1)
	store.loseAnswer = 1
	configurer := &configurator.Configurator{Store: &vanishing{fakeStore: store}, SettleTimeout: 300 * time.Millisecond}
	_, err := configurer.Change(background, change("a", 0, service("log", 2)))
	var unknown *hemlocktally.UnknownChangeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
	c.Check(unknown.ChangeID, qt.Equals, "a")
	store.set(func(s *fakeStore) { s.down, s.loseAnswer = false, 0 })
	accepted, err := configurer.Change(background, change("a", 0, service("log", 2)))
	c.Assert(err, qt.IsNil)
	c.Check(accepted.Revision, qt.Equals, hemlocktally.Revision(1))
}

// vanishing is a store that goes down after its first write.
type vanishing struct{ *fakeStore }

func (v *vanishing) CompareAndSwap(ctx context.Context, entry hemlocktally.Entry) (hemlocktally.StoreVersion, error) {
	version, err := v.fakeStore.CompareAndSwap(ctx, entry)
	v.set(func(s *fakeStore) { s.down = true })
	return version, err
}

func TestLargeConfigurationFitsTheStore(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := newStore(1)
	configurer := &configurator.Configurator{Store: store}
	var all hemlocktally.Change
	for i := range 2400 {
		all.Commands = append(all.Commands, service(fmt.Sprintf("service-%d", i), 8+i%2))
	}
	all.ID = "all"
	_, err := configurer.Change(background, all)
	c.Assert(err, qt.IsNil)
	store.writtenBytes = 0
	_, err = configurer.Change(background, change("one", 1, service("service-7", 3)))
	c.Assert(err, qt.IsNil)
	c.Check(store.writtenBytes < 64<<10, qt.IsTrue, qt.Commentf("%d bytes", store.writtenBytes))

	late := &configurator.Configurator{Store: store}
	_, err = late.Change(background, change("two", 2, service("service-8", 3)))
	c.Assert(err, qt.IsNil)
	c.Check(late.Current().Services, qt.HasLen, 2400)
	moved, _ := late.Current().Service("service-7")
	c.Check(moved.Targets, qt.HasLen, 3)
}

func TestManyChangesLeaveOneSnapshot(t *testing.T) {
	c := qt.New(t)
	store := newStore(1)
	ctx, cancel := context.WithCancel(background)
	defer cancel()
	configurer := &configurator.Configurator{Store: store}
	ended := make(chan error, 1)
	go func() { ended <- configurer.Run(ctx) }()
	for i := range 100 {
		_, err := configurer.Change(background, change(fmt.Sprint("c", i), hemlocktally.Revision(i), service("log", 1+i%3)))
		c.Assert(err, qt.IsNil)
	}
	await(c, "one snapshot is left", func() bool { return len(store.keys("Configuration/Snapshots/")) == 1 })
	cancel()
	c.Assert(<-ended, qt.IsNil)
	c.Check(configurer.History(5), qt.HasLen, 5)
	c.Check(configurer.History(1)[0].Change.ID, qt.Equals, "c99")

	late := &configurator.Configurator{Store: store}
	_, err := late.Change(background, change("last", 100, zone(hemlocktally.CommandZoneOut)))
	c.Assert(err, qt.IsNil)
	c.Check(late.Current().ZoneOut("north"), qt.IsTrue)
}

func TestStoreThatLostWritesIsRestored(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := newStore(1)
	ctx, cancel := context.WithCancel(background)
	configurer := &configurator.Configurator{Store: store}
	for i := range 5 {
		_, err := configurer.Change(background, change(fmt.Sprint("c", i), hemlocktally.Revision(i), service("log", 1+i)))
		c.Assert(err, qt.IsNil)
	}
	store.set(func(s *fakeStore) { s.entries = map[string]hemlocktally.Entry{} })
	ended := make(chan error, 1)
	go func() { ended <- configurer.Run(ctx) }()
	await(c, "the head is back", func() bool { return len(store.keys("Configuration/Head")) == 1 })
	cancel()
	c.Assert(<-ended, qt.IsNil)
	late := &configurator.Configurator{Store: store}
	accepted, err := late.Change(background, change("last", 5, zone(hemlocktally.CommandZoneOut)))
	c.Assert(err, qt.IsNil)
	c.Check(accepted.Revision, qt.Equals, hemlocktally.Revision(6))
	c.Check(late.Current().Services[0].Targets, qt.HasLen, 5)
}

func await(c *qt.C, what string, reached func() bool) {
	deadline := time.Now().Add(20 * time.Second)
	for !reached() {
		if time.Now().After(deadline) {
			c.Fatalf("not reached: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// changeInput and changeOutput are one operation on the register, the model against
// which the history of changes is checked for linearizability: it is written by
// compare-and-swap, and an operation with an unknown outcome may have taken effect
// at any time.
type changeInput struct {
	id   string
	base hemlocktally.Revision
}

type changeOutput struct {
	revision hemlocktally.Revision // revision is zero if another change came first.
	winner   hemlocktally.Revision
	unknown  bool
}

type register struct {
	revision hemlocktally.Revision
	accepted string // accepted lists the IDs in order.
}

func changeModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, input, output any) []any {
			r, in, out := state.(register), input.(changeInput), output.(changeOutput)
			applied := register{revision: r.revision + 1, accepted: r.accepted + in.id + ","}
			switch {
			case out.unknown && r.revision == in.base:
				return []any{r, applied}
			case out.unknown:
				return []any{r}
			case out.revision > 0 && r.revision == in.base && applied.revision == out.revision:
				return []any{applied}
			case out.revision == 0 && r.revision != in.base && r.revision == out.winner:
				return []any{r}
			default:
				return nil
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func TestRacingOperatorsHaveOneOrder(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for seed := range uint64(10) {
		store := newStore(seed)
		store.loseAnswer, store.loseRequest = 0.2, 0.2
		var mu sync.Mutex
		var history []porcupine.Operation
		var operators sync.WaitGroup
		for client := range 4 {
			operators.Go(func() {
				configurer := &configurator.Configurator{Store: store}
				base := hemlocktally.Revision(0)
				for i := range 8 {
					in := changeInput{id: fmt.Sprintf("%d-%d", client, i), base: base}
					called := time.Now().UnixNano()
					accepted, err := configurer.Change(background, change(in.id, base, service("log", 1)))
					out, returned := changeOutput{revision: accepted.Revision}, time.Now().UnixNano()
					var race *hemlocktally.RevisionConflictError
					switch {
					case errors.As(err, &race):
						out.winner = race.Winner.Revision
						base = race.Winner.Revision
					case err != nil:
						out.unknown, returned = true, math.MaxInt64
					default:
						base = accepted.Revision
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: returned})
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		c.Assert(porcupine.CheckOperations(changeModel(), history), qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}
