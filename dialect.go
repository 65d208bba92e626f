package hemlocktally

import (
	"net/http"
	"time"
)

// Load is a target's own report of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there now, as a multiple of the usual time;
	// zero means that the target did not say.
	Pace float64
}

// AttemptHeader is what an instance tells a target about an attempt.
type AttemptHeader struct {
	Call    CallID
	Number  int // Number counts the attempts of a call from 1.
	Depth   int // Depth counts the balanced calls above this one.
	Left    time.Duration
	Target  TargetName
	Address string // Address is the caller's IP and port.
}

// AnswerHeader is what an answer says of its call and its target.
type AnswerHeader struct {
	Call      CallID     // Call is the call that the answer belongs to; empty where it does not say.
	Target    TargetName // Target is the one that answered; empty where it does not say.
	NotRun    bool       // NotRun is set where the target declares that it did not run the call.
	Elsewhere bool       // Elsewhere is set where another target than the wanted one answered.
	Cold      bool
	ColdFor   time.Duration
	Draining  bool
	Leaving   bool          // Leaving is set where the target says for good that it leaves.
	StayAway  time.Duration // StayAway is how long the target wants nothing of this instance; zero means that it does not say.
	Load      *Load         // Load is nil where the answer reports none.
}

// Dialect is the headers in which callers, instances and targets speak. An
// implementation translates and decides nothing.
type Dialect interface {
	// CallOf returns the caller's ID of its request, or nothing.
	CallOf(header http.Header) CallID
	// LeftOf returns how long the caller waits; ok is false where it does not say.
	LeftOf(header http.Header) (left time.Duration, ok bool, err error)
	// WriteAttempt writes the headers of an attempt over those of the caller.
	WriteAttempt(header http.Header, attempt AttemptHeader)
	// ReadAnswer reads the headers of a target's answer.
	ReadAnswer(status int, header http.Header) AnswerHeader
	// WriteAnswer writes the instance's own headers over those of the target.
	WriteAnswer(header http.Header, call CallID)
	// WriteRefusal writes the headers of a refusal and returns its status.
	WriteRefusal(header http.Header, refused *RefusedError, call CallID) int
	// EndsWithConnection reports whether an answer may have no other end than
	// that of its connection.
	EndsWithConnection() bool
}
