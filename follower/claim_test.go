package follower

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A zone has two instances with most of a core and a fast link, and fifty with a sixth of
// a core and a link of 10 Mbit/s. When the hub role is vacant, as after the loss of all
// instances, a strong one claims it before any weak one, whatever the random part of
// their delays.
func TestStrongInstancesClaimFirst(t *testing.T) {
	const (
		strong, weak           = 0.8, 0.16
		strongCount, weakCount = 2, 50
	)
	random := rand.New(rand.NewPCG(1, 1))
	earliest := func(weight float64, count int) time.Duration {
		least := time.Hour
		for range count {
			least = min(least, weightedClaimDelay(weight, random.Float64()))
		}
		return least
	}
	weakFirst := 0
	for range 1000 {
		if earliest(weak, weakCount) <= earliest(strong, strongCount) {
			weakFirst++
		}
	}
	qt.Assert(t, weakFirst, qt.Equals, 0)
}

// A zone with dozens of strong instances must not see them all claim at once: only a few
// may try within the time that one claim takes.
func TestStrongInstancesClaimOneByOne(t *testing.T) {
	const (
		strongCount = 40
		claimTakes  = 8 * time.Millisecond // Two calls to the store.
		mostAtOnce  = 6
	)
	random := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		delays := make([]time.Duration, 0, strongCount)
		first := time.Hour
		for range strongCount {
			d := weightedClaimDelay(0.8, random.Float64())
			delays, first = append(delays, d), min(first, d)
		}
		atOnce := 0
		for _, d := range delays {
			if d <= first+claimTakes {
				atOnce++
			}
		}
		qt.Assert(t, atOnce <= mostAtOnce, qt.IsTrue, qt.Commentf("%d", atOnce))
	}
}
