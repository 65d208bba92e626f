// Package promoter moves the calls of a service to the targets of another version, as an operator
// has ordered. One instance decides at a time: the owner of the service, which sees the result of
// every call. It sends a small part of the calls to the new version, compares the results with
// those of the old version, and raises the part shortly before the rollout has to be completed.
// Decisions are pure steps of State; Writer makes the calls of the store.
package promoter

import (
	"time"

	"hemlocktally"
)

// Bounds limit what a new version may get before it is known to be good. Rollouts are off if Share
// is zero.
type Bounds struct {
	Share         float64       // Share is the share of the service's calls since the order.
	Slack         float64       // Slack is the number of calls in addition to the share.
	RollbackDelay time.Duration // RollbackDelay is how long after its 50th bad response a bad version may get calls.
}

// Enabled reports whether rollouts are on.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// Capacity is what the targets of a service can take now.
type Capacity struct {
	OldSlots   int // OldSlots is the number of slots of the targets of the version in use.
	NewSlots   int // NewSlots is the number of slots of the warm targets of the new version.
	NewTargets int // NewTargets is the number of targets of the new version that are in service.
	Busy       int // Busy is the number of calls in flight on all targets.
	OldBusy    int // OldBusy is the number of calls in flight on targets of the previous version.
}

// Messages to the state.
type (
	// FleetMsg tells what the store says of the rollout, and the registered targets.
	FleetMsg struct {
		Rollout hemlocktally.Rollout
		Targets []hemlocktally.Registration
	}
	// RankMsg tells whether the instance is the one to decide.
	RankMsg struct {
		First   bool                      // First is set if the instance is the first owner of the service.
		Member  bool                      // Member is set if the instance is one of the owners.
		Members []hemlocktally.InstanceID // Members are all owners that are known.
	}
	// ResultMsg tells how a call ended.
	ResultMsg struct {
		New      bool // New is set if the call was assigned to the new version.
		Target   hemlocktally.TargetName
		Zone     hemlocktally.ZoneName
		Contract hemlocktally.ContractName
		Outcome  hemlocktally.AttemptOutcome
		Latency  time.Duration
		// Pace is how much longer work took on the target than usual; values below 1 count as 1.
		Pace float64
		Cold bool // Cold is set if the target was cold; the latency says nothing then.
		// Excused is set for a refusal that is no fault of the version, as of a draining target.
		Excused bool
	}
	// WrittenMsg tells that a record was written.
	WrittenMsg struct {
		Sequence uint64
		Version  hemlocktally.StoreVersion
	}
	// ConflictMsg tells that the store holds another record than expected; Value is nil if it holds
	// none.
	ConflictMsg struct {
		Version hemlocktally.StoreVersion
		Value   []byte
	}
	// WriteFailedMsg tells that the store did not answer a write.
	WriteFailedMsg struct{}
	// StatusMsg tells whether the status was written.
	StatusMsg struct {
		Phase   hemlocktally.RolloutPhase
		Version hemlocktally.SoftwareVersion
		Written bool
	}
	// TickMsg makes the state act on the time that has passed.
	TickMsg struct{ Capacity Capacity }
)

// Commands of the state.
type (
	// WriteCmd writes the record if the entry still has the expected version.
	WriteCmd struct {
		Record   hemlocktally.RolloutRecord
		Expected hemlocktally.StoreVersion
	}
	// StatusCmd tells operators the state of the rollout.
	StatusCmd struct {
		Phase   hemlocktally.RolloutPhase
		Version hemlocktally.SoftwareVersion
	}
	// ChangeCmd reports a decision, for the log.
	ChangeCmd struct {
		Version hemlocktally.SoftwareVersion
		Phase   hemlocktally.RolloutPhase
		Step    int
		Reason  string
		Report  Report
	}
)

// Report holds the figures of a rollout, for the log and the metrics.
type Report struct {
	Phase     hemlocktally.RolloutPhase
	Deciding  bool          // Deciding is set if this instance decides.
	Share     float64       // Share is the share of calls that are to go to the new version.
	Calls     float64       // Calls is the number of calls since the order.
	Exposed   float64       // Exposed is the number of calls that the new version may have got.
	Bad       float64       // Bad is the number of its bad results.
	Remaining time.Duration // Remaining is the time until the rollout must be completed.
}

// Times of a rollout.
const (
	// noticeTime is how long before this instance the store may have accepted the order: a hub's
	// pause between two watches, and the way to it.
	noticeTime = 500 * time.Millisecond
	// rampTime is how long before the deadline the ramp begins. It covers the ramp (1 to 1.8 s), the
	// switch (1 to 1.6 s) and a part of the time that it takes to replace a decider that was killed
	// (2 to 2.6 s).
	rampTime = 4800 * time.Millisecond
	// maxRampShare limits rampTime for short durations, as a share of the duration.
	maxRampShare = 0.6
	// lateTime is the time before the deadline from which steps no longer wait for evidence.
	lateTime = 2900 * time.Millisecond
	// earlyTime is the time before the deadline until which earlyProbability counts.
	earlyTime = 3300 * time.Millisecond
	// unclearTime is the time before the deadline at which a switch is completed although the results
	// are not clear.
	unclearTime = 1800 * time.Millisecond
	// switchBy is the time before the deadline at which steps of the ramp are skipped.
	switchBy = 2300 * time.Millisecond
	// giveUpTime is the time before the deadline at which a version that can't take the calls is
	// rolled back.
	giveUpTime  = 900 * time.Millisecond
	minStepTime = 350 * time.Millisecond
	maxStepTime = 600 * time.Millisecond
	// lateStepTime replaces both once the time is short.
	lateStepTime = 150 * time.Millisecond
	// switchTime is how long all calls must have gone to the new version, counted from the store's
	// answer, before the old targets may be stopped. Followers learn of an entry within 0.5 s; the
	// rest is for calls in flight.
	switchTime = time.Second
	// maxSwitchTime limits the wait for calls that are still in flight on old targets.
	maxSwitchTime = 1600 * time.Millisecond
	// backupTime is how long another owner waits for the decider to complete a rollout.
	backupTime = 2 * time.Second
	// takeoverTime is how long the record must be unchanged before another instance takes over from
	// a decider that is still listed as an owner.
	takeoverTime = 1200 * time.Millisecond
	// staleTime is the age from which a record may lack calls that its decider has sent since.
	staleTime = 2 * time.Second
	// writeInterval is the time between two writes of the record while a rollout runs.
	writeInterval = 500 * time.Millisecond
	// urgentWriteInterval replaces it when the record allows hardly any more calls.
	urgentWriteInterval = 200 * time.Millisecond
	// evaluationInterval is the least time between two evaluations of all results.
	evaluationInterval = 10 * time.Millisecond
	retryInterval      = 250 * time.Millisecond
	// outageTime is how long writes must have failed before the decider goes on without them.
	outageTime = time.Second
	// baselineTime is how long the targets must be known before the version in use is recorded.
	baselineTime = 3 * time.Second
)

// Parameters of the exposure.
const (
	// reserve is the number of calls of the budget that are never used. They cover calls that are
	// counted here and counted differently elsewhere.
	reserve = 5
	// canaryShare is the part of the budget that the canary phase uses.
	canaryShare = 0.5
	// outageShare is the part of the remaining budget that a decider may use beyond its last record
	// while it can't write, and that a successor counts as used.
	outageShare = 0.25
	// burst is how many calls the canary phase sends at once, so that a target runs under full load
	// also if the share of calls is small.
	burst = 6
	// minAhead and aheadSeconds are how many calls a record allows in advance.
	minAhead     = 8
	aheadSeconds = 1.5
	// maxContractShare limits the canary share of the calls of one contract, so that results of the
	// old version remain to compare with.
	maxContractShare = 0.5
	// coldShare is the part of the canary phase's budget that targets may get while all are cold:
	// latencies say nothing then.
	coldShare = 0.3
	// contractTTL is how long after its last call a contract counts as in use.
	contractTTL = 3 * time.Second
)

// rampShares are the shares of the steps of the ramp; step 0 is the canary phase.
var rampShares = []float64{0, 0.25, 0.6, 1}
