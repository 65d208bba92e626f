package interpreter

import (
	"fmt"
	"strings"
)

// SyntaxError reports the first invalid word of a statement and what is allowed in
// its place.
type SyntaxError struct {
	Text     string   // Text is the statement, with line breaks and tabs replaced by spaces.
	Offset   int      // Offset is the position of the word in bytes, counted from 0.
	Found    string   // Found is the word; it is empty at the end of the text.
	Expected []string // Expected lists the allowed words, or a description of the allowed value.
}

// Error returns the column, the word and what is allowed, followed by the statement
// and a line with a caret below the word.
func (e *SyntaxError) Error() string {
	found := "the end"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("column %d: found %s, expected %s\n  %s\n  %s^",
		e.Column(), found, strings.Join(e.Expected, ", "), e.Text, strings.Repeat(" ", e.Column()-1))
}

// Column returns the position of the word in characters, counted from 1.
func (e *SyntaxError) Column() int {
	return len([]rune(e.Text[:min(e.Offset, len(e.Text))])) + 1
}

// PlanError reports why a command cannot be turned into a change.
type PlanError struct {
	Subject string // Subject is the kind and name of the item, such as Contract Holds.
	Detail  string
	Allowed []string // Allowed lists the names that could be used instead.
}

// Error returns the subject, the fault and the allowed names.
func (e *PlanError) Error() string {
	if len(e.Allowed) == 0 {
		return fmt.Sprintf("%s: %s", e.Subject, e.Detail)
	}
	return fmt.Sprintf("%s: %s; there is %s", e.Subject, e.Detail, strings.Join(e.Allowed, ", "))
}
