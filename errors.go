package hemlocktally

import (
	"fmt"
	"time"
)

// RefusedError reports why a call or a grant was refused.
type RefusedError struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // RetryAfter is how long to wait before a retry; zero means no advice.
}

// Error returns a message with the outcome, the reason and the detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s", e.Outcome, e.Reason, e.Detail)
}

// ResponseError reports that a response is malformed or incomplete.
type ResponseError struct {
	Detail string // Detail says what is wrong with the response.
}

// Error returns a message with the detail.
func (e *ResponseError) Error() string { return "malformed response: " + e.Detail }

// ChangeError reports which command of a change can't be applied.
type ChangeError struct {
	ChangeID string
	Index    int // Index is the command's position in the change, from 0.
	Kind     CommandKind
	Detail   string
}

// Error returns a message with the command and what is wrong with it.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change %s, command %d (%s): %s", e.ChangeID, e.Index+1, e.Kind, e.Detail)
}

// RevisionConflictError reports that another change was accepted first.
type RevisionConflictError struct {
	Base   Revision
	Winner AcceptedChange
}

// Error returns a message with the change that was accepted first.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("based on revision %d, but revision %d by %s (change %s) is in force",
		e.Base, e.Winner.Revision, e.Winner.Change.Author, e.Winner.Change.ID)
}

// StoreError reports that a call of the store failed.
type StoreError struct {
	Operation string
	Key       string
	Unknown   bool // Unknown is set if the write may have taken effect.
	Cause     error
}

// Error returns a message with the operation, the key and the cause.
func (e *StoreError) Error() string {
	return fmt.Sprintf("store: %s %q: %v", e.Operation, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// NotFoundError reports that the store has no such key or lease.
type NotFoundError struct {
	Key string
}

// Error returns a message with the key.
func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %q does not exist", e.Key) }

// ConflictError reports that a key has another version than the writer expected.
type ConflictError struct {
	Current Entry
}

// Error returns a message with the key and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %q is at version %d", e.Current.Key, e.Current.Version)
}

// SettingError reports an invalid setting and which values are allowed.
type SettingError struct {
	File    string
	Section string
	Key     string
	Found   string
	Allowed string
}

// Error returns a message with the file, section, key, the value found and the values allowed.
func (e *SettingError) Error() string {
	place := e.File
	if e.Section != "" {
		place += ": [" + e.Section + "]"
	}
	if e.Key != "" {
		place += " " + e.Key
	}
	return fmt.Sprintf("%s: found %q, allowed: %s", place, e.Found, e.Allowed)
}

// OverloadError reports that a request has no place within the limits on what callers may make
// an instance hold, or that its connection was closed because of them.
type OverloadError struct{}

// Error returns a message for the caller.
func (*OverloadError) Error() string { return "the instance holds as much for its callers as it may" }
