package experimenter

import (
	"math/rand/v2"
	"time"
)

// Class is one kind of calls of the bench.
type Class int

// The classes of calls.
const (
	ClassHigh   Class = iota // ClassHigh reads with high priority.
	ClassNormal              // ClassNormal reads with normal priority.
	ClassWrite               // ClassWrite is non-idempotent.
	classCount
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"High", "Normal", "Write"}[c]
}

// Arrival is one call of the schedule.
type Arrival struct {
	At       time.Duration // At counts from the start of the load.
	Class    Class
	Instance int
}

// Arrivals returns the schedule of a scenario: the same for each policy.
func (s Scenario) Arrivals(seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 11))
	rate := s.rate()
	var list []Arrival
	for at := time.Duration(0); ; {
		now := rate
		if s.BurstEvery > 0 && at%s.BurstEvery < s.BurstFor {
			now *= s.BurstFactor
		}
		at += time.Duration(random.ExpFloat64() / now * float64(time.Second))
		if at >= s.For {
			return list
		}
		list = append(list, Arrival{At: at, Class: s.class(random.Float64()), Instance: random.IntN(s.Instances)})
	}
}

func (s Scenario) class(draw float64) Class {
	switch {
	case draw < s.HighShare:
		return ClassHigh
	case draw < s.HighShare+s.WriteShare:
		return ClassWrite
	default:
		return ClassNormal
	}
}
