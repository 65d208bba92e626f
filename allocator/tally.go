package allocator

import (
	"context"
	"errors"
	"time"

	"github.com/looplab/fsm"

	"hemlocktally"
)

// turn is one turn in use, as the owner knows it.
type turn struct {
	from     hemlocktally.InstanceID
	started  time.Time
	deadline time.Time
	foreign  bool // foreign is set where another owner, or the entry alone, granted it.
}

// tally is what the owner knows of one target.
type tally struct {
	target   hemlocktally.Target
	out      bool
	machine  *fsm.FSM
	reason   string
	inFlight map[hemlocktally.GrantID]turn

	bears     int       // bears is how many calls it may have while it is cold.
	quick     int       // quick counts good answers since bears last rose.
	failures  int       // failures counts failures in a row.
	holdOff   time.Time // holdOff is until when it gets nothing after failures.
	saidCold  bool
	latency   average
	heardAt   time.Time // heardAt is the time of its last answer or measurement.
	grantedAt time.Time
	probing   bool
	lies      int // lies counts load reports that its answers disproved.
	served    uint64
	slow      bool // slow is set while its latency stands out of the service's: it gets work last.
	outliers  int  // outliers counts its overdue answers while it is slow.
}

// The events of a target's state machine.
const (
	eventChill  = "Chill"
	eventWarm   = "Warm"
	eventDrain  = "Drain"
	eventReturn = "Return"
	eventLeave  = "Leave"
)

func newTally() *tally {
	cold, warm := string(hemlocktally.TargetCold), string(hemlocktally.TargetWarm)
	draining, gone := string(hemlocktally.TargetDraining), string(hemlocktally.TargetGone)
	return &tally{
		inFlight: map[hemlocktally.GrantID]turn{}, bears: 1, reason: "new",
		machine: fsm.NewFSM(cold, fsm.Events{
			{Name: eventChill, Src: []string{cold, warm}, Dst: cold},
			{Name: eventWarm, Src: []string{cold}, Dst: warm},
			{Name: eventDrain, Src: []string{cold, warm}, Dst: draining},
			{Name: eventReturn, Src: []string{draining, gone}, Dst: cold},
			{Name: eventLeave, Src: []string{cold, warm, draining}, Dst: gone},
		}, fsm.Callbacks{}),
	}
}

// fire runs an event; one that changes nothing is no error.
func (t *tally) fire(event, reason string) {
	err := t.machine.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err == nil || errors.As(err, &same) {
		t.reason = reason
	}
	if event == eventChill || event == eventReturn {
		t.bears, t.quick = 1, 0
	}
	t.slow, t.outliers = false, 0
}

func (t *tally) state() hemlocktally.TargetState {
	return hemlocktally.TargetState(t.machine.Current())
}

func (t *tally) warm() bool { return t.state() == hemlocktally.TargetWarm }

func (t *tally) cold() bool { return t.state() == hemlocktally.TargetCold }

// oldest returns the age of the oldest call in flight.
func (t *tally) oldest(now time.Time) time.Duration {
	var age time.Duration
	for _, held := range t.inFlight {
		age = max(age, now.Sub(held.started))
	}
	return age
}

// limit returns how many calls it may have now.
func (t *tally) limit(now time.Time, standing StandingMsg) int {
	switch {
	case t.out || now.Before(t.holdOff):
		return 0
	case t.warm() && t.slow && t.outliers >= outliersToLimit && !standing.Owner:
		return 0
	case t.warm() && t.slow && t.outliers >= outliersToLimit:
		return 1
	case t.warm():
		return t.target.SlotCount()
	case t.cold() && now.Before(standing.Until):
		return min(t.bears, t.target.SlotCount())
	default:
		return 0
	}
}

// The ramp of a cold target.
const (
	rampAnswers      = 4 // rampAnswers are the good answers before it bears one more.
	recoveryAnswers  = 2
	outliersToLimit  = 2 // outliersToLimit overdue answers hold a slow target to one call, as one that may be cold.
	failuresToChill  = 3
	firstHoldOff     = 20 * time.Millisecond
	longestHoldOff   = 2 * time.Second
	drainRecheck     = time.Second
	liesToDistrust   = 3
	latencyWeight    = 0.2
	maxFailureDouble = 7
)

// learn takes in what an answer says of the target.
func (t *tally) learn(msg ResultMsg, service *window, now time.Time) {
	if saysNothing(msg, service) {
		return
	}
	t.heardAt = now
	t.served++
	if msg.SaidDraining {
		t.fire(eventDrain, "it says that it drains")
		t.holdOff = now.Add(drainRecheck)
		return
	}
	if msg.Outcome != hemlocktally.AttemptDone {
		t.fail(now)
		return
	}
	t.failures = 0
	t.latency.add(float64(msg.Latency), latencyWeight)
	t.saidCold = msg.SaidCold
	switch {
	case msg.SaidCold:
		t.fire(eventChill, "it says that it is cold")
	case t.cold():
		t.ramp(msg.Latency, service)
	case t.slow:
		t.recover(msg.Latency, service)
	case t.warm():
		service.add(msg.Latency)
	}
}

// recover ends the suspicion of a slow target after answers in a row that are
// as quick as the service's.
func (t *tally) recover(latency time.Duration, service *window) {
	if latency > service.overdue() {
		t.outliers++
		t.reason = "its answers are overdue"
	}
	if latency > service.p95 {
		t.quick = 0
		return
	}
	t.quick++
	if t.quick >= recoveryAnswers {
		t.slow, t.outliers, t.quick, t.reason = false, 0, 0, "its answers are quick again"
	}
}

// saysNothing reports whether the end of a call tells nothing of its target: it
// was never sent, or it was given up before an answer was due.
func saysNothing(msg ResultMsg, service *window) bool {
	switch msg.Outcome {
	case hemlocktally.AttemptUnused:
		return true
	case hemlocktally.AttemptCancelled, hemlocktally.AttemptTimedOut:
		return !service.known() || msg.Latency < service.overdue()
	case hemlocktally.AttemptDone, hemlocktally.AttemptRefused, hemlocktally.AttemptFailed:
	}
	return false
}

// fail holds the target off for a time that doubles with each failure, so that
// a target that fails fast draws no work for being quick.
func (t *tally) fail(now time.Time) {
	t.failures++
	wait := firstHoldOff << min(t.failures-1, maxFailureDouble)
	t.holdOff = now.Add(min(wait, longestHoldOff))
	if t.failures >= failuresToChill {
		t.fire(eventChill, "its calls fail")
	}
}

// ramp lets a cold target bear more as its answers come as fast as those of
// the service's warm targets, and falls back at once where one does not.
func (t *tally) ramp(latency time.Duration, service *window) {
	if service.known() && latency > service.overdue() {
		t.fire(eventChill, "its answers are slow")
		return
	}
	if service.known() && latency > service.p95 {
		return
	}
	t.quick++
	if t.quick < rampAnswers {
		return
	}
	t.quick = 0
	t.bears++
	if t.bears >= t.target.SlotCount() {
		t.fire(eventWarm, "its answers are quick")
	}
}
