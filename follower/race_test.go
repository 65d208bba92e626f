//go:build race

package follower_test

// maxFleetSize is the largest fleet of a test. The race detector fails an internal check
// (tsan_rtl.cpp:346) in some runs with 100 followers and in most with 300.
const maxFleetSize = 16
