package hemlocktally

import (
	"fmt"
	"time"
)

// StopState is the part of its life that a provisional stop is in.
type StopState string

// The states of a provisional stop. Accepted and Dropped are final.
const (
	StopActive   StopState = "Active"
	StopAccepted StopState = "Accepted"
	StopDropped  StopState = "Dropped"
)

// ProvisionalStop takes something out of service while the store is down. It
// spreads between instances, never puts anything back, and is settled by the
// store afterwards: it becomes an accepted change with the same ID, or is
// dropped.
type ProvisionalStop struct {
	ID       string // ID is the ID of the change that the stop is to become.
	Author   string
	MadeAt   time.Time
	Base     Revision // Base is the revision that was in force where it was made.
	Commands []Command
	State    StopState
	Detail   string `json:",omitempty"` // Detail says why it was dropped.
}

// Stopped says which of the two an operator got: an accepted change, or a stop
// that is only provisional. Exactly one field is set.
type Stopped struct {
	Accepted    *Accepted        `json:",omitempty"`
	Provisional *ProvisionalStop `json:",omitempty"`
}

// UnknownChangeError says that a change may or may not have been accepted.
// Offering it again with the same ID tells which, and never applies it twice.
type UnknownChangeError struct {
	ChangeID string
	Cause    error
}

// Error names the change and the cause.
func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("change %s: unknown whether it was accepted, offer it again with the same ID: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownChangeError) Unwrap() error { return e.Cause }

// InstanceInForce is the revision that one instance acts on.
type InstanceInForce struct {
	ID       InstanceID
	Zone     ZoneName
	State    InstanceState
	Revision Revision
}

// InForce says which revision each instance acts on.
type InForce struct {
	Revision  Revision // Revision is the newest that this instance knows.
	Instances []InstanceInForce
}

// LaggingError names the instances that did not have a revision in force yet.
type LaggingError struct {
	Revision Revision
	Missing  []InstanceID
	Cause    error
}

// Error names the revision and the instances.
func (e *LaggingError) Error() string {
	return fmt.Sprintf("revision %d is not known to be in force on %v: %v", e.Revision, e.Missing, e.Cause)
}

// Unwrap returns the cause.
func (e *LaggingError) Unwrap() error { return e.Cause }
