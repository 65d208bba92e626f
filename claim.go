package hemlocktally

import (
	"context"
	"net/http"
	"time"
)

// ClaimVerdict is the decision about a call by the instance that holds the range
// of its key.
type ClaimVerdict string

// The verdicts.
const (
	ClaimRun     ClaimVerdict = "Run"     // ClaimRun allows the call to run once, before the claim's fence.
	ClaimDone    ClaimVerdict = "Done"    // ClaimDone means that an earlier call is done; its stored response is returned.
	ClaimRunning ClaimVerdict = "Running" // ClaimRunning means that an earlier call is still running.
	ClaimUnknown ClaimVerdict = "Unknown" // ClaimUnknown means that the call may have run.
	ClaimDiffers ClaimVerdict = "Differs" // ClaimDiffers means that the key was used for a request with another digest.
	ClaimRefused ClaimVerdict = "Refused" // ClaimRefused means that the call did not run and can't run now.
)

// ClaimRequest asks for permission to run a non-idempotent call under the
// caller's idempotency key.
type ClaimRequest struct {
	Call     CallID
	Caller   CallerName
	Contract ContractName
	Key      string
	Digest   []byte // Digest is computed over method, path and body.
	Deadline time.Time
}

// StoredResponse is a complete response of a target, stored for retries of its call.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the reply of a key's holder to a ClaimRequest.
type Claim struct {
	Request  ClaimRequest
	Verdict  ClaimVerdict
	Detail   string
	Epoch    uint64
	Fence    time.Time // Fence is the time by which the call must have ended.
	Holder   InstanceID
	Response *StoredResponse
	// RetryAfter is how long to wait before a refused call is retried under the
	// same key; zero means no advice.
	RetryAfter time.Duration
}

// ClaimResult reports to the holder the outcome of a call that it allowed to run.
type ClaimResult struct {
	Claim    Claim
	Outcome  Outcome
	Response *StoredResponse
}

// Claimer makes each non-idempotent call with an idempotency key run at most
// once. Begin is called once for each CallID: when it refuses, the message that
// the call will never run may still be on its way to the holder.
type Claimer interface {
	Begin(ctx context.Context, request ClaimRequest) (Claim, error)
	Finish(ctx context.Context, result ClaimResult) error
}

// LeaseHolder returns the store lease that the instance holds now. The end is a
// monotonic time, counted from before the last renewal was sent and reduced by
// the clock margin, so that the lease expires for its holder before it expires in
// the store. A lost lease is never regained; a new one has a new ID.
type LeaseHolder interface {
	Lease() (id string, end time.Time, ok bool)
}
