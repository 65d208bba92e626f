package hemlocktally

import (
	"fmt"
	"time"
)

// StopState is the state of a provisional stop.
type StopState string

// The states of a provisional stop. Accepted and Dropped are final.
const (
	StopActive   StopState = "Active"
	StopAccepted StopState = "Accepted"
	StopDropped  StopState = "Dropped"
)

// ProvisionalStop takes something out of service while the store is down.
// Instances pass it on to one another. It never puts anything back into service.
// Once the store is back, it becomes an accepted change with the same ID or is
// dropped.
type ProvisionalStop struct {
	ID       string // ID is the ID of the change that the stop is meant to become.
	Author   string
	MadeAt   time.Time
	Base     Revision // Base is the revision in effect at the instance that created the stop.
	Commands []Command
	State    StopState
	Detail   string `json:",omitempty"` // Detail is the reason why it was dropped.
}

// StopResult is the result of an operator's stop: an accepted change, or a stop that
// is only provisional. Exactly one field is set.
type StopResult struct {
	Accepted    *AcceptedChange  `json:",omitempty"`
	Provisional *ProvisionalStop `json:",omitempty"`
}

// UnknownChangeError reports that it is unknown whether a change was accepted.
// Submitting it again with the same ID tells whether it was, and never applies it
// twice.
type UnknownChangeError struct {
	ChangeID string
	Cause    error
}

// Error returns a message with the change and the cause.
func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("change %s: unknown whether it was accepted, submit it again with the same ID: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownChangeError) Unwrap() error { return e.Cause }

// InstanceRevision is the revision that one instance applies.
type InstanceRevision struct {
	ID       InstanceID
	Zone     ZoneName
	State    InstanceState
	Revision Revision
}

// RolloutStatus lists which revision each instance applies.
type RolloutStatus struct {
	Revision  Revision // Revision is the newest one that this instance knows.
	Instances []InstanceRevision
}

// LaggingError reports the instances that are not known to apply a revision yet.
type LaggingError struct {
	Revision Revision
	Missing  []InstanceID
	Cause    error
}

// Error returns a message with the revision and the instances.
func (e *LaggingError) Error() string {
	return fmt.Sprintf("revision %d is not known to be in effect on %v: %v", e.Revision, e.Missing, e.Cause)
}

// Unwrap returns the cause.
func (e *LaggingError) Unwrap() error { return e.Cause }
