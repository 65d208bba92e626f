package placer

import "time"

// occupancy learns how much longer work takes as the slots of a service's targets
// fill up. Servers that share a processor or a lock slow down before they are full:
// then more is done with some of the slots left free. Its zero value has learnt
// nothing.
type occupancy struct {
	levels map[level]*levelEstimate
}

// level is a number of calls that a target with so many slots has at once.
type level struct{ slots, busy int }

// levelEstimate is the moving mean of the work at one level, as a multiple of each
// contract's reference.
type levelEstimate struct {
	ratio   float64
	samples int
	at      time.Time // at is when the last sample came.
}

const (
	levelWeight   = 0.01                   // levelWeight is what a sample counts in the moving mean: work varies much from call to call.
	levelSamples  = 60                     // levelSamples is how many samples make a level known.
	levelLasts    = 20 * time.Second       // levelLasts is how long a level without new samples stays known: what changes is found again.
	trialLasts    = 250 * time.Millisecond // trialLasts is how long a target is filled to one level before the next is tried.
	nearlyMost    = 0.9                    // nearlyMost is the part of the most that can be done that has to be left where slots stay free.
	nearlyFull    = 1.3                    // nearlyFull is how much longer work takes with the last slot taken, until that is known.
	mostSlowdown  = 3.0
	leastSlowdown = 1.15 // leastSlowdown is what counts as slower; less is an error of the estimates.
	leastTried    = 3    // leastTried is the fewest slots of a target for which leaving some free is tried.
	mostRatio     = 6.0  // mostRatio bounds a single sample.
)

// add takes over how long one call took, as a multiple of its contract's reference,
// where its target had so many calls with it.
func (o *occupancy) add(at level, ratio float64, now time.Time) {
	if o.levels == nil {
		o.levels = map[level]*levelEstimate{}
	}
	e := o.levels[at]
	if e == nil || now.Sub(e.at) > levelLasts {
		e = &levelEstimate{}
		o.levels[at] = e
	}
	e.samples++
	e.at = now
	e.ratio += max(levelWeight, 1/float64(e.samples)) * (min(ratio, mostRatio) - e.ratio)
}

// known returns the estimate of a level that enough recent samples made.
func (o *occupancy) known(at level, now time.Time) (ratio float64, ok bool) {
	e := o.levels[at]
	if e == nil || e.samples < levelSamples || now.Sub(e.at) > levelLasts {
		return 0, false
	}
	return e.ratio, true
}

// base is the ratio of the lowest level that is known, against which the others are
// held.
func (o *occupancy) base(slots int, now time.Time) (ratio float64, ok bool) {
	for busy := 1; busy <= slots; busy++ {
		if ratio, ok := o.known(level{slots, busy}, now); ok {
			return ratio, true
		}
	}
	return 0, false
}

// slowdown is how much longer work takes on a target of so many slots once it has
// that many calls. Until it is known, the last slot alone is expected to be slow.
func (o *occupancy) slowdown(at level, now time.Time) float64 {
	if at.slots <= 1 {
		return 1
	}
	base, _ := o.base(at.slots, now)
	ratio, known := o.known(at, now)
	switch {
	case known && ratio < leastSlowdown*base:
		return 1
	case known:
		return min(mostSlowdown, ratio/base)
	case at.busy >= at.slots:
		return nearlyFull
	default:
		return 1
	}
}

// width is how many calls at once the nth target of so many slots gets: as few as
// nearly most is done with, since what runs with fewer beside it is done sooner.
func (o *occupancy) width(n, slots int, now time.Time) int {
	if slots < leastTried {
		return slots
	}
	ratios := make([]float64, slots+1) // A level of which nothing is known is taken for as quick as the one below it.
	missing := false
	for busy := slots / 2; busy <= slots; busy++ {
		ratio, ok := o.known(level{slots, busy}, now)
		if !ok {
			ratio = ratios[busy-1]
			missing = missing || busy < slots
		}
		ratios[busy] = max(ratio, ratios[busy-1])
	}
	switch _, full := o.known(level{slots, slots}, now); {
	case missing && full:
		return o.trial(n, slots, now)
	case missing:
		return slots
	}
	most := 0.0
	for busy := slots / 2; busy <= slots; busy++ {
		most = max(most, float64(busy)/ratios[busy])
	}
	best := slots
	for busy := slots; busy >= slots/2; busy-- {
		if float64(busy)/ratios[busy] >= nearlyMost*most {
			best = busy
		}
	}
	return best
}

// trial is the level up to which the nth target is filled while levels below the
// highest are unknown: in an overload all targets are full all the time, and nothing
// could be learnt of fewer calls.
func (o *occupancy) trial(n, slots int, now time.Time) int {
	choices := slots - slots/2 + 1
	turn := int(now.UnixNano() / int64(trialLasts))
	return slots - (n+turn)%choices
}
