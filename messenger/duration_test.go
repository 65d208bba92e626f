package messenger_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally/messenger"
)

// Guards against durations of another instance that overflow.
func TestDurationIsBounded(t *testing.T) {
	c := qt.New(t)
	for microseconds, expected := range map[int64]time.Duration{
		0: 0, 1500: 1500 * time.Microsecond, -20: -20 * time.Microsecond, math.MaxInt64: 24 * time.Hour, math.MinInt64: -24 * time.Hour,
	} {
		c.Check(messenger.Duration(microseconds), qt.Equals, expected)
	}
}
