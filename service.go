package hemlocktally

import "time"

// ServiceName identifies a service.
type ServiceName string

// Service is a set of targets that serve the same requests.
type Service struct {
	Name    ServiceName
	Targets []Target
	// ProbesPerSecond limits the probes of the whole fleet; zero means
	// DefaultProbesPerSecond.
	ProbesPerSecond float64
	// ProbePath is the path of the request that probes a target.
	ProbePath string
	// MaxConnections limits the fleet's connections to each target that declares no
	// limit itself; zero means DefaultMaxConnections.
	MaxConnections int
	ColdStart      time.Duration // ColdStart is how long a target is cold after its start.
	ColdPerSecond  float64       // ColdPerSecond is how many calls per second a cold target can take; zero means one at a time.
}

// DefaultProbesPerSecond is the probe budget of a service that declares none.
const DefaultProbesPerSecond = 5.0

// ProbeBudget returns the probes per second with the default applied.
func (s Service) ProbeBudget() float64 {
	if s.ProbesPerSecond <= 0 {
		return DefaultProbesPerSecond
	}
	return s.ProbesPerSecond
}
