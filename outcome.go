package hemlocktally

import "time"

// Outcome is the final outcome of a call, as far as the balancer knows it.
type Outcome string

// The outcomes of a call.
const (
	OutcomeDone    Outcome = "Done"    // OutcomeDone means that a target gave a complete response.
	OutcomeNotRun  Outcome = "NotRun"  // OutcomeNotRun means that the call certainly did not run.
	OutcomeUnknown Outcome = "Unknown" // OutcomeUnknown means that the call may have run.
)

// Reason is the reason why a call was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonNoContract      Reason = "NoContract"
	ReasonBadRequest      Reason = "BadRequest"
	ReasonTooLarge        Reason = "TooLarge"
	ReasonUnauthorized    Reason = "Unauthorized"
	ReasonQuota           Reason = "Quota"
	ReasonDeadline        Reason = "Deadline"
	ReasonQueueFull       Reason = "QueueFull"
	ReasonShed            Reason = "Shed"
	ReasonOverloaded      Reason = "Overloaded"
	ReasonNoTarget        Reason = "NoTarget"
	ReasonTargetLimit     Reason = "TargetLimit"
	ReasonTargetFailed    Reason = "TargetFailed"
	ReasonAnswerBroken    Reason = "AnswerBroken"
	ReasonLeaving         Reason = "Leaving"
	ReasonStarting        Reason = "Starting"
	ReasonClaimHeld       Reason = "ClaimHeld"
	ReasonClaimUnknown    Reason = "ClaimUnknown"
	ReasonClaimDiffers    Reason = "ClaimDiffers"
	ReasonClaimNoLease    Reason = "ClaimNoLease"
	ReasonRetryBudget     Reason = "RetryBudget"
	ReasonDepth           Reason = "Depth"
	ReasonIsolated        Reason = "Isolated"
	ReasonQuarantined     Reason = "Quarantined"
	ReasonCallerCancelled Reason = "CallerCancelled"
)

// Refusal is the body of every error response.
type Refusal struct {
	Outcome  Outcome
	Reason   Reason
	Detail   string
	Instance InstanceID
	Revision Revision
}

// CallRecord is an instance's record of one call, kept to explain it to operators.
type CallRecord struct {
	Call     CallID
	Caller   CallerName
	Tenant   string
	Customer CustomerName // Customer is empty if the call is no customer's.
	Late     bool         // Late is set if the response came after the contract's objective.
	Contract ContractName
	Service  ServiceName
	Method   string
	Path     string
	Started  time.Time
	Total    time.Duration
	Queue    time.Duration // Queue is the wait at the owner.
	Granting time.Duration // Granting is the total time spent on getting grants, including Queue.
	Serving  time.Duration // Serving is the time that the winning attempt spent at its target.
	Status   int
	Outcome  Outcome
	Reason   Reason
	Detail   string
	Revision Revision
	Attempts []AttemptRecord
}

// AttemptRecord is one attempt of a call.
type AttemptRecord struct {
	Kind     AttemptKind
	Grant    GrantID
	Owner    InstanceID
	Target   TargetName
	Zone     ZoneName
	Alone    bool
	Cold     bool
	Started  time.Duration // Started is relative to the start of the call.
	Took     time.Duration
	Waited   time.Duration
	Peer     InstanceID // Peer is the instance that the call was handed over to; empty if it was not.
	HeldBy   string     // HeldBy describes the limits of targets that held the attempt back.
	Outcome  AttemptOutcome
	NewLink  bool
	BytesOut bool // BytesOut is set if any byte may have reached the target.
	Detail   string
}

// Overhead returns the time that the balancer added to the call.
func (c CallRecord) Overhead() time.Duration {
	return max(0, c.Total-c.Queue-c.Serving)
}

// Recorder keeps the records of calls for operators.
type Recorder interface {
	Record(record CallRecord)
}
