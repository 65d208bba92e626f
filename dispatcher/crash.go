package dispatcher

import (
	"context"

	"hemlocktally"
	"hemlocktally/logger"
)

// checkCrash finds out whether the target crashed during an attempt that it broke off, or only
// the connection broke, and logs it. A target that is known to live was not crashed by the
// request. One that does not answer proves nothing: the network may be at fault, as it is where this
// instance reaches hardly any target of the service.
func (a *attempt) checkCrash(ctx context.Context, cause string) bool {
	d := a.call.dispatcher
	if d.CrashDetector == nil {
		return false
	}
	crashed := !a.isolated() && d.CrashDetector.RefusesConnections(context.WithoutCancel(ctx), a.grant.Target)
	if crashed {
		d.crashes.Add(1)
		if d.Quarantine != nil {
			d.Quarantine.RecordCrash(a.call.fingerprint(), a.grant.Service, a.grant.Target)
		}
	}
	d.Log.Log(logger.EventTargetBrokeOff, logger.Fields{
		"Call": a.call.record.Call, "Request": a.call.fingerprint(), "Service": a.grant.Service, "Target": a.grant.Target.Name,
		"Address": a.grant.Target.Address, "Crashed": crashed, "Cause": cause,
	})
	return crashed
}

// reportFailure reports that the target could not be reached, or that its connection failed.
func (a *attempt) reportFailure() {
	if r := a.call.dispatcher.Reachability; r != nil {
		r.Failed(a.grant.Service, a.grant.Target)
	}
}

// brokenOff reports whether the target or the connection failed after the request was sent.
func brokenOff(failed *FailedMsg) bool {
	reason := failed.Error.Reason
	interrupted := reason == hemlocktally.ReasonTargetFailed || reason == hemlocktally.ReasonAnswerBroken
	return interrupted && failed.Sent && !failed.DeclaredNotRun
}

// Crashes returns how many attempts ended with a crash of their target.
func (d *Dispatcher) Crashes() uint64 { return d.crashes.Load() }
