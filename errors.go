package hemlocktally

import (
	"fmt"
	"time"
)

// RefusedError says why a call or a grant was refused.
type RefusedError struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // RetryAfter is when to come back; zero means no advice.
}

// Error returns the reason with its detail.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s", e.Outcome, e.Reason, e.Detail)
}

// ChangeError says which command of a change can't be applied.
type ChangeError struct {
	ChangeID string
	Index    int
	Kind     CommandKind
	Detail   string
}

// Error names the command and what is wrong with it.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change %s, command %d (%s): %s", e.ChangeID, e.Index+1, e.Kind, e.Detail)
}

// RaceError says that another change was accepted first.
type RaceError struct {
	Base   Revision
	Winner Accepted
}

// Error names the change that won.
func (e *RaceError) Error() string {
	return fmt.Sprintf("based on revision %d, but revision %d by %s (change %s) is in force",
		e.Base, e.Winner.Revision, e.Winner.Change.Author, e.Winner.Change.ID)
}

// StoreError says that a call of the store failed.
type StoreError struct {
	Operation string
	Key       string
	Unknown   bool // Unknown is set where a write may have taken effect.
	Cause     error
}

// Error names the operation, the key and the cause.
func (e *StoreError) Error() string {
	return fmt.Sprintf("store: %s %q: %v", e.Operation, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// AbsentError says that the store has no such key or lease.
type AbsentError struct {
	Key string
}

// Error names the key.
func (e *AbsentError) Error() string { return fmt.Sprintf("store: no %q", e.Key) }

// ConflictError says that a key has another version than the writer expected.
type ConflictError struct {
	Present Entry
}

// Error names the key and its present version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %q is at version %d", e.Present.Key, e.Present.Version)
}

// SettingError says which setting is wrong and what is allowed.
type SettingError struct {
	File    string
	Section string
	Key     string
	Found   string
	Allowed string
}

// Error names file, section, key, what was found and what is allowed.
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
