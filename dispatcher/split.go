package dispatcher

import (
	"math/rand/v2"
	"slices"
	"sync"

	"hemlocktally"
)

// splits spreads the calls of contracts over their services. Its zero value
// works.
type splits struct {
	mu     sync.Mutex
	shares map[hemlocktally.ContractName]*split
}

// split is the smooth weighted round robin of one contract: after any number of
// calls each service has its share to within one call.
type split struct {
	parts  []hemlocktally.ServiceShare
	credit []float64
}

// next returns the service of the contract's next call.
func (s *splits) next(contract hemlocktally.Contract) hemlocktally.ServiceName {
	if len(contract.Split) == 0 {
		return contract.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.shares[contract.Name]
	if current == nil || !slices.Equal(current.parts, contract.Split) {
		current = newSplit(contract.Split)
		if s.shares == nil {
			s.shares = map[hemlocktally.ContractName]*split{}
		}
		s.shares[contract.Name] = current
	}
	return current.next()
}

// newSplit starts at a random point, so that instances don't go in step.
func newSplit(parts []hemlocktally.ServiceShare) *split {
	s := &split{parts: slices.Clone(parts), credit: make([]float64, len(parts))}
	for range rand.IntN(100) {
		s.next()
	}
	return s
}

func (s *split) next() hemlocktally.ServiceName {
	total, best := 0.0, 0
	for i, part := range s.parts {
		s.credit[i] += part.Weight
		total += part.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
}
