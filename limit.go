package hemlocktally

import (
	"strconv"
	"time"
)

// MaxRate bounds the numbers of calls per second that targets and operators name.
const MaxRate = 1e9

// RateLimit is what a response of a target says about how many requests a second
// the target takes from all instances together.
type RateLimit struct {
	// PerSecond is the limit. It may have a fraction, and is used only if Named is
	// set.
	PerSecond float64
	// Named is set if the response names a limit. A response that names none lifts
	// the limit of earlier ones.
	Named bool
	// At is when the response was received. Of two responses, the later one holds.
	At time.Time
}

// TargetLimit is a RateLimit with the incarnation of the target that it is about.
type TargetLimit struct {
	Target  TargetName
	Started int64 // Started is as in Target.
	Limit   RateLimit
}

// String returns the limit for logs, such as 2.5/s, or none.
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s"
}

// Same reports whether both responses say the same, regardless of their times.
func (l RateLimit) Same(other RateLimit) bool {
	return l.Named == other.Named && (!l.Named || l.PerSecond == other.PerSecond)
}
