package allocator

import (
	"context"
	"errors"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// turn is one turn in use, as the owner knows it.
type activeGrant struct {
	requester       hemlocktally.InstanceID
	started         time.Time
	deadline        time.Time
	issuedElsewhere bool // foreign is set where another owner, or the entry alone, granted it.
}

// tally is what the owner knows of one target.
type targetTracker struct {
	target       hemlocktally.Target
	outOfService bool
	stateMachine *fsm.FSM
	reason       string
	inFlight     map[hemlocktally.GrantID]activeGrant

	coldLimit           int       // bears is how many calls it may have while it is cold.
	fastResponses       int       // quick counts good answers since bears last rose.
	consecutiveFailures int       // failures counts failures in a row.
	backoffUntil        time.Time // holdOff is until when it gets nothing after failures.
	saidCold            bool
	latency             movingAverage
	lastHeard           time.Time // heardAt is the time of its last answer or measurement.
	lastGranted         time.Time
	probeInFlight       bool
	disprovedReports    int // lies counts load reports that its answers disproved.
	served              uint64
	slow                bool // slow is set while its latency stands out of the service's: it gets work last.
	overdueResponses    int  // outliers counts its overdue answers while it is slow.
}

// The events of a target's state machine.
const (
	eventTurnCold = "Chill"
	eventTurnWarm = "Warm"
	eventDrain    = "Drain"
	eventReturn   = "Return"
	eventLeave    = "Leave"
)

func newTargetTracker() *targetTracker {
	cold, warm := string(hemlocktally.TargetCold), string(hemlocktally.TargetWarm)
	draining, left := string(hemlocktally.TargetDraining), string(hemlocktally.TargetGone)
	return &targetTracker{
		inFlight: map[hemlocktally.GrantID]activeGrant{}, coldLimit: 1, reason: "new",
		stateMachine: fsm.NewFSM(cold, fsm.Events{
			{Name: eventTurnCold, Src: []string{cold, warm}, Dst: cold},
			{Name: eventTurnWarm, Src: []string{cold}, Dst: warm},
			{Name: eventDrain, Src: []string{cold, warm}, Dst: draining},
			{Name: eventReturn, Src: []string{draining, left}, Dst: cold},
			{Name: eventLeave, Src: []string{cold, warm, draining}, Dst: left},
		}, fsm.Callbacks{}),
	}
}

// fire runs an event; one that changes nothing is no error.
func (t *targetTracker) transition(event, reason string) {
	err := t.stateMachine.Event(context.Background(), event)
	var noTransition fsm.NoTransitionError
	if err == nil || errors.As(err, &noTransition) {
		t.reason = reason
	}
	if event == eventTurnCold || event == eventReturn {
		t.coldLimit, t.fastResponses = 1, 0
	}
	t.slow, t.overdueResponses = false, 0
}

func (t *targetTracker) state() hemlocktally.TargetState {
	return hemlocktally.TargetState(t.stateMachine.Current())
}

func (t *targetTracker) warm() bool { return t.state() == hemlocktally.TargetWarm }

func (t *targetTracker) cold() bool { return t.state() == hemlocktally.TargetCold }

// oldest returns the age of the oldest call in flight.
func (t *targetTracker) oldestAge(now time.Time) time.Duration {
	var age time.Duration
	for _, active := range t.inFlight {
		age = max(age, now.Sub(active.started))
	}
	return age
}

// limit returns how many calls it may have now.
func (t *targetTracker) concurrencyLimit(now time.Time, exclusivity ExclusivityMsg) int {
	switch {
	case t.outOfService || now.Before(t.backoffUntil):
		return 0
	case t.warm() && t.slow && t.overdueResponses >= overdueToLimit && !exclusivity.Owner:
		return 0
	case t.warm() && t.slow && t.overdueResponses >= overdueToLimit:
		return 1
	case t.warm():
		return t.target.SlotCount()
	case t.cold() && now.Before(exclusivity.Until):
		return min(t.coldLimit, t.target.SlotCount())
	default:
		return 0
	}
}

// The ramp of a cold target.
const (
	responsesPerStep    = 4 // rampAnswers are the good answers before it bears one more.
	recoveryResponses   = 2
	overdueToLimit      = 2 // outliersToLimit overdue answers hold a slow target to one call, as one that may be cold.
	failuresToCold      = 3
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = 2 * time.Second
	drainBackoff        = time.Second
	maxDisprovedReports = 3
	latencyWeight       = 0.2
	maxBackoffShift     = 7
)

// learn takes in what an answer says of the target.
func (t *targetTracker) recordResult(msg ResultMsg, service *latencyWindow, now time.Time) {
	if isInconclusive(msg, service) {
		return
	}
	t.lastHeard = now
	t.served++
	if msg.SaidDraining {
		t.transition(eventDrain, "it says that it drains")
		t.backoffUntil = now.Add(drainBackoff)
		return
	}
	if msg.Outcome != hemlocktally.AttemptDone {
		t.recordFailure(now)
		return
	}
	t.consecutiveFailures = 0
	t.latency.add(float64(msg.Latency), latencyWeight)
	t.saidCold = msg.SaidCold
	switch {
	case msg.SaidCold:
		t.transition(eventTurnCold, "it says that it is cold")
	case t.cold():
		t.rampUp(msg.Latency, service)
	case t.slow:
		t.checkRecovery(msg.Latency, service)
	case t.warm():
		service.add(msg.Latency)
	}
}

// recover ends the suspicion of a slow target after answers in a row that are
// as quick as the service's.
func (t *targetTracker) checkRecovery(latency time.Duration, service *latencyWindow) {
	if latency > service.overdueThreshold() {
		t.overdueResponses++
		t.reason = "its answers are overdue"
	}
	if latency > service.p95 {
		t.fastResponses = 0
		return
	}
	t.fastResponses++
	if t.fastResponses >= recoveryResponses {
		t.slow, t.overdueResponses, t.fastResponses, t.reason = false, 0, 0, "its answers are quick again"
	}
}

// saysNothing reports whether the end of a call tells nothing of its target: it
// was never sent, or it was given up before an answer was due.
func isInconclusive(msg ResultMsg, service *latencyWindow) bool {
	switch msg.Outcome {
	case hemlocktally.AttemptUnused:
		return true
	case hemlocktally.AttemptCancelled, hemlocktally.AttemptTimedOut:
		return !service.hasQuantiles() || msg.Latency < service.overdueThreshold()
	case hemlocktally.AttemptDone, hemlocktally.AttemptRefused, hemlocktally.AttemptFailed:
	}
	return false
}

// fail holds the target off for a time that doubles with each failure, so that
// a target that fails fast draws no work for being quick.
func (t *targetTracker) recordFailure(now time.Time) {
	t.consecutiveFailures++
	wait := initialBackoff << min(t.consecutiveFailures-1, maxBackoffShift)
	t.backoffUntil = now.Add(min(wait, maxBackoff))
	if t.consecutiveFailures >= failuresToCold {
		t.transition(eventTurnCold, "its calls fail")
	}
}

// ramp lets a cold target bear more as its answers come as fast as those of
// the service's warm targets, and falls back at once where one does not.
func (t *targetTracker) rampUp(latency time.Duration, service *latencyWindow) {
	if service.hasQuantiles() && latency > service.overdueThreshold() {
		t.transition(eventTurnCold, "its answers are slow")
		return
	}
	if service.hasQuantiles() && latency > service.p95 {
		return
	}
	t.fastResponses++
	if t.fastResponses < responsesPerStep {
		return
	}
	t.fastResponses = 0
	t.coldLimit++
	if t.coldLimit >= t.target.SlotCount() {
		t.transition(eventTurnWarm, "its answers are quick")
	}
}
