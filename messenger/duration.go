package messenger

import "time"

// maxDuration bounds the durations that another instance sends, in both directions, so that
// sums of a few of them don't overflow.
const maxDuration = 24 * time.Hour

// Duration converts microseconds of a message to a duration.
func Duration(microseconds int64) time.Duration {
	const bound = int64(maxDuration / time.Microsecond)
	return time.Duration(max(-bound, min(bound, microseconds))) * time.Microsecond
}
