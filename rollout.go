package hemlocktally

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// SoftwareVersion is the version of a target's software, as its entry names it.
type SoftwareVersion string

// RolloutOrder is an operator's order to move a service's calls to the targets of a version.
type RolloutOrder struct {
	Service  ServiceName
	Version  SoftwareVersion
	Duration time.Duration // Duration is the time from the order until the rollout must be completed.
	// At is the write of the order. It distinguishes two orders with the same content.
	At GenerationVersion
}

// RolloutPhase is how far the rollout of an order has come.
type RolloutPhase string

// The phases of a rollout.
const (
	RolloutIdle       RolloutPhase = ""           // RolloutIdle is the phase of a service that has had no order.
	RolloutRunning    RolloutPhase = "Running"    // RolloutRunning tests the ordered version with a part of the calls.
	RolloutSwitching  RolloutPhase = "Switching"  // RolloutSwitching sends all calls to the ordered version while the old targets still exist.
	RolloutCompleted  RolloutPhase = "Completed"  // RolloutCompleted allows operators to stop the old targets.
	RolloutRolledBack RolloutPhase = "RolledBack" // RolloutRolledBack sends nothing to the ordered version any more.
)

// RolloutRecord is what the store holds of the rollout of a service, so that another decider can
// continue it.
type RolloutRecord struct {
	Sequence uint64          // Sequence counts the writes of the record.
	InUse    SoftwareVersion // InUse is the version whose targets serve the calls.
	Previous SoftwareVersion // Previous is the version in use before the rollout.
	Target   SoftwareVersion // Target is the version of the last order.
	Phase    RolloutPhase
	Reason   string // Reason says why the rollout was rolled back.
	// Withdrawn is set if the rollout ended because its order was deleted.
	Withdrawn bool              `json:",omitempty"`
	Order     GenerationVersion // Order is the write of the last order.
	Duration  time.Duration
	// Decider is the run of the instance that wrote the record.
	Decider     string
	Elapsed     time.Duration // Elapsed is the time since the order.
	WrittenAtMs int64         // WrittenAtMs is the Unix time of the write in milliseconds.
	Step        int           // Step is the step of the ramp.
	Calls       float64       // Calls is the number of calls since the order.
	// Exposed is the number of calls that the ordered version got since the order, plus those
	// that the decider may still send before it writes the record again.
	Exposed  float64
	Evidence []RolloutEvidence `json:",omitempty"`
}

// RolloutEvidence counts the results of one contract on both versions.
type RolloutEvidence struct {
	Contract ContractName
	Old, New RolloutCounts
}

// RolloutCounts counts the results of one contract on one version.
type RolloutCounts struct {
	Results float64
	Failed  float64
	Timed   float64 // Timed is the number of results whose latency counts.
	Slow    float64
	Raw     float64 // Raw is the number of results whose latency counts as it was, whatever speed the target reported.
	Long    float64 // Long is the number of those that took several times longer than usual.
	Seconds float64 // Seconds is the mean latency at the target's usual speed.
}

// Limits of a record.
const (
	maxRolloutCount    = 1e12
	maxRolloutEvidence = 256
	// MaxRolloutDuration bounds the duration of an order.
	MaxRolloutDuration = 24 * time.Hour
	maxVersionBytes    = 256
)

// BoundedVersion returns the version that a target names, cut to the greatest length that versions
// may have.
func BoundedVersion(version string) SoftwareVersion {
	if len(version) > maxVersionBytes {
		version = strings.ToValidUTF8(version[:maxVersionBytes], "")
	}
	return SoftwareVersion(version)
}

// InvalidRolloutError reports a record with values that no decider writes.
type InvalidRolloutError struct{ Detail string }

// Error returns a message with what is invalid.
func (e *InvalidRolloutError) Error() string { return "rollout record: " + e.Detail }

// Encode returns the record as the store holds it.
func (r RolloutRecord) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRolloutRecord decodes a record and returns an error for one that no decider has written.
func DecodeRolloutRecord(value []byte) (RolloutRecord, error) {
	var r RolloutRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return RolloutRecord{}, err
	}
	if err := r.check(); err != nil {
		return RolloutRecord{}, err
	}
	return r, nil
}

// check returns an error for values that no decider writes.
func (r RolloutRecord) check() error {
	phases := []RolloutPhase{RolloutIdle, RolloutRunning, RolloutSwitching, RolloutCompleted, RolloutRolledBack}
	longVersion := func(v SoftwareVersion) bool { return len(v) > maxVersionBytes }
	invalidTime := func(d time.Duration) bool { return d < 0 || d > MaxRolloutDuration }
	switch {
	case r.Sequence == 0 || r.Sequence > math.MaxInt64:
		return &InvalidRolloutError{Detail: fmt.Sprintf("sequence %d", r.Sequence)}
	case !slices.Contains(phases, r.Phase):
		return &InvalidRolloutError{Detail: fmt.Sprintf("phase %q", r.Phase)}
	case len(r.Evidence) > maxRolloutEvidence || slices.ContainsFunc(r.counts(), invalidCount):
		return &InvalidRolloutError{Detail: "a count is beyond its bound"}
	case slices.ContainsFunc([]time.Duration{r.Duration, r.Elapsed}, invalidTime) || r.Step < 0 || r.Step > math.MaxInt16:
		return &InvalidRolloutError{Detail: "a time or the step is beyond its bound"}
	case slices.ContainsFunc([]SoftwareVersion{r.InUse, r.Previous, r.Target}, longVersion):
		return &InvalidRolloutError{Detail: "a version is too long"}
	}
	return nil
}

func invalidCount(n float64) bool { return math.IsNaN(n) || n < 0 || n > maxRolloutCount }

// counts returns all counts of the record.
func (r RolloutRecord) counts() []float64 {
	counts := []float64{r.Calls, r.Exposed}
	for _, e := range r.Evidence {
		for _, c := range []RolloutCounts{e.Old, e.New} {
			counts = append(counts, c.Results, c.Failed, c.Timed, c.Slow, c.Raw, c.Long, c.Seconds)
		}
	}
	return counts
}

// Rollout is what the store says of the rollout of one service. It is immutable once published.
type Rollout struct {
	Order  *RolloutOrder  // Order is nil if there is none.
	Record *RolloutRecord // Record is nil if there is none, or if it can't be read.
	// At is the write of the record's entry; its version is zero if there is none. Record may be
	// later, if the store has lost it.
	At GenerationVersion
	// Unreadable is set if there is a record that can't be read.
	Unreadable bool
}

// VersionInUse returns the version whose targets serve the service's calls. Without a record, it is
// the version of most targets, apart from the one that the order names.
func (r Rollout) VersionInUse(targets []Registration) SoftwareVersion {
	if r.Record != nil {
		return r.Record.InUse
	}
	counts := map[SoftwareVersion]int{}
	var best SoftwareVersion
	for _, t := range targets {
		version := t.Target.Version
		if r.Order != nil && version == r.Order.Version {
			continue
		}
		counts[version]++
		if counts[version] > counts[best] || (counts[version] == counts[best] && version < best) {
			best = version
		}
	}
	if len(counts) == 0 && r.Order != nil {
		return r.Order.Version // All targets have the ordered version.
	}
	return best
}
