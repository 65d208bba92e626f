// Package allocator grants calls access to the targets of a service. One
// instance owns each service and counts all of its calls in flight in a State.
// Each change of a State is a pure step from a message to commands: State.Update
// does no I/O and reads no clock. An Owner is the task that holds a State, the
// Server runs the owners of one instance, and the Client acquires grants from
// the owner of a service for the instance that received the call, the requester.
package allocator

import (
	"time"

	"hemlocktally"
)

// AcquireMsg requests a grant.
type AcquireMsg struct {
	Ticket    uint64 // Ticket identifies the waiting request within the owner.
	Request   hemlocktally.GrantRequest
	Requester hemlocktally.InstanceID
}

// CancelMsg cancels a waiting request.
type CancelMsg struct {
	Ticket uint64
}

// ResultMsg returns a grant with the result of its call.
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
	Service      hemlocktally.Service
	Contracts    []hemlocktally.Contract
	OutOfService map[hemlocktally.TargetName]bool
	Revision     hemlocktally.Revision
}

// MembersMsg sets the members of the fleet.
type MembersMsg struct {
	Members map[hemlocktally.InstanceID]bool
}

// ExclusivityMsg sets the time until which this owner is the only one that may
// use cold targets and the probe budget. With the zero time it may not use them.
type ExclusivityMsg struct {
	Until time.Time
	Owner bool // Owner is set if the instance is the owner by its own view.
}

// InFlightGrant is a grant in flight, as its requester reports it.
type InFlightGrant struct {
	Grant    hemlocktally.GrantID
	Service  hemlocktally.ServiceName
	Target   hemlocktally.TargetName
	Started  time.Time
	Deadline time.Time
}

// ReconcileMsg lists all grants that one requester has in flight on the service.
type ReconcileMsg struct {
	Requester   hemlocktally.InstanceID
	RequestedAt time.Time // RequestedAt is when the list was requested.
	Grants      []InFlightGrant
	// Warm lists the targets last reported to the requester as warm; it may be empty.
	Warm []hemlocktally.TargetName
}

// ProbeMsg is the result of a probe.
type ProbeMsg struct {
	Target   hemlocktally.TargetName
	Latency  time.Duration
	Failed   bool
	State    hemlocktally.TargetState // State is the state that the target reported; it may be empty.
	InFlight int                      // InFlight is the number of calls in flight that the target reported.
	Reported bool                     // Reported is set if the target reported its load.
}

// TickMsg only applies the time that has passed, for example to refuse expired
// requests.
type TickMsg struct{}

// GrantCmd answers a waiting request with a grant.
type GrantCmd struct {
	Ticket uint64
	Grant  hemlocktally.Grant
}

// RefuseCmd answers a waiting request with a refusal.
type RefuseCmd struct {
	Ticket uint64
	Error  *hemlocktally.RefusedError
}

// ProbeCmd starts a probe of a target.
type ProbeCmd struct {
	Target hemlocktally.Target
	Path   string
}

// StateChangeCmd reports that the state of a target changed.
type StateChangeCmd struct {
	Target hemlocktally.TargetName
	State  hemlocktally.TargetState
	Reason string
}

// InvariantBrokenCmd reports that an invariant does not hold.
type InvariantBrokenCmd struct {
	Invariant string
	Detail    string
}

// Command is one of the types above whose names end in Cmd.
type Command any
