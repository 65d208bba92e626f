// Package logger writes numbered log events. Each event is declared once, in
// the file of its area, and listed in docs/EVENTS.md.
package logger

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Name    string
	Level   logrus.Level
	Fields  []string // Fields names the fields of a line, in PascalCase.
	Meaning string
	Action  string // Action is what an operator should do.
}

// Fields are the values of one line.
type Fields = logrus.Fields

// Logger writes events. Its zero value discards them.
type Logger struct {
	Out      *logrus.Logger
	Instance string // Instance stands in every line where it is set.
}

// Log writes one line of the event.
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

// New returns a logger that writes to the writer. The format is Text or JSON.
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

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	var all []Event
	for _, area := range [][]Event{daemonEvents, entryEvents, tallyEvents, membershipEvents, claimEvents, operatorEvents} {
		all = append(all, area...)
	}
	return all
}
