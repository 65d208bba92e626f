// Package logger writes numbered log events. Each event is declared once, in
// the file of its area, and documented in docs/EVENTS.md.
package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Event describes one kind of log line. Number identifies it, Name is its message.
type Event struct {
	Number  int
	Name    string
	Level   logrus.Level
	Fields  []string // Fields lists the keys of a line's fields, in PascalCase.
	Meaning string
	Action  string // Action tells the operator what to do.
}

// Fields holds the values of one line by key.
type Fields = logrus.Fields

// Logger writes events. The zero value discards them.
type Logger struct {
	Out      *logrus.Logger
	Instance string // Instance, if not empty, is a field of every line.
}

// Log writes one line for the event if its level is enabled.
func (l Logger) Log(event Event, fields Fields) {
	if l.Out == nil || !l.Out.IsLevelEnabled(event.Level) {
		return
	}
	entry := l.Out.WithFields(fields)
	entry = entry.WithField("Event", event.Number)
	if l.Instance != "" {
		entry = entry.WithField("Instance", l.Instance)
	}
	entry.Log(event.Level, event.Name)
}

// New returns a logger that writes to w. The format JSON writes JSON, any other
// text. It fails if logrus does not know the level.
func New(w io.Writer, format, level string) (Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return Logger{}, fmt.Errorf("log level %q: %w", level, err)
	}
	out := logrus.New()
	out.SetOutput(w)
	out.SetLevel(parsed)
	if format == "JSON" {
		out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return Logger{Out: out}, nil
}

// Catalogue returns all events, grouped by area.
func Catalogue() []Event {
	var all []Event
	for _, area := range [][]Event{daemonEvents, entryEvents, responseEvents, ownerEvents, membershipEvents, claimEvents, operatorEvents, rolloutEvents} {
		all = append(all, area...)
	}
	return all
}
