package hemlocktally

import (
	"context"
	"time"
)

// TargetName identifies a target within its service.
type TargetName string

// TargetState tells how much load a target can take.
type TargetState string

// The states of a target.
const (
	TargetCold     TargetState = "Cold"     // TargetCold can take only a little load.
	TargetWarm     TargetState = "Warm"     // TargetWarm can take its full load.
	TargetDraining TargetState = "Draining" // TargetDraining gets no new calls.
	TargetGone     TargetState = "Gone"     // TargetGone has left.
)

// Target is one upstream process of a service.
type Target struct {
	Name           TargetName
	Address        string // Address is IP:port.
	Zone           ZoneName
	Slots          int  // Slots is how many calls it runs at once; zero means DefaultSlots.
	MaxConnections int  // MaxConnections limits the fleet's connections; zero means DefaultMaxConnections.
	Out            bool // Out is set while operators have taken the target out of service.
	// Started distinguishes its incarnations: the Unix time of its start in
	// milliseconds, or 0 if unknown.
	Started int64
	Version SoftwareVersion // Version is the version of its software; it may be empty.
}

// Defaults for targets that leave the field zero.
const (
	DefaultSlots          = 2
	DefaultMaxConnections = 220
)

// MaxSlots bounds the slots of a target: memory and time of a choice grow with them.
const MaxSlots = 1 << 14

// SlotCount returns the slots with the default applied.
func (t Target) SlotCount() int {
	if t.Slots <= 0 {
		return DefaultSlots
	}
	return t.Slots
}

// ConnectionLimit returns the connection limit with the default applied.
func (t Target) ConnectionLimit() int {
	if t.MaxConnections <= 0 {
		return DefaultMaxConnections
	}
	return t.MaxConnections
}

// TargetStatus is an owner's knowledge of one target, for operators.
type TargetStatus struct {
	Service  ServiceName
	Target   TargetName
	Zone     ZoneName
	Owner    InstanceID
	State    TargetState
	Reason   string // Reason explains why it is in that state or gets few calls.
	InFlight int
	Cap      int           // Cap is how many calls it may have in flight now.
	Latency  time.Duration // Latency is its moving median.
	Served   uint64        // Served counts the grants that ended at this owner.
}

// BudgetStatus is how much of the budgets of one service an owner has spent, for
// operators.
type BudgetStatus struct {
	Service         ServiceName
	Owner           InstanceID
	ProbesPerSecond float64 // ProbesPerSecond is the probe budget of the whole fleet.
	Probes          uint64
	ProbesRefused   uint64 // ProbesRefused counts probes that the budget did not allow.
	Contracts       []ContractBudgetStatus
}

// ContractBudgetStatus counts the attempts of one contract at its owner.
type ContractBudgetStatus struct {
	Contract ContractName
	Calls    uint64
	Retries  uint64
	Hedges   uint64
	Refused  uint64 // Refused counts retries and hedges that the budget did not allow.
}

// ProbeResult is the result of one probe of a target.
type ProbeResult struct {
	Latency  time.Duration
	Failed   bool
	State    TargetState // State is the state that the target reports; it may be empty.
	InFlight int         // InFlight is the number of calls in flight that the target reports.
	Reported bool        // Reported is set if the response was a load report.
}

// Prober probes targets.
type Prober interface {
	Probe(ctx context.Context, target Target, path string) ProbeResult
}
