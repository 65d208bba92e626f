package hemlocktally

import "time"

// Clock returns the current time. Tests replace it by a fixed value.
type Clock interface {
	Now() time.Time
}

// SystemClock is the system clock; its times carry a monotonic reading, valid
// within one process.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
