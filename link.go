package hemlocktally

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// ConnRequest asks for a connection to a target for one request.
type ConnRequest struct {
	Target Target
	// Proven asks for a connection that delivered a response moments ago, or a new
	// one.
	Proven bool
	// Fresh asks for a new connection, for a request whose response can't be told apart
	// from those to earlier requests.
	Fresh bool
	// StartBy is the time after which the request is no longer started; zero means
	// no limit.
	StartBy time.Time
	// Fence is the time after which nothing more of the request is written, even if
	// it was started before; zero means no limit.
	Fence time.Time
}

// TargetConn is a connection to a target, taken for one request.
type TargetConn interface {
	// RoundTrip sends the request exactly once, on this connection only.
	RoundTrip(request *http.Request) (*http.Response, error)
	// Sent reports whether any byte of the request may have reached the target.
	Sent() bool
	// New reports whether the connection was opened for this request.
	New() bool
	// Silent reports whether the peer seems to be gone: the connection has received
	// nothing since it was taken, and either it was not proven before or other
	// connections to the target have received responses meanwhile.
	Silent() bool
	// Release returns the connection. It is closed if the response was not read to
	// its end. If it was silent, it is closed together with the idle connections to
	// the target that have received nothing since it was taken.
	Release(silent bool)
}

// ConnPool manages the connections to targets.
type ConnPool interface {
	// Take returns a connection that no other request uses. It returns a *ConnError
	// if none is available.
	Take(ctx context.Context, request ConnRequest) (TargetConn, error)
}

// CrashDetector tells a target that crashed from one whose connection broke.
type CrashDetector interface {
	// RefusesConnections reports whether the target's host answers and refuses
	// connections to the target's port.
	RefusesConnections(ctx context.Context, target Target) bool
}

// Reachability says which services' targets this instance can reach.
type Reachability interface {
	// Failed records that a target could not be reached, or that its connection failed.
	Failed(service ServiceName, target Target)
	// Isolated reports whether the instance reaches no target of the service, although others
	// may.
	Isolated(service ServiceName) bool
}

// ConnError reports that no connection to a target was available. Nothing was sent.
type ConnError struct {
	Target TargetName
	Cause  error
}

// Error returns a message with the target and the cause.
func (e *ConnError) Error() string { return fmt.Sprintf("no connection to %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Cause }

// FenceError reports that a write was withheld because its fence had passed.
type FenceError struct {
	Fence time.Time
}

// Error returns a message with the fence.
func (e *FenceError) Error() string {
	return "the request's time limit for sending expired at " + e.Fence.Format(time.RFC3339Nano)
}
