package hemlocktally

import "time"

// InstanceID identifies one entry instance. A replacement has another ID or, if
// it reuses the address, another incarnation.
type InstanceID string

// InstanceState is the state of an instance's life cycle.
type InstanceState string

// The states of an instance. A Serving instance takes new calls. One that
// operators took Out, or that is Leaving, only finishes its open calls. A Suspect
// one is silent to several others and may be paused, partitioned or gone.
const (
	InstanceStarting InstanceState = "Starting"
	InstanceServing  InstanceState = "Serving"
	InstanceOut      InstanceState = "Out"
	InstanceLeaving  InstanceState = "Leaving"
	InstanceSuspect  InstanceState = "Suspect"
	InstanceGone     InstanceState = "Gone"
)

// Instance is one process of the load balancer.
type Instance struct {
	ID              InstanceID
	Incarnation     string // Incarnation is a ULID, generated at each start.
	Zone            ZoneName
	CallerAddress   string // CallerAddress is IP:port for callers.
	PeerAddress     string // PeerAddress is IP:port for other instances.
	OperatorAddress string // OperatorAddress is IP:port for operators.
	State           InstanceState
	Revision        Revision  // Revision is the configuration that the instance applies.
	HeardAt         time.Time // HeardAt is the local time at which it was last heard from.
	Weight          float64   // Weight is its share of a CPU core, in proportion to which it gets services; zero means one.
}

// View is what one instance knows of the fleet. Members are ordered by ID.
type View struct {
	Revision uint64
	Members  []Instance
	Frozen   bool // Frozen is set while the store does not respond.
	// Instances is the number of instances if Members does not list all of them;
	// zero means that it does.
	Instances int
}

// Find returns the member with the given ID.
func (v View) Find(id InstanceID) (Instance, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Instance{}, false
}

// Serving returns the members that take new calls.
func (v View) Serving() []Instance {
	var serving []Instance
	for _, m := range v.Members {
		if m.State == InstanceServing {
			serving = append(serving, m)
		}
	}
	return serving
}

// ViewSource returns the current view of the fleet.
type ViewSource interface {
	View() View
}
