package hemlocktally

import (
	"context"
	"time"
)

// CallID names one caller's request; it travels in a header.
type CallID string

// GrantID names one turn on a target.
type GrantID string

// AttemptKind says why an attempt is made.
type AttemptKind int32

// The kinds of attempts.
const (
	AttemptFirst AttemptKind = iota
	AttemptRetry
	AttemptHedge
)

// AttemptOutcome is what came of one attempt.
type AttemptOutcome int32

// The outcomes of an attempt.
const (
	AttemptDone      AttemptOutcome = iota // AttemptDone ended with a whole answer.
	AttemptUnused                          // AttemptUnused never sent a byte.
	AttemptRefused                         // AttemptRefused was turned away by the target as not run.
	AttemptFailed                          // AttemptFailed broke off or ended with a server error.
	AttemptTimedOut                        // AttemptTimedOut passed its deadline.
	AttemptCancelled                       // AttemptCancelled lost to another attempt or was given up by the caller.
)

// GrantRequest asks for one turn on a target.
type GrantRequest struct {
	Call       CallID
	Service    ServiceName
	Contract   ContractName
	Priority   Priority
	Kind       AttemptKind
	Deadline   time.Time
	QueueLimit time.Duration
	Exclude    []TargetName // Exclude lists targets that the call has tried.
	// Objective is until when an answer is prompt; zero means the deadline.
	Objective     time.Time
	NonIdempotent bool
}

// Grant is a turn on one target.
type Grant struct {
	ID       GrantID
	Service  ServiceName
	Target   Target
	Owner    InstanceID
	Revision Revision
	Deadline time.Time
	LeaseEnd time.Time // LeaseEnd is when the grant lapses unused; zero means never.
	Waited   time.Duration
	Cold     bool
	Alone    bool // Alone is set where the entry decided without the owner.
}

// GrantResult gives a turn back.
type GrantResult struct {
	Grant        Grant
	Contract     ContractName
	Outcome      AttemptOutcome
	Latency      time.Duration
	SaidCold     bool // SaidCold is set where the target's answer said that it is cold.
	SaidDraining bool // SaidDraining is set where the target's answer said that it drains.
	// StayAway is how long the target wants nothing of this instance.
	StayAway    time.Duration
	Elsewhere   bool  // Elsewhere is set where another target answered at the address.
	Load        *Load // Load is the report in the target's answer, or nil.
	Unreachable bool  // Unreachable is set where no link to the target could be had.
}

// Granter hands out turns on targets. Acquire returns a *RefusedError where no
// turn can be had in time. Every grant must be released once.
type Granter interface {
	Acquire(ctx context.Context, request GrantRequest) (Grant, error)
	Release(result GrantResult)
}
