package tracer

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Cause is why a call was not answered promptly by its first attempt.
type Cause string

// The causes. A late call counts for the part that took most of its time.
const (
	CauseLateQueue   Cause = "late: waited for a turn"
	CauseLateTarget  Cause = "late: long at its target"
	CauseLateAgain   Cause = "late: sent more than once"
	CauseLateBetween Cause = "late: before, between and after" // CauseLateBetween is reading, waiting behind another answer, passing on.
	CauseLateUntold  Cause = "late: parts not told"            // CauseLateUntold is a line of an older program.
	CauseRepeated    Cause = "prompt: sent more than once"
	CauseRefusedMore Cause = "prompt: a second attempt got no turn"
)

// troubledCall is the event that tells of each call that was not calm.
const troubledCall = 2004

// mostKeys bounds the pairs of contract and cause that are kept apart; the others
// count as CauseOther.
const mostKeys = 1000

// CauseOther is any cause beyond those that are kept apart.
const CauseOther Cause = "other"

// mostSeconds bounds the seconds that are kept apart; older ones are dropped.
const mostSeconds = 2 * 60 * 60

// Losses counts, from the logs of any number of instances, the calls that were
// refused, failed or late: by contract, second and cause. What it keeps is bounded,
// however long the logs are. Its zero value works.
type Losses struct {
	// Offsets are what is added to the times of an instance whose clock is known to
	// differ.
	Offsets map[string]time.Duration

	// Lines is how many log lines were read, Unread how many look like one and can't
	// be read, Foreign how many are something else.
	Lines, Unread, Foreign int
	// Dropped is how many calls lie in seconds that are no longer kept apart.
	Dropped int

	causes  map[lossKey]*LossCount
	seconds map[int64]map[Cause]int
}

// lossKey is what calls are counted by.
type lossKey struct {
	contract string
	cause    Cause
}

// LossCount is the calls of one contract and cause, with where their time went.
type LossCount struct {
	Calls   int
	Total   time.Duration // Total is the sum of the calls' times.
	Queue   time.Duration // Queue is the part until they had a turn.
	Serving time.Duration // Serving is the part of their targets.
}

// Read takes one log in. The name stands in for instances that don't log their own.
func (l *Losses) Read(r io.Reader, name string) error {
	reader := bufio.NewReaderSize(r, maxLine)
	for {
		text, err := reader.ReadSlice('\n')
		if len(text) > 0 {
			l.take(text, name)
		}
		switch {
		case err == io.EOF: //nolint:errorlint // ReadSlice returns it as it is.
			return nil
		case err != nil && err != bufio.ErrBufferFull: //nolint:errorlint // Likewise.
			return err
		}
	}
}

func (l *Losses) take(text []byte, name string) {
	line, ok := parse(text, name)
	switch {
	case ok:
		l.Lines++
	case bytes.Contains(text, []byte(`"Event"`)):
		l.Unread++
		return
	case len(bytes.TrimSpace(text)) > 0:
		l.Foreign++
		return
	}
	if line.Event == troubledCall {
		l.count(line)
	}
}

func (l *Losses) count(line Line) {
	if l.causes == nil {
		l.causes, l.seconds = map[lossKey]*LossCount{}, map[int64]map[Cause]int{}
	}
	cause := causeOf(line)
	key := lossKey{fmt.Sprint(line.Fields["Contract"]), cause}
	c := l.causes[key]
	if c == nil && len(l.causes) >= mostKeys {
		key, cause = lossKey{cause: CauseOther}, CauseOther
		c = l.causes[key]
	}
	if c == nil {
		c = &LossCount{}
		l.causes[key] = c
	}
	c.Calls++
	c.Total += span(line, "Total")
	c.Queue += span(line, "Queue")
	c.Serving += span(line, "Serving")
	second := line.At.Add(l.Offsets[line.Instance]).Unix()
	if l.seconds[second] == nil {
		if len(l.seconds) >= mostSeconds && !l.makeRoom(second) {
			l.Dropped++
			return
		}
		l.seconds[second] = map[Cause]int{}
	}
	l.seconds[second][cause]++
}

// makeRoom drops the oldest tenth of the seconds. It reports whether the second is
// newer than those.
func (l *Losses) makeRoom(second int64) bool {
	const tenth = mostSeconds / 10
	oldest := slices.Sorted(maps.Keys(l.seconds))[:tenth]
	if second < oldest[tenth-1] {
		return false
	}
	for _, old := range oldest {
		l.Dropped += sum(l.seconds[old])
		delete(l.seconds, old)
	}
	return true
}

// causeOf tells why the call of the line was not prompt.
func causeOf(line Line) Cause {
	outcome, status := fmt.Sprint(line.Fields["Outcome"]), number(line, "Status")
	const firstFailure = 400
	switch {
	case outcome != "Done":
		return Cause(strings.ToLower(outcome) + ": " + fmt.Sprint(line.Fields["Reason"]))
	case status >= firstFailure:
		return Cause(fmt.Sprintf("answered %d by its target", status))
	}
	total, objective := span(line, "Total"), span(line, "Objective")
	again := ranMoreThanOnce(fmt.Sprint(line.Fields["Attempts"]))
	_, told := line.Fields["Serving"]
	switch prompt := objective <= 0 || total <= objective; {
	case prompt && again:
		return CauseRepeated
	case prompt:
		return CauseRefusedMore
	case !told:
		return CauseLateUntold
	}
	queue, serving := span(line, "Queue"), span(line, "Serving")
	rest := total - queue - serving
	switch {
	case rest >= max(queue, serving):
		return CauseLateBetween
	case queue >= serving:
		return CauseLateQueue
	case again:
		return CauseLateAgain
	default:
		return CauseLateTarget
	}
}

// ranMoreThanOnce reports whether more than one attempt reached a target.
func ranMoreThanOnce(attempts string) bool {
	reached := 0
	for _, attempt := range strings.Split(attempts, "; ") {
		if attempt != "" && !strings.Contains(attempt, "without a target") {
			reached++
		}
	}
	return reached > 1
}

func span(line Line, field string) time.Duration {
	text, _ := line.Fields[field].(string)
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0 // An older program does not log the field.
	}
	return d
}

func number(line Line, field string) int {
	n, _ := line.Fields[field].(float64)
	return int(n)
}

// Write prints the table by contract and cause, the worst seconds, and what could
// not be read.
func (l *Losses) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "contract\tcause\tcalls\tmean\tof that in the queue\tat targets\tbetween")
	for _, key := range l.sortedCauses() {
		c := l.causes[key]
		mean := func(sum time.Duration) time.Duration {
			return (sum / time.Duration(c.Calls)).Round(time.Millisecond)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", cmp.Or(key.contract, "(none)"), key.cause, c.Calls,
			mean(c.Total), mean(c.Queue), mean(c.Serving), mean(c.Total-c.Queue-c.Serving))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := l.writeWorst(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%d log lines read, %d could not be read, %d lines of something else", l.Lines, l.Unread, l.Foreign)
	if err == nil && l.Dropped > 0 {
		_, err = fmt.Fprintf(w, "; %d calls lie in older seconds, which are not kept apart", l.Dropped)
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return err
}

// worstSeconds is how many seconds are named.
const worstSeconds = 10

func (l *Losses) writeWorst(w io.Writer) error {
	worst := slices.SortedFunc(maps.Keys(l.seconds), func(a, b int64) int {
		return cmp.Or(cmp.Compare(sum(l.seconds[b]), sum(l.seconds[a])), cmp.Compare(a, b))
	})
	worst = worst[:min(worstSeconds, len(worst))]
	slices.Sort(worst)
	for n, second := range worst {
		if n == 0 {
			if _, err := fmt.Fprintln(w, "\nthe worst seconds:"); err != nil {
				return err
			}
		}
		var parts []string
		for _, cause := range slices.Sorted(maps.Keys(l.seconds[second])) {
			parts = append(parts, fmt.Sprintf("%d %s", l.seconds[second][cause], cause))
		}
		at := time.Unix(second, 0).UTC().Format("2006-01-02 15:04:05")
		if _, err := fmt.Fprintf(w, "%s  %d: %s\n", at, sum(l.seconds[second]), strings.Join(parts, ", ")); err != nil {
			return err
		}
	}
	return nil
}

func sum(counts map[Cause]int) int {
	all := 0
	for _, n := range counts {
		all += n
	}
	return all
}

func (l *Losses) sortedCauses() []lossKey {
	return slices.SortedFunc(maps.Keys(l.causes), func(a, b lossKey) int {
		return cmp.Or(cmp.Compare(a.contract, b.contract), cmp.Compare(l.causes[b].Calls, l.causes[a].Calls), cmp.Compare(a.cause, b.cause))
	})
}

// Seconds returns how many calls were lost in each second, oldest first, the times
// as Unix seconds.
func (l *Losses) Seconds() (at []int64, calls []int) {
	for _, second := range slices.Sorted(maps.Keys(l.seconds)) {
		at, calls = append(at, second), append(calls, sum(l.seconds[second]))
	}
	return at, calls
}
