package allocator

import (
	"context"
	"errors"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// activeGrant is one grant in flight, as the owner knows it.
type activeGrant struct {
	requester hemlocktally.InstanceID
	started   time.Time
	deadline  time.Time
	// issuedElsewhere is set if another owner, or the requester without an owner, issued it.
	issuedElsewhere bool
}

// targetTracker holds what the owner knows about one target.
type targetTracker struct {
	target       hemlocktally.Target
	outOfService bool
	stateMachine *fsm.FSM
	reason       string
	inFlight     map[hemlocktally.GrantID]activeGrant

	// coldLimit is the maximum number of calls in flight while the target is cold.
	coldLimit int
	// fastResponses counts fast responses since coldLimit last rose or, on a slow target, in a row.
	fastResponses       int
	consecutiveFailures int       // consecutiveFailures sets the length of the backoff.
	backoffUntil        time.Time // backoffUntil is the time before which the target gets no work.
	saidCold            bool
	latency             movingAverage
	lastHeard           time.Time // lastHeard is the time of the last conclusive result or probe.
	lastGranted         time.Time
	probeInFlight       bool
	disprovedReports    int // disprovedReports counts load reports that contradict the target's responses.
	served              uint64
	// slow is set while its latency is an outlier of the service; such a target is chosen last.
	slow             bool
	overdueResponses int // overdueResponses counts the overdue responses while the target is slow.
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

// transition applies an event to the state machine. The reason is kept if the
// state allows the event, also when the state stays the same.
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

// oldestAge returns the age of the oldest grant in flight, or zero if there is
// none.
func (t *targetTracker) oldestAge(now time.Time) time.Duration {
	var age time.Duration
	for _, active := range t.inFlight {
		age = max(age, now.Sub(active.started))
	}
	return age
}

// concurrencyLimit returns how many calls the target may have in flight now.
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

// Thresholds for the ramp-up of cold targets, for slow targets and for backoff.
const (
	responsesPerStep  = 4 // responsesPerStep is the number of fast responses that raise coldLimit by one.
	recoveryResponses = 2
	// overdueToLimit overdue responses limit a slow target to one call, because it may be cold.
	overdueToLimit      = 2
	failuresToCold      = 3
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = 2 * time.Second
	drainBackoff        = time.Second
	maxDisprovedReports = 3
	latencyWeight       = 0.2
	maxBackoffShift     = 7
)

// recordResult updates the target from the result of a call, and adds the
// latency to the service's window if the target is warm and not slow.
func (t *targetTracker) recordResult(msg ResultMsg, service *latencyWindow, now time.Time) {
	if isInconclusive(msg, service) {
		return
	}
	t.lastHeard = now
	t.served++
	if msg.SaidDraining {
		t.transition(eventDrain, "its response says that it is draining")
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
		t.transition(eventTurnCold, "its response says that it is cold")
	case t.cold():
		t.rampUp(msg.Latency, service)
	case t.slow:
		t.checkRecovery(msg.Latency, service)
	case t.warm():
		service.add(msg.Latency)
	}
}

// checkRecovery clears the slow mark after recoveryResponses responses in a row
// within the service's 95th percentile, and counts overdue responses.
func (t *targetTracker) checkRecovery(latency time.Duration, service *latencyWindow) {
	if latency > service.overdueThreshold() {
		t.overdueResponses++
		t.reason = "its responses are overdue"
	}
	if latency > service.p95 {
		t.fastResponses = 0
		return
	}
	t.fastResponses++
	if t.fastResponses >= recoveryResponses {
		t.slow, t.overdueResponses, t.fastResponses, t.reason = false, 0, 0, "its responses are fast again"
	}
}

// isInconclusive reports whether a result tells nothing about the target: the
// call was never sent, or it was cancelled or timed out before its response was
// overdue.
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

// recordFailure backs off from the target for a time that doubles with each
// consecutive failure. Without it, a target that fails fast would attract work
// because of its low latency.
func (t *targetTracker) recordFailure(now time.Time) {
	t.consecutiveFailures++
	wait := initialBackoff << min(t.consecutiveFailures-1, maxBackoffShift)
	t.backoffUntil = now.Add(min(wait, maxBackoff))
	if t.consecutiveFailures >= failuresToCold {
		t.transition(eventTurnCold, "its calls failed repeatedly")
	}
}

// rampUp raises the limit of a cold target as long as its responses are as fast
// as those of the service's warm targets. One overdue response resets the limit.
func (t *targetTracker) rampUp(latency time.Duration, service *latencyWindow) {
	if service.hasQuantiles() && latency > service.overdueThreshold() {
		t.transition(eventTurnCold, "its responses are slow")
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
		t.transition(eventTurnWarm, "its responses are fast")
	}
}
