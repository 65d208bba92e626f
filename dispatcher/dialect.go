package dispatcher

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlocktally"
)

// defaultDialect is hemlocktally's own header protocol with callers and targets.
// It implements hemlocktally.HeaderCodec.
type defaultDialect struct{}

// dialect returns the header protocol that callers and targets use.
func (d *Dispatcher) dialect() hemlocktally.HeaderCodec {
	if d.Dialect == nil {
		return defaultDialect{}
	}
	return d.Dialect
}

// CallID returns no ID, because the instance assigns the IDs of calls.
func (defaultDialect) CallID(http.Header) hemlocktally.CallID { return "" }

// TimeLeft returns the remaining time from the caller's deadline header.
func (defaultDialect) TimeLeft(header http.Header) (time.Duration, bool, error) {
	text := header.Get(hemlocktally.HeaderDeadline)
	if text == "" && len(header[hemlocktally.HeaderDeadline]) == 0 {
		return 0, false, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, false, err
	}
	const maxMilliseconds = int64(math.MaxInt64 / time.Millisecond)
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond, true, nil
}

// WriteAttempt replaces the caller's balancer headers with those of the attempt,
// removes Authorization and appends to X-Forwarded-For.
func (defaultDialect) WriteAttempt(header http.Header, attempt hemlocktally.AttemptInfo) {
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
	header[hemlocktally.HeaderDeadline] = []string{strconv.FormatInt(max(1, attempt.TimeLeft.Milliseconds()), 10)}
}

// ReadResponse reads the call that the response names, the state that the target
// reports and whether it declares that it did not run the call.
func (defaultDialect) ReadResponse(_ int, header http.Header) hemlocktally.ResponseInfo {
	state := hemlocktally.TargetState(header.Get(hemlocktally.HeaderTargetState))
	return hemlocktally.ResponseInfo{
		Call:   hemlocktally.CallID(header.Get(hemlocktally.HeaderCall)),
		NotRun: header.Get(hemlocktally.HeaderNotRun) == "true",
		Cold:   state == hemlocktally.TargetCold, Draining: state == hemlocktally.TargetDraining,
	}
}

// WriteResponse replaces the target's balancer headers with call ID and outcome.
func (defaultDialect) WriteResponse(header http.Header, call hemlocktally.CallID) {
	for name := range header {
		if strings.HasPrefix(name, hemlocktally.HeaderPrefix) {
			delete(header, name)
		}
	}
	header[hemlocktally.HeaderCall] = []string{string(call)}
	header[hemlocktally.HeaderOutcome] = []string{string(hemlocktally.OutcomeDone)}
}

// WriteRefusal sets call ID, outcome and, if there is a delay, Retry-After. It
// returns the HTTP status.
func (defaultDialect) WriteRefusal(header http.Header, refused *hemlocktally.RefusedError, call hemlocktally.CallID) int {
	header.Set(hemlocktally.HeaderCall, string(call))
	header.Set(hemlocktally.HeaderOutcome, string(refused.Outcome))
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
	return statusOf(refused)
}

// AllowsCloseDelimited returns false: a response must mark its end by
// Content-Length or chunked encoding.
func (defaultDialect) AllowsCloseDelimited() bool { return false }
