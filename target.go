package hemlocktally

import (
	"context"
	"time"
)

// TargetName names a target within its service.
type TargetName string

// TargetState is how much work a target can bear.
type TargetState string

// The states of a target.
const (
	TargetCold     TargetState = "Cold"     // TargetCold carries only a little.
	TargetWarm     TargetState = "Warm"     // TargetWarm carries its full load.
	TargetDraining TargetState = "Draining" // TargetDraining gets no new work.
	TargetGone     TargetState = "Gone"     // TargetGone has left.
)

// Target is one upstream process of a service.
type Target struct {
	Name           TargetName
	Address        string // Address is IP:port.
	Zone           ZoneName
	Slots          int  // Slots is how many calls it runs at once; zero means DefaultSlots.
	MaxConnections int  // MaxConnections bounds the fleet's links; zero means DefaultMaxConnections.
	Out            bool // Out is set while operators have the target out of service.
	// Started tells its incarnations apart: the Unix time of its start in
	// milliseconds, or 0 where that is not known.
	Started int64
}

// Defaults for targets that declare nothing.
const (
	DefaultSlots          = 2
	DefaultMaxConnections = 220
)

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

// TargetStatus is what an owner knows of one target, for operators.
type TargetStatus struct {
	Service  ServiceName
	Target   TargetName
	Zone     ZoneName
	Owner    InstanceID
	State    TargetState
	Reason   string // Reason says why it is in that state or gets little.
	InFlight int
	Cap      int           // Cap is how many calls it may have now.
	Latency  time.Duration // Latency is its moving median.
	Served   uint64        // Served counts the grants that ended at this owner.
}

// BudgetStatus is what an owner has spent on one service, for operators.
type BudgetStatus struct {
	Service         ServiceName
	Owner           InstanceID
	ProbesPerSecond float64 // ProbesPerSecond is the measuring budget of the whole fleet.
	Probes          uint64
	ProbesRefused   uint64 // ProbesRefused counts measurements that the budget did not allow.
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

// Measurement is what a probe of a target found.
type Measurement struct {
	Latency  time.Duration
	Failed   bool
	State    TargetState // State is the target's own word; it may be empty.
	InFlight int         // InFlight is what the target reports of its load.
	Reported bool        // Reported is set where the answer was a load report.
}

// Measurer probes targets.
type Measurer interface {
	Measure(ctx context.Context, target Target, path string) Measurement
}
