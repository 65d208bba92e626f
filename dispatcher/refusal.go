package dispatcher

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"hemlocktally"
)

// statusOf returns the HTTP status of a refusal.
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
	case hemlocktally.ReasonQuota:
		return http.StatusTooManyRequests
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

// Values of Retry-After for a call that did not run.
const (
	// retryAfterTargetFailed is for a call that another target or instance may
	// accept right now: targets rejected it, or its target was unreachable.
	retryAfterTargetFailed = 20 * time.Millisecond
	retryAfterNotReady     = 100 * time.Millisecond // retryAfterNotReady is for an instance that is starting or leaving or has no target.
	retryAfterDefault      = time.Second
	retryAfterJitter       = 0.5 // retryAfterJitter is the width of the random part relative to the delay, so that callers don't all retry at once.
)

// retryAfterFor returns the delay after which the caller should retry, with
// jitter; zero means that it gets no Retry-After.
func retryAfterFor(refused *hemlocktally.RefusedError) time.Duration {
	if refused.Outcome != hemlocktally.OutcomeNotRun || statusOf(refused) < http.StatusInternalServerError {
		return 0
	}
	delay := retryAfterDefault
	switch refused.Reason {
	case hemlocktally.ReasonTargetFailed, hemlocktally.ReasonRetryBudget:
		delay = retryAfterTargetFailed
	case hemlocktally.ReasonStarting, hemlocktally.ReasonNoTarget, hemlocktally.ReasonLeaving:
		delay = retryAfterNotReady
	}
	return time.Duration(float64(delay) * (1 + retryAfterJitter*(rand.Float64()-0.5)))
}

// writeRefusal writes a refusal with its JSON body and returns the HTTP status.
func (d *Dispatcher) writeRefusal(
	w http.ResponseWriter, refused *hemlocktally.RefusedError, body hemlocktally.Refusal, id hemlocktally.CallID,
) int {
	w.Header().Set("Content-Type", "application/json")
	status := d.dialect().WriteRefusal(w.Header(), refused, id)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
	return status
}
