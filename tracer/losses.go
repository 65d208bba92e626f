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

// The causes of calls that were answered. A late call is counted under the part that
// took most of its time.
const (
	CauseLateQueue            Cause = "late: waited for a turn"
	CauseLateLimit            Cause = "late: waited for a target's limit"
	CauseLateTarget           Cause = "late: long at its target"
	CauseLateRepeated         Cause = "late: sent more than once"
	CauseLateElsewhere        Cause = "late: before, between and after" // CauseLateElsewhere covers reading the request, waiting behind another response and passing the response on.
	CauseLateUnknown          Cause = "late: parts not told"            // CauseLateUnknown is a line without the field Serving, which older versions did not log.
	CauseRepeated             Cause = "prompt: sent more than once"
	CauseSecondAttemptRefused Cause = "prompt: a second attempt got no turn"
)

// abnormalCallEvent is the number of the event that is logged for each call that was
// refused, failed, repeated or late.
const abnormalCallEvent = 2004

// maxCauseKeys bounds the pairs of contract and cause that are counted separately;
// further pairs are counted as CauseOther.
const maxCauseKeys = 1000

// CauseOther collects the pairs of contract and cause beyond maxCauseKeys.
const CauseOther Cause = "other"

// maxSeconds bounds the seconds that are counted separately; the oldest are dropped.
const maxSeconds = 2 * 60 * 60

// Losses counts, from the logs of any number of instances, the calls that were
// refused, failed, repeated or late, by contract, second and cause. Its memory is
// bounded regardless of the length of the logs. The zero value is ready to use.
type Losses struct {
	// Offsets holds, by instance ID, the correction that is added to the instance's
	// log times to compensate for a clock that is known to be off.
	Offsets map[string]time.Duration

	// Lines counts the log lines that were parsed, Unread the lines that look like log
	// lines but can't be parsed, Foreign all other lines that are not blank.
	Lines, Unread, Foreign int
	// Dropped counts the calls in seconds that are no longer counted separately.
	Dropped int

	causes  map[lossKey]*LossCount
	seconds map[int64]map[Cause]int
}

// lossKey identifies one counter of calls.
type lossKey struct {
	contract string
	cause    Cause
}

// LossCount sums up the calls of one contract and cause and where their time was spent.
type LossCount struct {
	Calls   int
	Total   time.Duration // Total is the sum of the calls' times.
	Queue   time.Duration // Queue is the part of Total until the calls were granted a target.
	Serving time.Duration // Serving is the part of Total that the targets took.
}

// Read adds one log. The name is used as the instance's ID for lines that don't
// contain one.
func (l *Losses) Read(r io.Reader, name string) error {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if len(text) > 0 {
			l.addLine(text, name)
		}
		switch {
		case err == io.EOF: //nolint:errorlint // ReadSlice returns the error unwrapped.
			return nil
		case err != nil && err != bufio.ErrBufferFull: //nolint:errorlint // Likewise.
			return err
		}
	}
}

func (l *Losses) addLine(text []byte, name string) {
	line, ok := parseLine(text, name)
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
	if line.Event == abnormalCallEvent {
		l.countCall(line)
	}
}

func (l *Losses) countCall(line Line) {
	if l.causes == nil {
		l.causes, l.seconds = map[lossKey]*LossCount{}, map[int64]map[Cause]int{}
	}
	cause := causeOf(line)
	key := lossKey{fmt.Sprint(line.Fields["Contract"]), cause}
	c := l.causes[key]
	if c == nil && len(l.causes) >= maxCauseKeys {
		key, cause = lossKey{cause: CauseOther}, CauseOther
		c = l.causes[key]
	}
	if c == nil {
		c = &LossCount{}
		l.causes[key] = c
	}
	c.Calls++
	c.Total += durationField(line, "Total")
	c.Queue += durationField(line, "Queue")
	c.Serving += durationField(line, "Serving")
	second := line.At.Add(l.Offsets[line.Instance]).Unix()
	if l.seconds[second] == nil {
		if len(l.seconds) >= maxSeconds && !l.evictOldest(second) {
			l.Dropped++
			return
		}
		l.seconds[second] = map[Cause]int{}
	}
	l.seconds[second][cause]++
}

// evictOldest drops the oldest tenth of the seconds. If the given second is older than
// these, it drops nothing and returns false.
func (l *Losses) evictOldest(second int64) bool {
	const tenth = maxSeconds / 10
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

// causeOf classifies the call of a log line.
func causeOf(line Line) Cause {
	outcome, status := fmt.Sprint(line.Fields["Outcome"]), intField(line, "Status")
	const firstFailure = 400
	switch {
	case outcome != "Done":
		return Cause(strings.ToLower(outcome) + ": " + fmt.Sprint(line.Fields["Reason"]))
	case status >= firstFailure:
		return Cause(fmt.Sprintf("answered %d by its target", status))
	}
	total, objective := durationField(line, "Total"), durationField(line, "Objective")
	repeated := reachedSeveralTargets(fmt.Sprint(line.Fields["Attempts"]))
	_, hasServing := line.Fields["Serving"]
	switch prompt := objective <= 0 || total <= objective; {
	case prompt && repeated:
		return CauseRepeated
	case prompt:
		return CauseSecondAttemptRefused
	case !hasServing:
		return CauseLateUnknown
	}
	queue, serving := durationField(line, "Queue"), durationField(line, "Serving")
	rest := total - queue - serving
	switch {
	case rest >= max(queue, serving):
		return CauseLateElsewhere
	case queue >= serving && strings.Contains(fmt.Sprint(line.Fields["Attempts"]), heldBackMark):
		return CauseLateLimit
	case queue >= serving:
		return CauseLateQueue
	case repeated:
		return CauseLateRepeated
	default:
		return CauseLateTarget
	}
}

// heldBackMark is in the attempts of a call that waited because of targets' limits.
const heldBackMark = "(held back: "

// reachedSeveralTargets reports whether more than one attempt reached a target.
func reachedSeveralTargets(attempts string) bool {
	reached := 0
	for _, attempt := range strings.Split(attempts, "; ") {
		if attempt != "" && !strings.Contains(attempt, "without a target") {
			reached++
		}
	}
	return reached > 1
}

func durationField(line Line, field string) time.Duration {
	text, _ := line.Fields[field].(string)
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0 // Older versions don't log the field.
	}
	return d
}

func intField(line Line, field string) int {
	n, _ := line.Fields[field].(float64)
	return int(n)
}

// Write prints the counts by contract and cause, the seconds with the most calls, and
// the numbers of lines that were and were not parsed.
func (l *Losses) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "contract\tcause\tcalls\tmean time\tof that in the queue\tat targets\telsewhere")
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
	_, err := fmt.Fprintf(w, "\n%d log lines read, %d could not be parsed, %d other lines", l.Lines, l.Unread, l.Foreign)
	if err == nil && l.Dropped > 0 {
		_, err = fmt.Fprintf(w, "; %d calls in older seconds are not counted by second", l.Dropped)
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	return err
}

// worstSeconds is how many of the seconds with the most calls Write prints.
const worstSeconds = 10

func (l *Losses) writeWorst(w io.Writer) error {
	worst := slices.SortedFunc(maps.Keys(l.seconds), func(a, b int64) int {
		return cmp.Or(cmp.Compare(sum(l.seconds[b]), sum(l.seconds[a])), cmp.Compare(a, b))
	})
	worst = worst[:min(worstSeconds, len(worst))]
	slices.Sort(worst)
	for n, second := range worst {
		if n == 0 {
			if _, err := fmt.Fprintln(w, "\nseconds with the most calls:"); err != nil {
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

// Seconds returns the seconds that have calls, as Unix times, oldest first, and the
// number of calls in each.
func (l *Losses) Seconds() (at []int64, calls []int) {
	for _, second := range slices.Sorted(maps.Keys(l.seconds)) {
		at, calls = append(at, second), append(calls, sum(l.seconds[second]))
	}
	return at, calls
}
