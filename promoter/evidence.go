package promoter

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"hemlocktally"
)

// Parameters of the comparison of the two versions.
const (
	// rollbackProbability is the probability below which the results of the new version are not
	// explained by chance. It is small because each result is a new chance.
	rollbackProbability = 5e-5
	// suspectProbability is the probability below which the share is not raised.
	suspectProbability = 0.02
	// earlyProbability replaces it as long as there is time for more results.
	earlyProbability = 0.05
	// unclearProbability is the probability below which a switch is not completed earlier than needed.
	unclearProbability = 0.05
	// lateProbability replaces rollbackProbability where the time for more results is over.
	lateProbability = 1e-3
	// failureFloor and slowFloor are the least rates that the old version is assumed to have.
	// Few targets of the new version get calls, and all of them may be among those that crash or lose
	// responses.
	// Results that are slow by chance come together, since a slow target serves several calls.
	failureFloor = 0.012
	// zoneFailureFloor replaces it where the results of other zones confirm a finding.
	zoneFailureFloor = 0.005
	slowFloor        = 0.05
	// slowWeight makes up for results that are slow together.
	slowWeight = 3
	// longFloor and longWeight make the same test of latencies that are not divided by the pace that
	// targets report. A quarter of the targets may be seven times slower for half a second at a time,
	// so that many results are slow by chance, and together. Calls of the old version go to those that
	// are quick at the moment; those of the new version have few targets to choose from.
	longFloor  = 0.35
	longWeight = 5000
	// rawCap limits the weight of a single one of these latencies in their mean.
	rawCap = 2
	// priorResults is the weight of the service's rate in that of one contract.
	priorResults = 20
	// slowFactor is the multiple of a contract's mean latency from which a result counts as slow.
	slowFactor = 2.5
	// minSlowSeconds is by how much a slow result exceeds the mean at least. Delays of an instance that is
	// short of CPU are a multiple of short work.
	minSlowSeconds = 0.05
	// minMeanSamples is the number of samples from which a mean latency is used, maxMeanSamples the
	// number over which it moves.
	minMeanSamples = 15
	maxMeanSamples = 500
	// provenResults is the number of results from which a version that is not suspect counts as good.
	// Each bad result beyond expectedFactor times those of the old version requires as many again.
	provenResults  = 25
	expectedFactor = 2
	// fewResults is the same shortly before the deadline, if no result was bad.
	fewResults = 8
	// fewCalls is the number of calls up to which no results are needed: there are too few calls.
	fewCalls = 100
	// minBad is the least number of bad results of a rollback.
	minBad = 3
	// manyBad is the number of bad results from which it no longer matters whether they come from a
	// single target or zone. A version must not get calls long after its 50th bad result.
	manyBad = 100
	// limitBad is the number of bad results from which RollbackDelay counts.
	limitBad = 50
	// minGoodResults is the number of good results of other targets from which these speak for the
	// version while all bad results come from a single one.
	minGoodResults = 8
	// minRestResults is the number of results of other zones from which these are compared as well.
	minRestResults = 3
	// minZoneBad is the least number of bad results of a rollback if they are not: a single target that
	// crashes loses as many calls as it has slots.
	minZoneBad = 6
	// confirmProbability is the probability below which the results of other zones confirm a finding.
	confirmProbability = 0.05
	// minRawTargets and minRawSamples are how many targets with how many samples each are needed to
	// judge latencies that are not divided by the pace that targets report.
	minRawTargets = 6
	minRawSamples = 3
	maxContracts  = 256
	// lostFactor is the multiple of the mean latency from which a cancelled attempt counts as slow,
	// and lostSlowness the multiple that it counts as.
	lostFactor   = 1.5
	lostSlowness = 3
)

// tally holds what is known of one contract.
type tally struct {
	old, new hemlocktally.RolloutCounts
	mean     mean // mean is the old version's latency at usual speed.
	raw      mean // raw is the old version's latency as it was.
	calls    float64
	assigned float64
	calledAt time.Time
	zones    map[hemlocktally.ZoneName]*hemlocktally.RolloutCounts // zones holds the parts of new that come from each zone.
}

// mean is a moving mean.
type mean struct{ value, samples float64 }

func (m *mean) add(sample float64) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.value += (sample - m.value) / m.samples
}

// addCapped adds a sample of which only rawCap times the mean counts, so that targets that are slow
// for a moment hardly move the mean.
func (m *mean) addCapped(sample float64) {
	if m.samples > 0 {
		sample = min(sample, rawCap*m.value)
	}
	m.add(sample)
}

// place counts the results of one target or zone.
type place struct {
	results, bad float64
	rawSum       float64 // rawSum is the sum of latencies as multiples of the old version's mean.
	rawSamples   float64
}

// evidence compares the results of the two versions since the order.
type evidence struct {
	contracts map[hemlocktally.ContractName]*tally
	targets   map[hemlocktally.TargetName]*place // targets holds those of the new version.
	// inherited is set if bad results of an earlier decider are counted, whose targets are unknown.
	inherited bool
}

func (e *evidence) contract(name hemlocktally.ContractName) *tally {
	if e.contracts == nil {
		e.contracts = map[hemlocktally.ContractName]*tally{}
	}
	t := e.contracts[name]
	if t == nil {
		if len(e.contracts) >= maxContracts {
			name = ""
			if t = e.contracts[name]; t != nil {
				return t
			}
		}
		t = &tally{}
		e.contracts[name] = t
	}
	return t
}

// reset forgets all results except the usual latencies.
func (e *evidence) reset() {
	for _, t := range e.contracts {
		t.old, t.new, t.zones, t.calls, t.assigned = hemlocktally.RolloutCounts{}, hemlocktally.RolloutCounts{}, nil, 0, 0
	}
	e.targets, e.inherited = nil, false
}

// restore replaces the results by those of a record. Usual latencies that are known are kept.
func (e *evidence) restore(list []hemlocktally.RolloutEvidence) {
	e.reset()
	for _, item := range list {
		t := e.contract(item.Contract)
		t.old, t.new, t.assigned = item.Old, item.New, item.New.Results
		if t.mean.samples < minMeanSamples && item.Old.Seconds > 0 {
			t.mean = mean{value: item.Old.Seconds, samples: minMeanSamples}
		}
		e.inherited = e.inherited || item.New.Failed+item.New.Slow > 0
	}
}

// list returns the results for a record.
func (e *evidence) list() []hemlocktally.RolloutEvidence {
	var list []hemlocktally.RolloutEvidence
	for _, name := range slices.Sorted(maps.Keys(e.contracts)) {
		t := e.contracts[name]
		t.old.Seconds = 0
		if t.mean.samples >= minMeanSamples {
			t.old.Seconds = t.mean.value
		}
		list = append(list, hemlocktally.RolloutEvidence{Contract: name, Old: t.old, New: t.new})
	}
	return list
}

// class is what a result says of its version.
type class int

const (
	classNone   class = iota // classNone says nothing.
	classGood                // classGood is a response at the usual speed.
	classFailed              // classFailed is no response, or one that says that the call failed.
	classSlow                // classSlow is a response that took several times longer than usual.
	classCold                // classCold is a response whose latency says nothing.
)

// classify returns what the result says. The threshold is the latency at the target's usual speed
// from which a result is slow; zero if it is not known.
func classify(msg ResultMsg, threshold float64) class {
	slow := threshold > 0 && !msg.Cold && usualSeconds(msg) > threshold
	switch msg.Outcome {
	case hemlocktally.AttemptFailed, hemlocktally.AttemptTimedOut:
		return classFailed
	case hemlocktally.AttemptRefused:
		if msg.Excused || msg.Cold {
			return classNone
		}
		return classFailed
	case hemlocktally.AttemptDone:
		if slow {
			return classSlow
		}
		if msg.Cold || threshold == 0 {
			return classCold
		}
		return classGood
	default:
		// A cancelled attempt says something only if it had taken too long already.
		if slow {
			return classSlow
		}
		return classNone
	}
}

// usualSeconds returns the latency that the result would have had at the target's usual speed.
func usualSeconds(msg ResultMsg) float64 { return msg.Latency.Seconds() / max(1, msg.Pace) }

// slowFrom returns the latency from which results of the contract are slow; zero if it is not known.
func (t *tally) slowFrom() float64 {
	if t.mean.samples < minMeanSamples {
		return 0
	}
	return max(slowFactor*t.mean.value, t.mean.value+minSlowSeconds)
}

func count(c *hemlocktally.RolloutCounts, result class) {
	c.Results++
	switch result {
	case classFailed:
		c.Failed++
	case classSlow:
		c.Slow++
		c.Timed++
	case classGood:
		c.Timed++
	case classNone, classCold:
	}
}

// add counts a result. If compare is not set, only the usual latencies are learned. It reports
// whether the result was a bad one of the new version.
func (e *evidence) add(msg ResultMsg, compare bool) (bad bool) {
	t := e.contract(msg.Contract)
	result := classify(msg, t.slowFrom())
	if compare {
		e.addRaw(msg, t)
	}
	if result == classNone {
		return false
	}
	if !msg.New {
		if msg.Outcome == hemlocktally.AttemptDone && !msg.Cold {
			t.mean.add(usualSeconds(msg))
			t.raw.addCapped(msg.Latency.Seconds())
		}
		if compare {
			count(&t.old, result)
		}
		return false
	}
	if !compare {
		return false
	}
	count(&t.new, result)
	count(t.zone(msg.Zone), result)
	bad = result == classFailed || result == classSlow
	e.addTarget(msg, bad)
	return bad
}

func (e *evidence) addTarget(msg ResultMsg, bad bool) {
	target := e.target(msg)
	target.results++
	if bad {
		target.bad++
	}
}

// addRaw counts the latency as it was.
func (e *evidence) addRaw(msg ResultMsg, t *tally) {
	factor := rawFactor(msg, t)
	if factor == 0 {
		return
	}
	counts := []*hemlocktally.RolloutCounts{&t.old}
	if msg.New {
		counts = []*hemlocktally.RolloutCounts{&t.new, t.zone(msg.Zone)}
		target := e.target(msg)
		target.rawSum += factor
		target.rawSamples++
	}
	for _, c := range counts {
		c.Raw++
		if factor >= lostSlowness && msg.Latency.Seconds() > t.raw.value+minSlowSeconds {
			c.Long++
		}
	}
}

// target returns the counts of the result's target.
func (e *evidence) target(msg ResultMsg) *place {
	if e.targets == nil {
		e.targets = map[hemlocktally.TargetName]*place{}
	}
	if e.targets[msg.Target] == nil {
		e.targets[msg.Target] = &place{}
	}
	return e.targets[msg.Target]
}

// zone returns the counts of the new version in a zone.
func (t *tally) zone(name hemlocktally.ZoneName) *hemlocktally.RolloutCounts {
	if t.zones == nil {
		t.zones = map[hemlocktally.ZoneName]*hemlocktally.RolloutCounts{}
	}
	if t.zones[name] == nil {
		t.zones[name] = &hemlocktally.RolloutCounts{}
	}
	return t.zones[name]
}

// rawFactor returns the latency as a multiple of the old version's mean, whatever speed the target
// reported; zero if it says nothing. An attempt that lost to a second one would have taken longer.
func rawFactor(msg ResultMsg, t *tally) float64 {
	if msg.Cold || t.raw.samples < minMeanSamples {
		return 0
	}
	factor := msg.Latency.Seconds() / t.raw.value
	switch {
	case msg.Outcome == hemlocktally.AttemptDone:
		return factor
	case msg.Outcome == hemlocktally.AttemptCancelled && factor > lostFactor:
		return max(factor, lostSlowness)
	default:
		return 0
	}
}

// totals returns the counts of all contracts.
func (e *evidence) totals() (before, after hemlocktally.RolloutCounts) {
	for _, t := range e.contracts {
		addCounts(&before, t.old)
		addCounts(&after, t.new)
	}
	return before, after
}

func addCounts(sum *hemlocktally.RolloutCounts, part hemlocktally.RolloutCounts) {
	sum.Results += part.Results
	sum.Failed += part.Failed
	sum.Timed += part.Timed
	sum.Slow += part.Slow
	sum.Raw += part.Raw
	sum.Long += part.Long
}

// zoneTotals returns the counts of the new version in each zone.
func (e *evidence) zoneTotals() map[hemlocktally.ZoneName]*hemlocktally.RolloutCounts {
	var all tally
	for _, t := range e.contracts {
		for name, counts := range t.zones {
			addCounts(all.zone(name), *counts)
		}
	}
	return all.zones
}

func (e *evidence) bad() float64 {
	_, after := e.totals()
	return after.Failed + after.Slow
}

// finding is the comparison that is least explained by chance.
type finding struct {
	probability float64
	detail      string
	test        test
	zoneRate    float64 // zoneRate is the rate that the results of other zones are held against.
	results     float64
	bad         float64
	zones       map[hemlocktally.ZoneName]*hemlocktally.RolloutCounts // zones are nil for all contracts together.
}

// test is one way to be bad.
type test struct {
	name   string
	counts func(hemlocktally.RolloutCounts) (bad, results float64)
	floor  float64
	// zoneFloor replaces the floor for the results of other zones.
	zoneFloor float64
	weight    float64 // weight multiplies the probability.
}

var tests = []test{
	{"failed", func(c hemlocktally.RolloutCounts) (bad, results float64) { return c.Failed, c.Results }, failureFloor, zoneFailureFloor, 1},
	{"slow", func(c hemlocktally.RolloutCounts) (bad, results float64) { return c.Slow, c.Timed }, slowFloor, slowFloor, slowWeight},
	{"slow, whatever speed their targets report,", func(c hemlocktally.RolloutCounts) (bad, results float64) { return c.Long, c.Raw }, longFloor, longFloor, longWeight},
}

// worst returns the finding with the lowest probability, over all contracts together and each.
func (e *evidence) worst() finding {
	before, after := e.totals()
	worst := finding{probability: 1}
	worst.compare("all contracts", before, after, hemlocktally.RolloutCounts{}, nil)
	for name, t := range e.contracts {
		worst.compare("contract "+string(name), t.old, t.new, before, t.zones)
	}
	return worst
}

// compare replaces the finding by the comparison of the counts if that has a lower probability.
// service holds the old version's counts of all contracts, if the counts are those of one.
func (f *finding) compare(what string, before, after, service hemlocktally.RolloutCounts, zones map[hemlocktally.ZoneName]*hemlocktally.RolloutCounts) {
	for _, test := range tests {
		bad, results := test.counts(after)
		if bad < minBad {
			continue
		}
		oldBad, oldResults := test.counts(before)
		allBad, all := test.counts(service)
		rate := func(floor float64) float64 { return assumedRate(floor, oldBad, oldResults, allBad, all) }
		if p := test.weight * binomialTail(results, bad, rate(test.floor)); p < f.probability {
			*f = finding{
				probability: p, test: test, zoneRate: rate(test.zoneFloor), results: results, bad: bad, zones: zones,
				detail: fmt.Sprintf("%s: %.0f of %.0f %s, %.0f of %.0f with the old version", what, bad, results, test.name, oldBad, oldResults),
			}
		}
	}
}

// assumedRate returns the rate of bad results that the old version is assumed to have, which may be
// higher than in its sample. Of a contract with few results, the rate of the service counts more.
func assumedRate(floor, bad, results, serviceBad, serviceResults float64) float64 {
	prior := floor
	if serviceResults > 0 {
		prior = max(prior, serviceBad/serviceResults)
	}
	n := results + priorResults
	rate := (bad + priorResults*prior) / n
	// Calls of a contract may fail with either version.
	return max(floor, rate+math.Sqrt(rate*(1-rate)/n), bad/(results+2))
}

// confirmed reports whether the results without those of the zone that explains the finding best are
// bad as well. A zone that is lost would look like a bad version.
func (f finding) confirmed(zones map[hemlocktally.ZoneName]*hemlocktally.RolloutCounts) bool {
	if f.zones != nil {
		zones = f.zones
	}
	restResults, restBad := f.results, f.bad
	for _, counts := range zones {
		bad, results := f.test.counts(*counts)
		if f.bad-bad < restBad {
			restResults, restBad = f.results-results, f.bad-bad
		}
	}
	if restResults < minRestResults {
		return f.bad >= minZoneBad
	}
	return binomialTail(restResults, restBad, f.zoneRate) < confirmProbability
}

// binomialTail returns the probability of at least k of n independent results with the given rate.
func binomialTail(n, k, rate float64) float64 {
	if k <= 0 || rate >= 1 {
		return 1
	}
	logGamma := func(x float64) float64 { v, _ := math.Lgamma(x); return v }
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logGamma(n+1) - logGamma(i+1) - logGamma(n-i+1) + i*math.Log(rate) + (n-i)*math.Log1p(-rate))
		sum += term
		if i > n*rate && term < sum*1e-6 {
			break
		}
	}
	return min(1, sum)
}

// widespread reports whether a finding is more than a single target or zone that fails while others
// serve well.
func (e *evidence) widespread(f finding) bool {
	if e.bad() >= manyBad {
		return true
	}
	return (e.inherited || spread(e.targets)) && f.confirmed(e.zoneTotals())
}

func spread(places map[hemlocktally.TargetName]*place) bool {
	affected, good := 0, 0.0
	for _, p := range places {
		if p.bad > 0 {
			affected++
		} else {
			good += p.results
		}
	}
	return affected > 1 || good < minGoodResults
}

// slowTargets reports whether most targets of the new version are several times slower than those
// of the old version, whatever speed they report. A target that is slow for a moment, as many are,
// does not count by itself.
func (e *evidence) slowTargets() bool {
	var factors []float64
	for _, p := range e.targets {
		if p.rawSamples >= minRawSamples {
			factors = append(factors, p.rawSum/p.rawSamples)
		}
	}
	if len(factors) < minRawTargets {
		return false
	}
	slices.Sort(factors)
	return factors[len(factors)/4] > slowFactor
}

// verdict reports whether the new version is bad, and why.
func (e *evidence) verdict(probability float64) (reason string, bad bool) {
	if worst := e.worst(); worst.probability < probability && e.widespread(worst) {
		return worst.detail, true
	}
	if e.slowTargets() {
		return "most targets of the version take several times longer", true
	}
	return "", false
}

// mayTakeCanary reports whether a call of the contract may go to the new version in the canary
// phase: so many that results of the old version remain to compare with.
func (t *tally) mayTakeCanary() bool { return t.assigned+1 <= maxContractShare*t.calls+1 }

// behind reports whether fewer calls of the contract went to the new version than of others. Such
// calls don't wait for a burst, so that contracts with few calls take part as much as others.
func (e *evidence) behind(t *tally, now time.Time) bool {
	sum, contracts := 0.0, 0.0
	for _, other := range e.contracts {
		if now.Sub(other.calledAt) < contractTTL {
			sum, contracts = sum+other.assigned, contracts+1
		}
	}
	return contracts > 1 && t.assigned+1 < sum/contracts
}
