//go:build race

package follower_test

// raceDetector is set where the tests run under the race detector, which ends with
// a failed check of its own in runs of 300 followers that an outage keeps busy.
const raceDetector = true
