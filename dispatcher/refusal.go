package dispatcher

import (
	"encoding/json"
	"net/http"
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

// writeRefusal answers with a refusal and returns its status.
func (d *Dispatcher) writeRefusal(
	w http.ResponseWriter, refused *hemlocktally.RefusedError, body hemlocktally.Refusal, id hemlocktally.CallID,
) int {
	w.Header().Set("Content-Type", "application/json")
	status := d.dialect().WriteRefusal(w.Header(), refused, id)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
	return status
}
