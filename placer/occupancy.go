package placer

import "time"

// occupancy estimates how much slower work gets as the slots of a service's targets fill up.
// Servers that share a processor or a lock slow down before all slots are used; then
// throughput is higher with some slots left free. The zero value has no samples.
type occupancy struct {
	levels map[loadLevel]*levelEstimate
}

// loadLevel is the number of concurrent calls on a target with the given number of slots.
type loadLevel struct{ slots, busy int }

// levelEstimate is the moving mean of the work at one level, as a multiple of each contract's
// reference.
type levelEstimate struct {
	ratio   float64
	samples int
	at      time.Time // at is the time of the last sample.
}

const (
	// levelWeight is the weight of a sample in the moving mean. It is small because work
	// varies much from call to call.
	levelWeight = 0.01
	// minLevelSamples is the number of samples that make a level known.
	minLevelSamples = 60
	// levelTTL is how long a level stays known without new samples, so that changes are
	// noticed.
	levelTTL = 20 * time.Second
	// trialInterval is how long a target is filled to one level before the next is tried.
	trialInterval = 250 * time.Millisecond
	// minThroughputShare is the share of the maximum throughput that must remain when slots
	// are left free.
	minThroughputShare = 0.9
	// defaultFullSlowdown is the slowdown assumed for a full target until it is known.
	defaultFullSlowdown = 1.3
	maxSlowdown         = 3.0
	// minSlowdown is the least ratio that counts as a slowdown. Anything below it is treated
	// as estimation error.
	minSlowdown = 1.15
	// minTrialSlots is the least number of slots for which leaving some free is tried.
	minTrialSlots = 3
	// maxRatio caps a single sample.
	maxRatio = 6.0
)

// add records the work of one call, as a multiple of its contract's reference, at the level
// that its target had including the call.
func (o *occupancy) add(at loadLevel, ratio float64, now time.Time) {
	if o.levels == nil {
		o.levels = map[loadLevel]*levelEstimate{}
	}
	e := o.levels[at]
	if e == nil || now.Sub(e.at) > levelTTL {
		e = &levelEstimate{}
		o.levels[at] = e
	}
	e.samples++
	e.at = now
	e.ratio += max(levelWeight, 1/float64(e.samples)) * (min(ratio, maxRatio) - e.ratio)
}

// known returns the estimate of a level, if it has enough recent samples.
func (o *occupancy) known(at loadLevel, now time.Time) (ratio float64, ok bool) {
	e := o.levels[at]
	if e == nil || e.samples < minLevelSamples || now.Sub(e.at) > levelTTL {
		return 0, false
	}
	return e.ratio, true
}

// baseline returns the ratio of the lowest known level, to which the others are compared.
func (o *occupancy) baseline(slots int, now time.Time) (ratio float64, ok bool) {
	for busy := 1; busy <= slots; busy++ {
		if ratio, ok := o.known(loadLevel{slots, busy}, now); ok {
			return ratio, true
		}
	}
	return 0, false
}

// slowdown returns the factor by which work is slower on a target at the given level. Until
// the level is known, only a full target is assumed to be slow.
func (o *occupancy) slowdown(at loadLevel, now time.Time) float64 {
	if at.slots <= 1 {
		return 1
	}
	baseline, _ := o.baseline(at.slots, now)
	ratio, known := o.known(at, now)
	switch {
	case known && ratio < minSlowdown*baseline:
		return 1
	case known:
		return min(maxSlowdown, ratio/baseline)
	case at.busy >= at.slots:
		return defaultFullSlowdown
	default:
		return 1
	}
}

// concurrencyLimit returns how many concurrent calls the target with the given index gets: the
// lowest number that gives nearly the maximum throughput, since calls finish sooner with fewer
// beside them.
func (o *occupancy) concurrencyLimit(index, slots int, now time.Time) int {
	if slots < minTrialSlots {
		return slots
	}
	// An unknown level is assumed to be as fast as the one below it.
	ratios := make([]float64, slots+1)
	missing := false
	for busy := slots / 2; busy <= slots; busy++ {
		ratio, ok := o.known(loadLevel{slots, busy}, now)
		if !ok {
			ratio = ratios[busy-1]
			missing = missing || busy < slots
		}
		ratios[busy] = max(ratio, ratios[busy-1])
	}
	switch _, full := o.known(loadLevel{slots, slots}, now); {
	case missing && full:
		return o.trialLimit(index, slots, now)
	case missing:
		return slots
	}
	maxThroughput := 0.0
	for busy := slots / 2; busy <= slots; busy++ {
		maxThroughput = max(maxThroughput, float64(busy)/ratios[busy])
	}
	best := slots
	for busy := slots; busy >= slots/2; busy-- {
		if float64(busy)/ratios[busy] >= minThroughputShare*maxThroughput {
			best = busy
		}
	}
	return best
}

// trialLimit returns the level up to which the target with the given index is filled while
// levels below the highest are unknown. In an overload all targets are full all the time, so
// lower levels would otherwise get no samples.
func (o *occupancy) trialLimit(index, slots int, now time.Time) int {
	levels := slots - slots/2 + 1
	round := int(now.UnixNano() / int64(trialInterval))
	return slots - (index+round)%levels
}
