package hemlocktally

import (
	"context"
	"fmt"
	"net/http"
)

// Forwarder hands calls over to other instances.
type Forwarder interface {
	// Forward sends a request to another instance. It tries further ones as long as the call
	// certainly did not run. newRequest returns a new request to the instance at an address, or nil
	// if the body can't be sent again. The
	// error is a *ForwardError.
	Forward(ctx context.Context, newRequest func(address string) *http.Request) (*http.Response, InstanceID, error)
}

// ForwardError reports that no other instance served a call.
type ForwardError struct {
	Instance InstanceID // Instance is the last one that was tried; empty if there is none.
	Sent     bool       // Sent is set if the request may have reached the instance.
	Cause    error
}

// Error returns a message with the instance and the cause.
func (e *ForwardError) Error() string {
	return fmt.Sprintf("handing over to %q: %v", e.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Cause }
