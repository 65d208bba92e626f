package hemlocktally

import (
	"context"
	"net/http"
	"time"
)

// ClaimVerdict is what the holder of a key's range says of a call.
type ClaimVerdict string

// The verdicts.
const (
	ClaimRun     ClaimVerdict = "Run"     // ClaimRun lets the call run once, before the fence.
	ClaimDone    ClaimVerdict = "Done"    // ClaimDone returns the kept answer of an earlier call.
	ClaimRunning ClaimVerdict = "Running" // ClaimRunning says that an earlier call is still running.
	ClaimUnknown ClaimVerdict = "Unknown" // ClaimUnknown says that the call may have run.
	ClaimDiffers ClaimVerdict = "Differs" // ClaimDiffers says that the key was used for another body.
	ClaimRefused ClaimVerdict = "Refused" // ClaimRefused says that the call did not run and can't now.
)

// ClaimRequest asks to run a non-idempotent call under a caller's key.
type ClaimRequest struct {
	Call     CallID
	Caller   CallerName
	Contract ContractName
	Key      string
	Digest   []byte // Digest covers method, path and body.
	Deadline time.Time
}

// KeptAnswer is a whole answer of a target, kept for retries of its call.
type KeptAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the holder's word on a key.
type Claim struct {
	Request ClaimRequest
	Verdict ClaimVerdict
	Detail  string
	Epoch   uint64
	Fence   time.Time // Fence is when the call must have ended at the latest.
	Holder  InstanceID
	Kept    *KeptAnswer
	// RetryAfter is when a refused call may come back under the same key; zero
	// means no advice.
	RetryAfter time.Duration
}

// ClaimResult tells the holder what came of a call that it let run.
type ClaimResult struct {
	Claim   Claim
	Outcome Outcome
	Kept    *KeptAnswer
}

// Claimer makes non-idempotent calls with a caller's key run at most once. Begin
// is called once for each CallID: where it refuses, the word that the call never
// runs may still be on its way to the holder.
type Claimer interface {
	Begin(ctx context.Context, request ClaimRequest) (Claim, error)
	Finish(ctx context.Context, result ClaimResult) error
}

// Leaser tells which lease of the store the instance holds now. The end is
// monotonic, counts from before the last renewal was sent and has the clock
// margin taken off, so that the lease is over for its holder before it is over
// for the store. A lease that is lost never comes back; a new one has a new ID.
type Leaser interface {
	Lease() (id string, end time.Time, ok bool)
}
