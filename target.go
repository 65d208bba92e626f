package hemlocktally

import "time"

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
