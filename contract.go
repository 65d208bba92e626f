package hemlocktally

import (
	"slices"
	"strings"
	"time"
)

// ContractName identifies a contract.
type ContractName string

// Priority orders the work of one service; higher goes first.
type Priority int32

// The priorities. The zero value is PriorityNormal.
const (
	PriorityNormal Priority = 0
	PriorityHigh   Priority = 1
)

// String returns the name of the priority.
func (p Priority) String() string {
	if p >= PriorityHigh {
		return "High"
	}
	return "Normal"
}

// Match selects the requests that a contract covers. An empty field matches every
// request.
type Match struct {
	Host       string
	PathPrefix string
	Methods    []string
	Callers    []CallerName
}

// RequestAttributes holds the properties of a request that a Match compares.
type RequestAttributes struct {
	Host   string
	Path   string
	Method string
	Caller CallerName
}

// Covers reports whether the match covers the request.
func (m Match) Covers(line RequestAttributes) bool {
	if m.Host != "" && !strings.EqualFold(m.Host, line.Host) {
		return false
	}
	if !strings.HasPrefix(line.Path, m.PathPrefix) {
		return false
	}
	if len(m.Methods) > 0 && !slices.Contains(m.Methods, line.Method) {
		return false
	}
	return len(m.Callers) == 0 || slices.Contains(m.Callers, line.Caller)
}

// Contract declares how the requests that match it are served.
type Contract struct {
	Name          ContractName
	Service       ServiceName
	Match         Match
	Priority      Priority
	NonIdempotent bool          // NonIdempotent calls run at most once.
	Deadline      time.Duration // Deadline of a call; zero means DefaultDeadline.
	QueueLimit    time.Duration // QueueLimit limits the wait for a target; zero means half the deadline.
	Hedge         bool          // Hedge allows a second attempt for a slow idempotent call.
	HedgeBudget   float64       // HedgeBudget is the share of calls that may be hedged; zero means DefaultHedgeBudget.
	RetryBudget   float64       // RetryBudget is the share of calls that may be retried; zero means DefaultRetryBudget.
	Objective     time.Duration // Objective is the response time to aim for, from the start of the call; zero means the deadline.
	MaxAttempts   int           // MaxAttempts limits how many targets one call may be sent to; zero means DefaultMaxAttempts.
	// Public contracts need no customer's key.
	Public bool `json:",omitempty"`
	// LargeResponses is set if the responses are so large that their transfer matters.
	LargeResponses bool `json:",omitempty"`
	// Split distributes the calls over several services in proportion to their
	// weights; empty means that all go to Service.
	Split []ServiceShare
}

// ServiceShare is one service's share of a contract's calls.
type ServiceShare struct {
	Service ServiceName
	Weight  float64
}

// Defaults for contracts that leave a field zero.
const (
	DefaultMaxAttempts = 3
	DefaultDeadline    = 2 * time.Second
	DefaultHedgeBudget = 0.05
	DefaultRetryBudget = 0.10
)

// CallDeadline returns the deadline with the default applied.
func (c Contract) CallDeadline() time.Duration {
	if c.Deadline <= 0 {
		return DefaultDeadline
	}
	return c.Deadline
}

// EffectiveQueueLimit returns the queue limit, or half the deadline if none is declared.
func (c Contract) EffectiveQueueLimit() time.Duration {
	if c.QueueLimit <= 0 {
		return c.CallDeadline() / 2
	}
	return c.QueueLimit
}

// HedgeShare returns the hedge budget with the default applied.
func (c Contract) HedgeShare() float64 {
	if c.HedgeBudget <= 0 {
		return DefaultHedgeBudget
	}
	return c.HedgeBudget
}

// RetryShare returns the retry budget with the default applied.
func (c Contract) RetryShare() float64 {
	if c.RetryBudget <= 0 {
		return DefaultRetryBudget
	}
	return c.RetryBudget
}

// AttemptLimit returns the limit on attempts with the default applied.
func (c Contract) AttemptLimit() int {
	if c.MaxAttempts <= 0 {
		return DefaultMaxAttempts
	}
	return c.MaxAttempts
}

// EffectiveObjective returns the objective with the default applied.
func (c Contract) EffectiveObjective() time.Duration {
	if c.Objective <= 0 {
		return c.CallDeadline()
	}
	return c.Objective
}
