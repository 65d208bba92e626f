// Package tracer reads the logs of several instances and tells the story of one
// call: what each instance logged of it, and what that instance believed then.
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
)

// Line is one log line.
type Line struct {
	Instance string
	At       time.Time
	Event    int
	Message  string
	Fields   map[string]any
}

// UnknownCallError says that no log names the call.
type UnknownCallError struct {
	Call  string
	Lines int // Lines is how many log lines were read.
}

// Error names the call.
func (e *UnknownCallError) Error() string {
	return fmt.Sprintf("no line of %d names call %q: it was calm, or its instance's log is missing", e.Lines, e.Call)
}

// Logs holds what is kept of the logs that were read: the lines of one call and
// the lines that tell what instances believe. Its zero value needs only Call.
type Logs struct {
	Call string
	// Offsets are what is added to the times of an instance whose clock is known
	// to differ.
	Offsets map[string]time.Duration

	lines   int
	own     []Line
	beliefs []Line
}

// Numbers of the events that tell what an instance believes: its start and end,
// owners, targets, the store and the configuration.
const (
	firstBelief = 1000
	lastBelief  = 4999
	callEvents  = 2 // callEvents is the thousand of the events of single calls.
	thousand    = 1000
	maxLine     = 1 << 20
)

// Read takes one log in. A line may have anything before its JSON object, such
// as a time and an instance's name. The name stands in for instances that don't
// log their own.
func (l *Logs) Read(r io.Reader, name string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), name)
		if !ok {
			continue
		}
		l.lines++
		line.At = line.At.Add(l.Offsets[line.Instance])
		switch {
		case line.Fields["Call"] == l.Call:
			l.own = append(l.own, line)
		case line.Event >= firstBelief && line.Event <= lastBelief && line.Event/thousand != callEvents:
			l.beliefs = append(l.beliefs, line)
		}
	}
	return scanner.Err()
}

// parse reads one line; ok is false where it is no log line.
func parse(text []byte, name string) (line Line, ok bool) {
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

// Story writes what happened to the call, and what its instances believed: of
// each kind of belief and subject the last word before the call's end. It
// returns an *UnknownCallError where no line names the call.
func (l *Logs) Story(w io.Writer) error {
	if len(l.own) == 0 {
		return &UnknownCallError{Call: l.Call, Lines: l.lines}
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(l.own, byTime)
	slices.SortStableFunc(l.beliefs, byTime)
	end := l.own[len(l.own)-1].At
	for _, line := range l.own {
		if err := write(w, line, end); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(w, "what was believed then, with its age:"); err != nil {
		return err
	}
	for _, line := range l.lastBeliefs(end) {
		if err := write(w, line, end); err != nil {
			return err
		}
	}
	return nil
}

// subject is what a belief is about.
type subject struct {
	instance string
	event    int
	about    string
}

// lastBeliefs returns the last word on each subject of the call's instances.
func (l *Logs) lastBeliefs(end time.Time) []Line {
	last := map[subject]Line{}
	for _, line := range l.beliefs {
		if line.At.After(end) || !l.concerns(line) {
			continue
		}
		last[subject{line.Instance, line.Event, about(line)}] = line
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

// about names the target, hub, owner or zone of a belief.
func about(line Line) string {
	for _, field := range []string{"Target", "Hub", "Owner", "Zone", "Key"} {
		if name, ok := line.Fields[field]; ok {
			return fmt.Sprint(name)
		}
	}
	return ""
}

// concerns reports whether a belief is of an instance of the call, or about a
// target that the call was sent to.
func (l *Logs) concerns(line Line) bool {
	return slices.ContainsFunc(l.own, func(own Line) bool {
		target, named := line.Fields["Target"].(string)
		if named {
			return strings.Contains(fmt.Sprint(own.Fields["Attempts"], own.Fields["Target"]), target)
		}
		return own.Instance == line.Instance
	})
}

func write(w io.Writer, line Line, end time.Time) error {
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
