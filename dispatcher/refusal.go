package dispatcher

import (
	"encoding/json"
	"math/rand/v2"
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

// Advice to a caller whose call did not run.
const (
	// adviceElsewhere is for a call that another target or instance may take right
	// now: one that targets turned away, or whose target could not be reached.
	adviceElsewhere = 20 * time.Millisecond
	adviceStarting  = 100 * time.Millisecond // adviceStarting is for an instance that is not ready yet.
	adviceLater     = time.Second
	adviceSpread    = 0.5 // adviceSpread is the part of the advice that is random, so that not all come at once.
)

// adviceFor returns when the caller should come back; zero means no advice.
func adviceFor(refused *hemlocktally.RefusedError) time.Duration {
	if refused.Outcome != hemlocktally.OutcomeNotRun || statusOf(refused) < http.StatusInternalServerError {
		return 0
	}
	advice := adviceLater
	switch refused.Reason {
	case hemlocktally.ReasonTargetFailed, hemlocktally.ReasonRetryBudget:
		advice = adviceElsewhere
	case hemlocktally.ReasonStarting, hemlocktally.ReasonNoTarget, hemlocktally.ReasonLeaving:
		advice = adviceStarting
	}
	return time.Duration(float64(advice) * (1 + adviceSpread*(rand.Float64()-0.5)))
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
