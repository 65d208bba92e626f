package hemlocktally

import "time"

// ServiceName names a service.
type ServiceName string

// Service is a set of targets that serve the same requests.
type Service struct {
	Name    ServiceName
	Targets []Target
	// ProbesPerSecond is the measuring budget over the whole fleet; zero means
	// DefaultProbesPerSecond.
	ProbesPerSecond float64
	// ProbePath is requested from a target to measure it.
	ProbePath string
	// MaxConnections bounds the fleet's links to each target that says nothing
	// itself; zero means DefaultMaxConnections.
	MaxConnections int
	ColdStart      time.Duration // ColdStart is how long a target is cold after its start.
	ColdPerSecond  float64       // ColdPerSecond is how many calls a second a cold target bears; zero means one at a time.
}

// DefaultProbesPerSecond is the measuring budget of a service without one.
const DefaultProbesPerSecond = 5.0

// ProbeBudget returns the measuring budget with the default applied.
func (s Service) ProbeBudget() float64 {
	if s.ProbesPerSecond <= 0 {
		return DefaultProbesPerSecond
	}
	return s.ProbesPerSecond
}
