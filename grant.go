package hemlocktally

import (
	"context"
	"time"
)

// CallID identifies one request of a caller; it is sent in a header.
type CallID string

// GrantID identifies one grant.
type GrantID string

// AttemptKind is the reason why an attempt is made.
type AttemptKind int32

// The kinds of attempts.
const (
	AttemptFirst AttemptKind = iota
	AttemptRetry
	AttemptHedge
)

// AttemptOutcome is the outcome of one attempt.
type AttemptOutcome int32

// The outcomes of an attempt.
const (
	AttemptDone      AttemptOutcome = iota // AttemptDone ended with a complete response.
	AttemptUnused                          // AttemptUnused never sent a byte.
	AttemptRefused                         // AttemptRefused was rejected by the target, which did not run it.
	AttemptFailed                          // AttemptFailed was interrupted or ended with a server error.
	AttemptTimedOut                        // AttemptTimedOut exceeded its deadline.
	AttemptCancelled                       // AttemptCancelled lost to another attempt or was cancelled by the caller.
)

// GrantRequest asks for a grant to run one attempt on a target of a service.
type GrantRequest struct {
	Call       CallID
	Service    ServiceName
	Contract   ContractName
	Priority   Priority
	Kind       AttemptKind
	Deadline   time.Time
	QueueLimit time.Duration
	Exclude    []TargetName // Exclude lists the targets that the call has already tried.
	// Objective is the time by which a response should arrive; zero means the
	// deadline.
	Objective     time.Time
	NonIdempotent bool
	Late          bool         // Late is set if the call can't meet its objective any more, counted from its caller's first try.
	Customer      CustomerName // Customer is whose quota the call counts against; it may be empty.
	Counted       bool         // Counted is set if an earlier attempt of the call counts against the quota.
	// Trial is the fingerprint of a request that was held back and is tried once more; it is
	// zero for all others.
	Trial Fingerprint
}

// Grant is permission to run one attempt on one target.
type Grant struct {
	ID       GrantID
	Service  ServiceName
	Target   Target
	Owner    InstanceID
	Revision Revision
	Deadline time.Time
	LeaseEnd time.Time // LeaseEnd is when an unused grant expires; zero means never.
	Waited   time.Duration
	Cold     bool
	Alone    bool // Alone is set if the entry instance decided without the service's owner.
	// Limit is what the server that issued the grant knew of the target's limit. If
	// it names one, the grant is counted against it.
	Limit RateLimit
	// HeldBy describes the limits of targets that held the call back while it waited;
	// it is empty if none did.
	HeldBy string
}

// GrantResult releases a grant and reports how the attempt went.
type GrantResult struct {
	Grant        Grant
	Contract     ContractName
	Outcome      AttemptOutcome
	Latency      time.Duration
	ReportedCold bool // ReportedCold is set if the target reported that it is cold.
	// ColdFor is how much longer it is cold, as it reported; zero if not known.
	ColdFor          time.Duration
	ReportedDraining bool // ReportedDraining is set if the target reported that it is draining.
	// RetryAfter is how long the target wants no requests from this instance.
	RetryAfter  time.Duration
	Misdirected bool  // Misdirected is set if another target responded at the address.
	Load        *Load // Load is the report in the target's response, or nil.
	// Limit is what the target's response says about its limit, or nil if it says
	// nothing.
	Limit       *RateLimit
	Unreachable bool // Unreachable is set if no connection to the target was available.
	Counted     bool // Counted is set if another attempt relies on this one's count against the quota.
	// ResponseBytes is the size of the response's body; zero if it is not known.
	ResponseBytes int64
}

// Granter hands out grants. Acquire returns a *RefusedError if no grant is
// available in time. The caller must release every grant exactly once.
type Granter interface {
	Acquire(ctx context.Context, request GrantRequest) (Grant, error)
	Release(result GrantResult)
}
