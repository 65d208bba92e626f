package hemlocktally

// Headers that callers, instances and targets exchange. A caller's own values
// of the headers that instances write are dropped at the entry.
const (
	HeaderCall           = "Hemlocktally-Call"         // HeaderCall is the call's ID, in requests to targets and in answers.
	HeaderOutcome        = "Hemlocktally-Outcome"      // HeaderOutcome is the outcome, in answers to callers.
	HeaderDeadline       = "Hemlocktally-Deadline"     // HeaderDeadline is the time left in milliseconds.
	HeaderAttempt        = "Hemlocktally-Attempt"      // HeaderAttempt numbers the attempts of a call from 1.
	HeaderDepth          = "Hemlocktally-Depth"        // HeaderDepth counts the balanced calls above this one.
	HeaderTargetState    = "Hemlocktally-Target-State" // HeaderTargetState is a target's own word on its state.
	HeaderNotRun         = "Hemlocktally-Not-Run"      // HeaderNotRun is true where a target says that it ran nothing.
	HeaderReplayed       = "Hemlocktally-Replayed"     // HeaderReplayed is true on the kept answer of an earlier call.
	HeaderPrefix         = "Hemlocktally-"             // HeaderPrefix begins all headers of the balancer's own.
	HeaderIdempotencyKey = "Idempotency-Key"           // HeaderIdempotencyKey is the caller's key of a non-idempotent call.
)
