package placer_test

import (
	"fmt"
	"testing"
	"time"

	"hemlocktally"

	qt "github.com/frankban/quicktest"
)

// overload is more calls a second than the six targets of a fleet can serve.
const overload = 150

// nameAll makes every target of the fleet name the limit.
func (f *limitFleet) nameAll(perSecond float64) {
	for _, t := range f.targets {
		t.name(perSecond)
	}
}

// checkAll checks what each target got against the limit that all name.
func (f *limitFleet) checkAll(perSecond float64) {
	f.c.Helper()
	for _, target := range f.targets {
		f.checkBound(target, perSecond)
	}
}

// The owner leaves and another takes over, again and again. Each new one learns the limits from
// the instances that were told them, and starts with nothing saved up.
func TestLimitHoldsWhileOwnersHandOver(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 8} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runLimitFleet(t, 16, 6, func(f *limitFleet) {
				f.nameAll(limit)
				f.load(f.instances, overload, 5*time.Second)
				for n := range 8 {
					f.instances[n].owner.Leave()
					f.setOwners(f.instances, n+1, n+2, n+3)
					f.load(f.instances, overload, 1500*time.Millisecond)
				}
				f.checkAll(limit)
			})
		})
	}
}

// Half of the instances still see an owner that the others don't see any more, so that two
// count as the first owner at once; some instances reach no owner at all.
func TestLimitHoldsWhileTwoOwnersCountAndSomeInstancesReachNone(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 8, 30} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runLimitFleet(t, 16, 6, func(f *limitFleet) {
				f.nameAll(limit)
				f.load(f.instances, overload, 5*time.Second)
				f.setOwners(f.instances[8:], 8, 9)
				f.setOwners(f.instances[12:])
				f.load(f.instances, 2*overload, 15*time.Second)
				f.checkAll(limit)
			})
		})
	}
}

// Some instances reach only the second owner and others only the third, so that three count at
// once although all agree on their order.
func TestLimitHoldsWhileFurtherOwnersCountToo(t *testing.T) {
	runLimitFleet(t, 16, 6, func(f *limitFleet) {
		const limit = 12
		f.nameAll(limit)
		f.load(f.instances, overload, 5*time.Second)
		f.cutOff(f.instances[5:], 0)
		f.cutOff(f.instances[10:], 1)
		f.load(f.instances, 2*overload, 15*time.Second)
		f.checkAll(limit)
	})
}

// Owners restart under their addresses and know nothing of what they were told.
func TestLimitHoldsWhileOwnersRestart(t *testing.T) {
	runLimitFleet(t, 16, 6, func(f *limitFleet) {
		const limit = 0.5
		f.nameAll(limit)
		f.load(f.instances, overload, 5*time.Second)
		for n := range 20 {
			f.restartOwner(f.instances[0], fmt.Sprint(n))
			f.load(f.instances, overload, 250*time.Millisecond)
		}
		f.checkAll(limit)
	})
}

// An instance tells a new owner all limits with its first request, so that no call is spent on
// finding them out one by one. One that has restarted under its ID is told what it had told
// itself before.
func TestNewOwnerIsToldAllLimitsAtOnce(t *testing.T) {
	for name, restart := range map[string]bool{"another instance": false, "the same, restarted": true} {
		t.Run(name, func(t *testing.T) {
			runLimitFleet(t, 8, 12, func(f *limitFleet) {
				f.mute = true
				f.nameAll(2)
				f.load(f.instances, 2*overload, 5*time.Second)
				owner := 7
				if restart {
					owner = 0
					f.restartOwner(f.instances[owner], "again")
				}
				f.setOwners(f.instances, owner)
				f.call(f.instances[3], hemlocktally.PriorityHigh)
				f.c.Check(f.instances[owner].owner.Stats(f.ctx)[0].Limited, qt.Equals, len(f.targets))
			})
		})
	}
}

// All owners are gone at once, and each instance decides alone.
func TestLimitHoldsWhileAllInstancesDecideAlone(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 8, 30} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			runLimitFleet(t, 24, 6, func(f *limitFleet) {
				f.nameAll(limit)
				f.load(f.instances, overload, 5*time.Second)
				f.setOwners(f.instances)
				f.load(f.instances, 2*overload, 15*time.Second)
				time.Sleep(5 * time.Minute) // What is not used in a pause must not add up.
				f.load(f.instances, 2*overload, 5*time.Second)
				f.checkAll(limit)
			})
		})
	}
}

// What a target allows is used when the others can't serve all calls promptly. When they can,
// they come first.
func TestLimitIsUsedAfterPromptTargets(t *testing.T) {
	runLimitFleet(t, 16, 6, func(f *limitFleet) {
		const limit, span = 5, 20 * time.Second
		limited := f.targets["t-0"]
		limited.name(limit)
		f.load(f.instances, 20, 4*time.Second)
		calm := time.Now()
		f.load(f.instances, 20, span)
		busy := time.Now()
		f.c.Check(limited.between(calm, busy) <= int(span/(5*time.Second))+1, qt.IsTrue, qt.Commentf("%d calls while others are prompt", limited.between(calm, busy)))
		f.c.Check(f.refused, qt.HasLen, 0)
		f.load(f.instances, overload, span)
		got := float64(limited.between(busy, time.Now())) / span.Seconds()
		f.c.Check(got >= limit/2.0, qt.IsTrue, qt.Commentf("%.1f calls a second of %d allowed", got, limit))
		f.checkBound(limited, limit)
	})
}

// A limit that rises, falls or is lifted takes effect with the next response.
func TestChangedLimitTakesEffectAtOnce(t *testing.T) {
	runLimitFleet(t, 16, 6, func(f *limitFleet) {
		limited := f.targets["t-0"]
		limited.name(1)
		f.load(f.instances, overload, 6*time.Second)
		limited.name(20)
		f.load(f.instances, overload, 2*time.Second)
		risen := time.Now()
		f.load(f.instances, overload, 4*time.Second)
		f.c.Check(limited.between(risen, time.Now()) >= 4*20/2, qt.IsTrue, qt.Commentf("%d calls after the rise", limited.between(risen, time.Now())))
		limited.name(0.5)
		f.load(f.instances, overload, time.Second)
		fallen := time.Now()
		f.load(f.instances, overload, 8*time.Second)
		f.c.Check(limited.most(fallen.Add(4*time.Second), false) <= 1.5*0.5*4+5, qt.IsTrue)
		limited.lift()
		f.load(f.instances, overload, 3*time.Second)
		lifted := time.Now()
		f.load(f.instances, overload, 4*time.Second)
		got := limited.between(lifted, time.Now())
		f.c.Check(got >= 40, qt.IsTrue, qt.Commentf("%d calls in 4 s after the limit was lifted, of 80 that the target can serve", got))
	})
}

// All targets name limits far below the load. Calls are refused at once, with a time to come
// back that spreads, and the precious ones get what there is.
func TestCallsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	runLimitFleet(t, 16, 6, func(f *limitFleet) {
		const limit = 3
		f.nameAll(limit)
		f.load(f.instances, 100, 5*time.Second)
		f.refused, f.waits, f.served = nil, nil, 0
		f.load(f.instances, 100, 20*time.Second)
		served := float64(f.served) / 20
		f.c.Check(served >= 6*limit/2.0, qt.IsTrue, qt.Commentf("%.1f calls a second served, 18 allowed", served))
		distinct := map[time.Duration]bool{}
		for n, refused := range f.refused {
			f.c.Assert(refused.Reason, qt.Equals, hemlocktally.ReasonTargetLimit, qt.Commentf("%s", refused.Detail))
			f.c.Assert(refused.Detail, qt.Contains, "names 3/s (")
			f.c.Assert(refused.RetryAfter >= 25*time.Millisecond && refused.RetryAfter <= 3*time.Second, qt.IsTrue)
			f.c.Assert(f.waits[n] <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", f.waits[n]))
			distinct[refused.RetryAfter.Round(time.Millisecond)] = true
		}
		f.c.Check(len(distinct) > 20, qt.IsTrue, qt.Commentf("%d times to come back", len(distinct)))
		f.checkAll(limit)
	})
}

// Precious calls are few. They get what the limits allow before all others.
func TestPreciousCallsGetWhatLimitsAllow(t *testing.T) {
	runLimitFleet(t, 16, 6, func(f *limitFleet) {
		f.nameAll(3)
		f.load(f.instances, 100, 5*time.Second)
		done := make(chan int)
		go func() {
			served := 0
			for range 60 {
				if f.call(f.instances[3], hemlocktally.PriorityHigh) != "" {
					served++
				}
				time.Sleep(200 * time.Millisecond)
			}
			done <- served
		}()
		f.load(f.instances, 100, 20*time.Second)
		served := <-done
		f.c.Check(served >= 54, qt.IsTrue, qt.Commentf("%d of 60 served", served))
	})
}
