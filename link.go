package hemlocktally

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// LinkRequest asks for a link to a target for one request.
type LinkRequest struct {
	Target Target
	// Proven asks for a link that brought an answer moments ago, or a new one.
	Proven bool
	// StartBy is the time from which on the request is not begun; zero means
	// never.
	StartBy time.Time
	// Fence is the time from which on nothing of the request is written, even
	// where it was begun before; zero means never.
	Fence time.Time
}

// Link is one connection to a target, taken for one request.
type Link interface {
	// RoundTrip sends the request once, on this connection and no other.
	RoundTrip(request *http.Request) (*http.Response, error)
	// Sent reports whether any byte of the request may have reached the target.
	Sent() bool
	// New reports whether the link was opened for this request.
	New() bool
	// Silent reports whether the link seems to have lost its other end: it has
	// brought nothing since the request, while it was unproven before or other
	// links of the target brought answers.
	Silent() bool
	// Release gives the link back. A link whose answer was not read to its end
	// is closed; one that was silent takes its equally old neighbours with it.
	Release(silent bool)
}

// Linker holds the links to targets.
type Linker interface {
	// Take returns a free link. It returns a *LinkError where none can be had.
	Take(ctx context.Context, request LinkRequest) (Link, error)
}

// LinkError says that no link to a target could be had. Nothing was sent.
type LinkError struct {
	Target TargetName
	Cause  error
}

// Error names the target and the cause.
func (e *LinkError) Error() string { return fmt.Sprintf("no link to %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Cause }

// FenceError says that a write was held back because its fence had passed.
type FenceError struct {
	Fence time.Time
}

// Error names the fence.
func (e *FenceError) Error() string {
	return "the time to send had passed at " + e.Fence.Format(time.RFC3339Nano)
}
