package follower

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A zone has two instances with most of a core and a fast link, and fifty with a
// sixth of a core and a link of 10 Mbit/s. When its place is free, as after the loss
// of all, a strong one claims it before any weak one, whatever the random part of
// their delays.
func TestStrongInstancesClaimFirst(t *testing.T) {
	const (
		strong, weak           = 0.8, 0.16
		strongCount, weakCount = 2, 50
	)
	random := rand.New(rand.NewPCG(1, 1))
	first := func(weight float64, count int) time.Duration {
		least := time.Hour
		for range count {
			least = min(least, weightedClaimDelay(weight, random.Float64()))
		}
		return least
	}
	overtaken := 0
	for range 1000 {
		if first(weak, weakCount) <= first(strong, strongCount) {
			overtaken++
		}
	}
	qt.Assert(t, overtaken, qt.Equals, 0)
}

// Dozens of strong instances in a zone don't all claim at once: within the time that
// a claim takes only a few of them try.
func TestStrongInstancesClaimOneByOne(t *testing.T) {
	const (
		strongCount = 40
		claimTakes  = 8 * time.Millisecond // Two calls of the store.
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
