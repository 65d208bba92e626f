package hemlocktally

import "time"

// Clock tells the time. Its zero replacement in tests is a fixed value.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine, monotonic within a process.
type SystemClock struct{}

// Now returns the time now.
func (SystemClock) Now() time.Time { return time.Now() }
