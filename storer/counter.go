package storer

import (
	"errors"
	"sort"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"hemlocktally"
)

// OperationCounter counts the calls of one operation.
type OperationCounter struct {
	Operation string
	Calls     uint64 // Calls is the number of calls sent.
	Failed    uint64 // Failed is the number of calls without a response or with an error of the service.
	Unknown   uint64 // Unknown is the number of failed writes that may have taken effect.
	NotSent   uint64 // NotSent is the number of calls stopped by the circuit breaker or the rate limit.
}

type callOutcome string

const (
	outcomeAnswered callOutcome = "Answered"
	outcomeFailed   callOutcome = "Failed"
	outcomeUnknown  callOutcome = "Unknown"
	outcomeNotSent  callOutcome = "Withheld"
)

func outcomeOf(err error) callOutcome {
	var failed *hemlocktally.StoreError
	switch {
	case !errors.As(err, &failed):
		return outcomeAnswered
	case failed.Unknown:
		return outcomeUnknown
	default:
		return outcomeFailed
	}
}

// counters counts calls by operation and outcome. The zero value is ready to use.
type counters struct {
	once     sync.Once
	registry metrics.Registry
}

func (c *counters) metrics() metrics.Registry {
	c.once.Do(func() { c.registry = metrics.NewRegistry() })
	return c.registry
}

func (c *counters) increment(operation string, outcome callOutcome) {
	metrics.GetOrRegisterCounter(operation+"."+string(outcome), c.metrics()).Inc(1)
}

func (c *counters) list() []OperationCounter {
	byOperation := map[string]*OperationCounter{}
	c.metrics().Each(func(name string, metric any) {
		counter, ok := metric.(metrics.Counter)
		if !ok {
			return
		}
		operation, outcome, _ := strings.Cut(name, ".")
		if byOperation[operation] == nil {
			byOperation[operation] = &OperationCounter{Operation: operation}
		}
		byOperation[operation].add(callOutcome(outcome), uint64(counter.Count()))
	})
	list := make([]OperationCounter, 0, len(byOperation))
	for _, counter := range byOperation {
		list = append(list, *counter)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Operation < list[j].Operation })
	return list
}

func (o *OperationCounter) add(outcome callOutcome, n uint64) {
	switch outcome {
	case outcomeNotSent:
		o.NotSent += n
		return
	case outcomeFailed:
		o.Failed += n
	case outcomeUnknown:
		o.Failed += n
		o.Unknown += n
	}
	o.Calls += n
}
