//go:build !race

package follower_test

// maxFleetSize is the largest fleet of a test; without the race detector there is no limit
// in practice.
const maxFleetSize = 1000
