package hemlocktally

import "time"

// TargetCrash is a crash of a target while it ran a request.
type TargetCrash struct {
	Target     TargetName
	Started    int64 // Started tells the incarnations of the target apart.
	At         time.Time
	ReportedBy InstanceID // ReportedBy is the instance whose attempt the crash broke off.
}

// Suspect is a request under which targets crashed.
type Suspect struct {
	Request Fingerprint
	Service ServiceName
	Crashes []TargetCrash // Crashes holds the crashes since the request was last cleared.
	// ClearedAt is when a target last completed the request, or operators released it; zero
	// means never.
	ClearedAt time.Time
	ClearedBy string // ClearedBy names the target or the operator.
}

// Verdict says whether a request may be sent to a target.
type Verdict int32

// The verdicts.
const (
	VerdictSend  Verdict = iota // VerdictSend lets the request through.
	VerdictHold                 // VerdictHold refuses the request.
	VerdictTrial                // VerdictTrial lets it through if the service's owner grants it the only trial.
)

// Quarantine holds back requests that crash the targets that run them.
type Quarantine interface {
	// Empty reports whether no request is suspected. Check and RecordCompletion need not be
	// called then.
	Empty() bool
	// Check returns the verdict on a request, with the refusal for one that must not be sent.
	Check(request Fingerprint) (Verdict, *RefusedError)
	// RecordCrash records that a target crashed under a request.
	RecordCrash(request Fingerprint, service ServiceName, target Target)
	// RecordCompletion records that a target completed a request.
	RecordCompletion(request Fingerprint, target TargetName)
}
