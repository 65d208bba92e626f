package hemlocktally

import "time"

// InstanceID names one entry instance. A replacement has another ID or, where
// an address is used again, another incarnation.
type InstanceID string

// InstanceState is the part of its life that an instance is in.
type InstanceState string

// The states of an instance. A Serving instance takes new calls; one that
// operators took Out, or that is Leaving, only finishes the calls that it has. A
// Suspect one is silent to several others and may be paused, cut off or gone.
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
	Incarnation     string // Incarnation is a ULID, made anew at each start.
	Zone            ZoneName
	CallerAddress   string // CallerAddress is IP:port for callers.
	PeerAddress     string // PeerAddress is IP:port for other instances.
	OperatorAddress string // OperatorAddress is IP:port for operators.
	State           InstanceState
	Revision        Revision  // Revision is the configuration in force there.
	HeardAt         time.Time // HeardAt is the local time of its last sign of life.
	Weight          float64   // Weight is its part of a core, by which services are dealt; zero means one.
}

// View is what one instance knows of the fleet. Members are ordered by ID.
type View struct {
	Revision uint64
	Members  []Instance
	Frozen   bool // Frozen is set while the store does not answer.
	// Instances is how many instances there are, where Members does not list all
	// of them; zero means that it does.
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

// Serving returns the members that take new work.
func (v View) Serving() []Instance {
	var serving []Instance
	for _, m := range v.Members {
		if m.State == InstanceServing {
			serving = append(serving, m)
		}
	}
	return serving
}

// Viewer gives the present view of the fleet.
type Viewer interface {
	View() View
}
