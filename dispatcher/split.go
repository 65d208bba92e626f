package dispatcher

import (
	"math/rand/v2"
	"slices"
	"sync"

	"hemlocktally"
)

// trafficSplitter distributes the calls of contracts over their services by
// weight. Its zero value is ready to use; it is safe for concurrent use.
type trafficSplitter struct {
	mu        sync.Mutex
	contracts map[hemlocktally.ContractName]*weightedRoundRobin
}

// weightedRoundRobin is the smooth weighted round robin of one contract: after any
// number of calls each service has its share to within one call.
type weightedRoundRobin struct {
	shares        []hemlocktally.ServiceShare
	currentWeight []float64
}

// next returns the service of the contract's next call.
func (s *trafficSplitter) next(contract hemlocktally.Contract) hemlocktally.ServiceName {
	if len(contract.Split) == 0 {
		return contract.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.contracts[contract.Name]
	if current == nil || !slices.Equal(current.shares, contract.Split) {
		current = newWeightedRoundRobin(contract.Split)
		if s.contracts == nil {
			s.contracts = map[hemlocktally.ContractName]*weightedRoundRobin{}
		}
		s.contracts[contract.Name] = current
	}
	return current.next()
}

// newWeightedRoundRobin starts at a random point of the sequence, so that
// instances don't send their calls to the same service at the same time.
func newWeightedRoundRobin(shares []hemlocktally.ServiceShare) *weightedRoundRobin {
	s := &weightedRoundRobin{shares: slices.Clone(shares), currentWeight: make([]float64, len(shares))}
	for range rand.IntN(100) {
		s.next()
	}
	return s
}

func (s *weightedRoundRobin) next() hemlocktally.ServiceName {
	total, best := 0.0, 0
	for i, part := range s.shares {
		s.currentWeight[i] += part.Weight
		total += part.Weight
		if s.currentWeight[i] > s.currentWeight[best] {
			best = i
		}
	}
	s.currentWeight[best] -= total
	return s.shares[best].Service
}
