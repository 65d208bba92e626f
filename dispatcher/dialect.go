package dispatcher

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlocktally"
)

// ownDialect is the headers of callers and targets that speak hemlocktally's own
// interface. It implements hemlocktally.Dialect.
type ownDialect struct{}

// dialect returns the dialect in which callers and targets speak.
func (d *Dispatcher) dialect() hemlocktally.Dialect {
	if d.Dialect == nil {
		return ownDialect{}
	}
	return d.Dialect
}

// CallOf returns nothing: the instance names its calls itself.
func (ownDialect) CallOf(http.Header) hemlocktally.CallID { return "" }

// LeftOf returns the time that the caller states.
func (ownDialect) LeftOf(header http.Header) (time.Duration, bool, error) {
	text := header.Get(hemlocktally.HeaderDeadline)
	if text == "" && len(header[hemlocktally.HeaderDeadline]) == 0 {
		return 0, false, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, false, err
	}
	const longest = int64(math.MaxInt64 / time.Millisecond)
	return time.Duration(min(ms, longest)) * time.Millisecond, true, nil
}

// WriteAttempt writes the instance's own headers in place of the caller's.
func (ownDialect) WriteAttempt(header http.Header, attempt hemlocktally.AttemptHeader) {
	for name := range header {
		if strings.HasPrefix(name, hemlocktally.HeaderPrefix) {
			delete(header, name)
		}
	}
	delete(header, "Authorization")
	appendForwardedFor(header, attempt.Address)
	header[hemlocktally.HeaderCall] = []string{string(attempt.Call)}
	header[hemlocktally.HeaderAttempt] = []string{strconv.Itoa(attempt.Number)}
	header[hemlocktally.HeaderDepth] = []string{strconv.Itoa(attempt.Depth + 1)}
	header[hemlocktally.HeaderDeadline] = []string{strconv.FormatInt(max(1, attempt.Left.Milliseconds()), 10)}
}

// ReadAnswer reads the target's own word on its state.
func (ownDialect) ReadAnswer(_ int, header http.Header) hemlocktally.AnswerHeader {
	state := hemlocktally.TargetState(header.Get(hemlocktally.HeaderTargetState))
	return hemlocktally.AnswerHeader{
		NotRun: header.Get(hemlocktally.HeaderNotRun) == "true",
		Cold:   state == hemlocktally.TargetCold, Draining: state == hemlocktally.TargetDraining,
	}
}

// WriteAnswer names the call and its outcome.
func (ownDialect) WriteAnswer(header http.Header, call hemlocktally.CallID) {
	for name := range header {
		if strings.HasPrefix(name, hemlocktally.HeaderPrefix) {
			delete(header, name)
		}
	}
	header[hemlocktally.HeaderCall] = []string{string(call)}
	header[hemlocktally.HeaderOutcome] = []string{string(hemlocktally.OutcomeDone)}
}

// WriteRefusal names the call and its outcome.
func (ownDialect) WriteRefusal(header http.Header, refused *hemlocktally.RefusedError, call hemlocktally.CallID) int {
	header.Set(hemlocktally.HeaderCall, string(call))
	header.Set(hemlocktally.HeaderOutcome, string(refused.Outcome))
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
	return statusOf(refused)
}

// EndsWithConnection reports that an answer must mark its end.
func (ownDialect) EndsWithConnection() bool { return false }
