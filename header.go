package hemlocktally

// Headers that callers, instances and targets exchange. The entry instance drops
// a caller's values of the headers that instances set.
const (
	HeaderCall              = "Hemlocktally-Call"                // HeaderCall is the call's ID, in requests to targets and in responses. A target's refusal that does not repeat it is believed only as the first response on its connection.
	HeaderOutcome           = "Hemlocktally-Outcome"             // HeaderOutcome is the outcome, in responses to callers.
	HeaderDeadline          = "Hemlocktally-Deadline"            // HeaderDeadline is the time left until the deadline, in milliseconds.
	HeaderAttempt           = "Hemlocktally-Attempt"             // HeaderAttempt numbers the attempts of a call from 1.
	HeaderDepth             = "Hemlocktally-Depth"               // HeaderDepth counts the calls through the balancer that this one is nested in.
	HeaderTargetState       = "Hemlocktally-Target-State"        // HeaderTargetState is a target's state as it reports it.
	HeaderNotRun            = "Hemlocktally-Not-Run"             // HeaderNotRun is true if the target declares that it did not run the call.
	HeaderReplayed          = "Hemlocktally-Replayed"            // HeaderReplayed is true on the stored response of an earlier call.
	HeaderForwarded         = "Hemlocktally-Forwarded"           // HeaderForwarded is set on a call that another instance handed over, between instances only.
	HeaderForwardOutcome    = "Hemlocktally-Forward-Outcome"     // HeaderForwardOutcome is the outcome of a call that was handed over and refused, between instances only.
	HeaderForwardReason     = "Hemlocktally-Forward-Reason"      // HeaderForwardReason is the reason of that refusal.
	HeaderForwardRetryAfter = "Hemlocktally-Forward-Retry-After" // HeaderForwardRetryAfter is its time to come back, in microseconds.
	HeaderPrefix            = "Hemlocktally-"                    // HeaderPrefix is the prefix of all headers that the balancer defines.
	HeaderIdempotencyKey    = "Idempotency-Key"                  // HeaderIdempotencyKey is the caller's idempotency key of a non-idempotent call.
)
