package hemlocktally

import (
	"net/http"
	"time"
)

// MaxPace bounds the pace that a target may report. A larger one would distort the mean of
// all targets.
const MaxPace = 100

// Load is a target's report of its own load. Running, Waiting and Slots count
// requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long requests take now, as a multiple of the usual time; zero
	// means that the target did not report it.
	Pace float64
}

// AttemptInfo is the information about an attempt that an instance sends to a
// target.
type AttemptInfo struct {
	Call     CallID
	Number   int           // Number counts the attempts of a call from 1.
	Depth    int           // Depth counts the calls through the balancer that this one is nested in.
	TimeLeft time.Duration // TimeLeft is the time until the call's deadline.
	Target   TargetName
	Address  string // Address is the caller's IP:port.
	// KeysRequired is set if the configuration declares customers. The target is then told
	// Customer, which is empty for a call of no customer.
	KeysRequired bool
	Customer     CustomerName
}

// ResponseInfo is the information in a response about its call and its target.
type ResponseInfo struct {
	Call        CallID     // Call is the call that the response belongs to; empty if not given.
	Target      TargetName // Target is the target that responded; empty if not given.
	NotRun      bool       // NotRun is set if the target declares that it did not run the call.
	Misdirected bool       // Misdirected is set if another target than the requested one responded.
	Cold        bool
	ColdFor     time.Duration
	Draining    bool
	Leaving     bool          // Leaving is set if the target announces that it is leaving for good.
	RetryAfter  time.Duration // RetryAfter is how long the target wants no requests from this instance; zero if not given.
	Load        *Load         // Load is nil if the response reports none.
	Unreadable  []string      // Unreadable names the headers whose values could not be read or exceed their bound.
	Limit       *RateLimit    // Limit is nil if the response does not say whether the target has a limit. Its time is not set.
}

// HeaderCodec reads and writes the HTTP headers that callers, instances and targets
// exchange. An implementation translates only; it makes no decisions.
type HeaderCodec interface {
	// CallID returns the caller's ID of its request, or "" if it has none.
	CallID(header http.Header) CallID
	// TimeLeft returns how long the caller will wait; ok is false if the header does
	// not say. It returns an error if the value is malformed.
	TimeLeft(header http.Header) (left time.Duration, ok bool, err error)
	// WriteAttempt sets the headers of an attempt, replacing those of the caller.
	WriteAttempt(header http.Header, attempt AttemptInfo)
	// ReadResponse reads the headers of a target's response.
	ReadResponse(status int, header http.Header) ResponseInfo
	// WriteResponse sets the instance's own headers, replacing those of the target.
	WriteResponse(header http.Header, call CallID)
	// WriteRefusal sets the headers of a refusal and returns its HTTP status.
	WriteRefusal(header http.Header, refused *RefusedError, call CallID) int
	// AllowsCloseDelimited reports whether the end of a response may be marked only
	// by the close of its connection.
	AllowsCloseDelimited() bool
}
