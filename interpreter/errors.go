package interpreter

import (
	"fmt"
	"strings"
)

// SyntaxError says which word of a text is wrong and what could stand there.
type SyntaxError struct {
	Text     string
	Offset   int    // Offset counts bytes before the word.
	Found    string // Found is the word; it is empty at the end of the text.
	Expected []string
}

// Error shows the text with a caret below the word, and what was expected.
func (e *SyntaxError) Error() string {
	found := "the end"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("column %d: found %s, expected %s\n  %s\n  %s^",
		e.Column(), found, strings.Join(e.Expected, ", "), e.Text, strings.Repeat(" ", e.Column()-1))
}

// Column is the position of the word in characters, counted from 1.
func (e *SyntaxError) Column() int {
	return len([]rune(e.Text[:min(e.Offset, len(e.Text))])) + 1
}

// PlanError says why a command can't be made into a change.
type PlanError struct {
	Subject string
	Detail  string
	Allowed []string // Allowed lists what could have been named.
}

// Error names the subject, the fault and what is allowed.
func (e *PlanError) Error() string {
	if len(e.Allowed) == 0 {
		return fmt.Sprintf("%s: %s", e.Subject, e.Detail)
	}
	return fmt.Sprintf("%s: %s; there is %s", e.Subject, e.Detail, strings.Join(e.Allowed, ", "))
}
