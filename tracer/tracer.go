// Package tracer analyzes the logs of several instances. Logs shows the timeline of
// one call and the last known state of the instances at that time; Losses counts the
// calls that were refused, failed, repeated or late.
package tracer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"hemlocktally/logger"
)

// Line is one parsed log line. Fields holds what the other fields don't.
type Line struct {
	Instance string
	At       time.Time
	Event    int
	Message  string
	Fields   map[string]any
}

// UnknownCallError reports that no log line mentions the call.
type UnknownCallError struct {
	Call  string
	Lines int // Lines is the number of log lines that were parsed.
}

// Error returns the call and the number of lines.
func (e *UnknownCallError) Error() string {
	return fmt.Sprintf("none of %d log lines mentions call %q: it was not refused, failed, repeated or late, or its instance's log is missing", e.Lines, e.Call)
}

// Logs collects from logs the lines of one call and the lines that report the state
// of instances. Call must be set before Read; everything else may stay zero.
type Logs struct {
	Call string
	// Offsets holds, by instance ID, the correction that is added to the instance's
	// log times to compensate for a clock that is known to be off.
	Offsets map[string]time.Duration

	lines      int
	callLines  []Line
	stateLines []Line
}

// Numbers of the events that report an instance's state: its start and end, owners,
// targets, the store and the configuration.
const (
	firstStateEvent = 1000
	lastStateEvent  = 4999
	callEventGroup  = 2 // callEventGroup is the group of events about single calls, 2000 to 2999.
	eventGroupSize  = 1000
	maxLineBytes    = 1 << 20
)

// isQuarantineEvent reports whether the line tells of a request that may crash its targets: it
// concerns all calls with the same request.
func isQuarantineEvent(line Line) bool {
	return line.Event == logger.EventTargetBrokeOff.Number || line.Event == logger.EventRequestHeld.Number || line.Event == logger.EventRequestReleased.Number
}

// Read adds one log and skips lines that are not log lines. A line may have text
// before its JSON object, such as a time and the instance's ID. A line without the
// field Instance belongs to the instance that the last word of this text names, or to
// the given name if there is no text.
func (l *Logs) Read(r io.Reader, name string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes(), name)
		if !ok {
			continue
		}
		l.lines++
		line.At = line.At.Add(l.Offsets[line.Instance])
		switch {
		case line.Fields["Call"] == l.Call:
			l.callLines = append(l.callLines, line)
		case isQuarantineEvent(line):
			l.stateLines = append(l.stateLines, line)
		case line.Event >= firstStateEvent && line.Event <= lastStateEvent && line.Event/eventGroupSize != callEventGroup:
			l.stateLines = append(l.stateLines, line)
		}
	}
	return scanner.Err()
}

// parseLine parses one line; ok is false if it is not a log line.
func parseLine(text []byte, name string) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	number, isEvent := fields["Event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
	if !isEvent || err != nil {
		return Line{}, false
	}
	line = Line{Instance: name, At: at, Event: int(number), Message: fmt.Sprint(fields["msg"]), Fields: fields}
	if own, has := fields["Instance"].(string); has {
		line.Instance = own
	} else if before := strings.Fields(string(text[:start])); len(before) > 0 {
		line.Instance = before[len(before)-1]
	}
	for _, known := range []string{"Event", "time", "msg", "level", "Instance"} {
		delete(fields, known)
	}
	return line, true
}

// WriteTimeline writes the lines of the call and then the last known state of its instances:
// the last line before the call's end for each instance, event and subject. It
// returns an *UnknownCallError if no line mentions the call.
func (l *Logs) WriteTimeline(w io.Writer) error {
	if len(l.callLines) == 0 {
		return &UnknownCallError{Call: l.Call, Lines: l.lines}
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(l.callLines, byTime)
	slices.SortStableFunc(l.stateLines, byTime)
	end := l.callLines[len(l.callLines)-1].At
	for _, line := range l.callLines {
		if err := writeLine(w, line, end); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(w, "last known state of the instances, with its age:"); err != nil {
		return err
	}
	for _, line := range l.latestStates(end) {
		if err := writeLine(w, line, end); err != nil {
			return err
		}
	}
	return nil
}

// stateKey identifies what a state line reports on.
type stateKey struct {
	instance string
	event    int
	subject  string
}

// latestStates returns, by time, the last relevant line of each stateKey up to the end.
func (l *Logs) latestStates(end time.Time) []Line {
	last := map[stateKey]Line{}
	for _, line := range l.stateLines {
		if line.At.After(end) || !l.isRelevant(line) {
			continue
		}
		last[stateKey{line.Instance, line.Event, subjectOf(line)}] = line
	}
	kept := make([]Line, 0, len(last))
	for _, line := range last {
		kept = append(kept, line)
	}
	slices.SortFunc(kept, func(a, b Line) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return cmp.Compare(a.Event, b.Event)
	})
	return kept
}

// subjectOf returns the target, hub, owner, zone key or request that a state line names, or "".
func subjectOf(line Line) string {
	for _, field := range []string{"Target", "Hub", "Owner", "Zone", "Key", "Request"} {
		if name, ok := line.Fields[field]; ok {
			return fmt.Sprint(name)
		}
	}
	return ""
}

// isRelevant reports whether a state line names a target of the call or, if it names
// no target, was logged by an instance that logged the call.
func (l *Logs) isRelevant(line Line) bool {
	return slices.ContainsFunc(l.callLines, func(own Line) bool {
		if isQuarantineEvent(line) {
			return own.Fields["Request"] == line.Fields["Request"]
		}
		target, named := line.Fields["Target"].(string)
		if named {
			return strings.Contains(fmt.Sprint(own.Fields["Attempts"], own.Fields["Target"], own.Fields["Detail"]), target)
		}
		return own.Instance == line.Instance
	})
}

func writeLine(w io.Writer, line Line, end time.Time) error {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	_, err := fmt.Fprintf(w, "%s  %8s before the end  %s  %d %s\n",
		line.At.Format("15:04:05.000"), end.Sub(line.At).Round(time.Millisecond), line.Instance, line.Event, line.Message)
	for _, name := range names {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "    %s = %v\n", name, line.Fields[name])
	}
	return err
}
