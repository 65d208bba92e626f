// Package allocator hands out turns on the targets of a service. The instance
// that owns a service keeps the exact tally of its work in flight in a State;
// every change of it is one pure step from a message to commands. The Owner
// task holds the State, and the Client asks the right owner on behalf of an
// entry.
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

// ConfigurationMsg replaces the service's targets.
type ConfigurationMsg struct {
	Service  hemlocktally.Service
	Out      map[hemlocktally.TargetName]bool
	Revision hemlocktally.Revision
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

// Command is a GrantCmd or a RefuseCmd.
type Command any
