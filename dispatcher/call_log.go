package dispatcher

import (
	"fmt"
	"strings"

	"hemlocktally"
	"hemlocktally/logger"
)

// logUnusualCall logs a call that was refused, truncated, not Done, attempted more
// than once or slower than its objective. Other calls are only counted and timed.
func (d *Dispatcher) logUnusualCall(c *call) {
	r := &c.record
	late := c.contract.Objective > 0 && r.Total > c.contract.Objective
	if r.Outcome == hemlocktally.OutcomeDone && len(r.Attempts) <= 1 && !late && !c.truncated {
		return
	}
	request := ""
	if d.Quarantine != nil && !d.Quarantine.Empty() && c.body != nil {
		request = c.fingerprint().String()
	}
	d.Log.Log(logger.EventUnusualCall, logger.Fields{
		"Call": r.Call, "Request": request, "Contract": r.Contract, "Service": r.Service, "Revision": r.Revision, "Outcome": r.Outcome, "Reason": r.Reason,
		"Detail": r.Detail, "Status": r.Status, "Total": r.Total.String(), "Queue": r.Granting.String(), "Serving": r.Serving.String(),
		"Objective": c.contract.Objective.String(), "Attempts": attemptsText(r.Attempts),
	})
}

var (
	kindNames    = [...]string{hemlocktally.AttemptFirst: "First", hemlocktally.AttemptRetry: "Retry", hemlocktally.AttemptHedge: "Hedge"}
	outcomeNames = [...]string{
		hemlocktally.AttemptDone: "Done", hemlocktally.AttemptUnused: "Unused", hemlocktally.AttemptRefused: "Refused",
		hemlocktally.AttemptFailed: "Failed", hemlocktally.AttemptTimedOut: "TimedOut", hemlocktally.AttemptCancelled: "Cancelled",
	}
)

// attemptsText formats the attempts of a call in one line for the log.
func attemptsText(attempts []hemlocktally.AttemptRecord) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		switch {
		case a.Peer != "":
			fmt.Fprintf(&b, "%s handed over to %s at %s: %s after %s", kindNames[a.Kind], a.Peer, a.Started, outcomeNames[a.Outcome], a.Took)
		case a.Target == "":
			fmt.Fprintf(&b, "%s without a target at %s", kindNames[a.Kind], a.Started)
		default:
			fmt.Fprintf(&b, "%s %s by %s at %s: %s after %s", kindNames[a.Kind], a.Target, a.Owner, a.Started, outcomeNames[a.Outcome], a.Took)
		}
		if a.Alone {
			b.WriteString(" alone")
		}
		if a.HeldBy != "" {
			b.WriteString(" (held back: " + a.HeldBy + ")")
		}
		if a.Detail != "" {
			b.WriteString(" (" + a.Detail + ")")
		}
	}
	return b.String()
}
