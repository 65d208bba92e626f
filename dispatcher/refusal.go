package dispatcher

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"hemlocktally"
)

// statusOf maps a refusal to its HTTP status.
func statusOf(refused *hemlocktally.RefusedError) int {
	switch refused.Reason {
	case hemlocktally.ReasonNoContract:
		return http.StatusNotFound
	case hemlocktally.ReasonBadRequest, hemlocktally.ReasonDepth:
		return http.StatusBadRequest
	case hemlocktally.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case hemlocktally.ReasonUnauthorized:
		return http.StatusUnauthorized
	case hemlocktally.ReasonClaimHeld:
		return http.StatusConflict
	case hemlocktally.ReasonClaimDiffers:
		return http.StatusUnprocessableEntity
	case hemlocktally.ReasonDeadline:
		return http.StatusGatewayTimeout
	case hemlocktally.ReasonTargetFailed, hemlocktally.ReasonAnswerBroken, hemlocktally.ReasonClaimUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// retryAfter is the advice to a caller whose call did not run for want of a
// target.
const retryAfter = time.Second

// adviceFor returns when the caller should come back; zero means no advice.
func adviceFor(refused *hemlocktally.RefusedError) time.Duration {
	if refused.Outcome == hemlocktally.OutcomeNotRun && statusOf(refused) >= http.StatusInternalServerError {
		return retryAfter
	}
	return 0
}

func writeRefusal(w http.ResponseWriter, refused *hemlocktally.RefusedError, body hemlocktally.Refusal, id hemlocktally.CallID) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(hemlocktally.HeaderCall, string(id))
	header.Set(hemlocktally.HeaderOutcome, string(body.Outcome))
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
	w.WriteHeader(statusOf(refused))
	_ = json.NewEncoder(w).Encode(body)
}
