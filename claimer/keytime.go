package claimer

import (
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
)

const uuidVersionWithTime = 7

// KeyTime returns the wall-clock time at which a key was made, and false if the key
// is neither a UUIDv7 nor a ULID.
func KeyTime(key string) (time.Time, bool) {
	if parsed, err := uuid.Parse(key); err == nil {
		if parsed.Version() != uuidVersionWithTime {
			return time.Time{}, false
		}
		seconds, nanoseconds := parsed.Time().UnixTime()
		return time.Unix(seconds, nanoseconds), true
	}
	parsed, err := ulid.ParseStrict(key)
	if err != nil {
		return time.Time{}, false
	}
	return ulid.Time(parsed.Time()), true
}
