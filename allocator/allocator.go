// Package allocator hands out turns on the targets of a service. The instance
// that owns a service keeps the exact tally of its work in flight in a State;
// every change of it is one pure step from a message to commands. The Owner
// task holds the State, the Server runs the owners of one instance, and the
// Client asks the right owner on behalf of an entry.
package allocator

import (
	"time"

	"hemlocktally"
)

// AcquireMsg asks for a turn.
type AcquireMsg struct {
	Ticket  uint64 // Ticket names the waiting request within the owner.
	Request hemlocktally.GrantRequest
	From    hemlocktally.InstanceID
}

// CancelMsg withdraws a waiting request.
type CancelMsg struct {
	Ticket uint64
}

// ResultMsg gives a turn back.
type ResultMsg struct {
	Grant        hemlocktally.GrantID
	Target       hemlocktally.TargetName
	Outcome      hemlocktally.AttemptOutcome
	Latency      time.Duration
	SaidCold     bool
	SaidDraining bool
}

// ConfigurationMsg replaces the service's targets and contracts.
type ConfigurationMsg struct {
	Service   hemlocktally.Service
	Contracts []hemlocktally.Contract
	Out       map[hemlocktally.TargetName]bool
	Revision  hemlocktally.Revision
}

// MembersMsg names the members of the fleet.
type MembersMsg struct {
	Members map[hemlocktally.InstanceID]bool
}

// StandingMsg says until when this owner alone may use cold targets and the
// measuring budget. The zero time means that it may not.
type ExclusivityMsg struct {
	Until time.Time
	Owner bool // Owner is set where the instance's own view names it the owner.
}

// Turn is a turn in use at an entry.
type InFlightGrant struct {
	Grant    hemlocktally.GrantID
	Service  hemlocktally.ServiceName
	Target   hemlocktally.TargetName
	Started  time.Time
	Deadline time.Time
}

// RecallMsg lists all turns that one entry has in use on the service.
type ReconcileMsg struct {
	From   hemlocktally.InstanceID
	Asked  time.Time // Asked is when the list was asked for.
	Grants []InFlightGrant
	Warm   []hemlocktally.TargetName // Warm lists what the entry last heard to be warm; it may be empty.
}

// ProbeMsg is the result of a measurement.
type ProbeMsg struct {
	Target   hemlocktally.TargetName
	Latency  time.Duration
	Failed   bool
	State    hemlocktally.TargetState // State is the target's own word; it may be empty.
	InFlight int                      // InFlight is what the target reported.
	Reported bool                     // Reported is set where the target reported its load.
}

// TickMsg lets time pass: waiting requests over their limit are refused.
type TickMsg struct{}

// GrantCmd answers a waiting request with a turn.
type GrantCmd struct {
	Ticket uint64
	Grant  hemlocktally.Grant
}

// RefuseCmd answers a waiting request with a refusal.
type RefuseCmd struct {
	Ticket uint64
	Error  *hemlocktally.RefusedError
}

// ProbeCmd measures a target.
type ProbeCmd struct {
	Target hemlocktally.Target
	Path   string
}

// StateCmd tells that a target changed its state.
type StateChangeCmd struct {
	Target hemlocktally.TargetName
	State  hemlocktally.TargetState
	Reason string
}

// BrokenCmd tells that an invariant does not hold.
type InvariantBrokenCmd struct {
	Invariant string
	Detail    string
}

// Command is one of the types above whose names end in Cmd.
type Command any
