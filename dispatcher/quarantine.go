package dispatcher

import "hemlocktally"

// checkQuarantine returns the verdict on the call's request, with the refusal if it is held
// back.
func (a *attempt) checkQuarantine() (hemlocktally.Verdict, *hemlocktally.RefusedError) {
	quarantine := a.call.dispatcher.Quarantine
	if quarantine == nil || quarantine.Empty() {
		return hemlocktally.VerdictSend, nil
	}
	return quarantine.Check(a.call.fingerprint())
}

// trial returns what a grant for the only trial of a request names; zero if the attempt is none.
func (a *attempt) trial(verdict hemlocktally.Verdict) hemlocktally.Fingerprint {
	if verdict != hemlocktally.VerdictTrial {
		return hemlocktally.Fingerprint{}
	}
	return a.call.fingerprint()
}

// recordCompletion clears the request of the suspicion that it crashes its targets.
func (a *attempt) recordCompletion() {
	if quarantine := a.call.dispatcher.Quarantine; quarantine != nil && !quarantine.Empty() {
		quarantine.RecordCompletion(a.call.fingerprint(), a.grant.Target.Name)
	}
}

func quarantinedError() *hemlocktally.RefusedError {
	return notRunError(hemlocktally.ReasonQuarantined, "the request crashed several targets and is tried again by another call")
}
