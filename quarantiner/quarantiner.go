// Package quarantiner holds back requests that crash the targets that run them. Such a request
// comes again, at any instance, and would end one target after the other.
//
// State is what an instance knows of suspected requests. Crashes and completions that
// instances report are merged into it, in any order and any number of times, so that all
// instances that know the same reports come to the same verdict. Quarantiner exchanges them:
// an instance reports to all hubs at once, a hub tells an instance in its answers, and an
// instance tells a hub what that has not been told.
package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hemlocktally"
	"hemlocktally/logger"
)

const (
	// crashesToHold is how many crashes a request is held back after.
	crashesToHold = 3
	// crashesToShare is the number of crashes from which hubs tell all instances of a request,
	// so that one at which it completes can clear it.
	crashesToShare = 2
	// commonCause is the span in which several crashes count as one: a request can't be blamed
	// for what befalls several targets at the same moment.
	commonCause = 50 * time.Millisecond
	// suspicionTTL is how long a crash, or a completion, is remembered while the request is not
	// held back.
	suspicionTTL = 10 * time.Minute
	// firstHold is how long after its last crash a request is held back. It doubles with each
	// trial that ends with a crash.
	firstHold = 10 * time.Minute
	maxHold   = 24 * time.Hour
	// trialTime is how long a trial may take before another one may start.
	trialTime = 30 * time.Second
	// maxSuspects limits the requests that are remembered; maxCrashes the crashes of each.
	maxSuspects = 1024
	maxCrashes  = 16
	// maxSuspectsTold limits the requests in one message.
	maxSuspectsTold = 64
	// forgetInterval is the minimum time between two scans for outdated entries.
	forgetInterval = time.Second
)

// Messages to the state.
type (
	// CrashMsg reports that a target crashed under a request.
	CrashMsg struct {
		Request hemlocktally.Fingerprint
		Service hemlocktally.ServiceName
		Crash   hemlocktally.TargetCrash
	}
	// ClearMsg reports that a target completed a request, or that operators released it.
	ClearMsg struct {
		Request hemlocktally.Fingerprint
		By      string
	}
	// SuspectsMsg holds what another instance knows.
	SuspectsMsg struct{ Suspects []hemlocktally.Suspect }
	// TrialMsg asks for the trial of a request that was held back long enough.
	TrialMsg struct {
		Request hemlocktally.Fingerprint
		Ticket  string
	}
)

// Commands of the state.
type (
	// HoldCmd reports that a request is held back from now on.
	HoldCmd struct {
		Suspect hemlocktally.Suspect
		Until   time.Time
	}
	// ReleaseCmd reports that a request is held back no longer.
	ReleaseCmd struct{ Suspect hemlocktally.Suspect }
	// ShareCmd asks for the request's reports to be sent to the hubs at once.
	ShareCmd struct{ Request hemlocktally.Fingerprint }
	// GrantTrialCmd grants the trial.
	GrantTrialCmd struct{}
)

// exchangeTimeout limits one report to a hub.
const exchangeTimeout = 150 * time.Millisecond

// Quarantiner is the quarantine of one instance. It implements hemlocktally.Quarantine and
// messenger.Quarantine. The exported fields must be set before use.
type Quarantiner struct {
	Self     hemlocktally.InstanceID
	View     hemlocktally.ViewSource // View lists the hubs.
	HTTP     *http.Client
	Log      logger.Logger
	Disabled hemlocktally.Mechanisms // Disabled holds the mechanisms that are disabled.
	Keeper   *Keeper                 // Keeper keeps what is held back in the store; it may be nil.

	size    atomic.Int64 // size is State.Len. It spares most calls the lock.
	refused atomic.Uint64
	mu      sync.Mutex
	state   State
	peers   map[hemlocktally.InstanceID]exchange
}

// Empty implements hemlocktally.Quarantine.
func (q *Quarantiner) Empty() bool { return q.size.Load() == 0 }

// Check implements hemlocktally.Quarantine.
func (q *Quarantiner) Check(request hemlocktally.Fingerprint) (hemlocktally.Verdict, *hemlocktally.RefusedError) {
	if q.Disabled.Has(hemlocktally.MechanismQuarantine) {
		return hemlocktally.VerdictSend, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	verdict, suspect, until := q.state.Verdict(request, now)
	if verdict != hemlocktally.VerdictHold {
		return verdict, nil
	}
	q.refused.Add(1)
	return verdict, &hemlocktally.RefusedError{
		Outcome: hemlocktally.OutcomeNotRun, Reason: hemlocktally.ReasonQuarantined, RetryAfter: until.Sub(now),
		Detail: fmt.Sprintf("request %s crashed %d targets: %s", request, len(suspect.Crashes), CrashesText(suspect, now)),
	}
}

// RecordCrash implements hemlocktally.Quarantine.
func (q *Quarantiner) RecordCrash(request hemlocktally.Fingerprint, service hemlocktally.ServiceName, target hemlocktally.Target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(CrashMsg{Request: request, Service: service, Crash: hemlocktally.TargetCrash{
		Target: target.Name, Started: target.Started, At: time.Now(), ReportedBy: q.Self,
	}}, "")
}

// RecordCompletion implements hemlocktally.Quarantine.
func (q *Quarantiner) RecordCompletion(request hemlocktally.Fingerprint, target hemlocktally.TargetName) {
	q.Release(request, "completed by "+string(target)+" for "+string(q.Self))
}

// Release drops the suspicion against a request at all instances. It reports whether there was
// any.
func (q *Quarantiner) Release(request hemlocktally.Fingerprint, by string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.update(ClearMsg{Request: request, By: by}, "")
}

// Held returns the requests that are held back, those with the most crashes first.
func (q *Quarantiner) Held() []HoldCmd {
	q.mu.Lock()
	defer q.mu.Unlock()
	var held []HoldCmd
	for _, suspect := range q.state.Since(0, true) {
		if _, _, until := q.state.Verdict(suspect.Request, time.Now()); !until.IsZero() {
			held = append(held, HoldCmd{Suspect: suspect, Until: until})
		}
	}
	return held
}

// StartTrial reports whether the request may be tried once more on one target, for the ticket.
// It reserves the trial.
func (q *Quarantiner) StartTrial(request hemlocktally.Fingerprint, ticket string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Contains(q.state.Update(TrialMsg{Request: request, Ticket: ticket}, time.Now()), any(GrantTrialCmd{}))
}

// Stats returns how many requests are suspected and held back, and how many attempts were
// refused for it.
func (q *Quarantiner) Stats() (suspected, held int, refused uint64) {
	if q == nil {
		return 0, 0, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	suspected, held = q.state.Counts()
	return suspected, held, q.refused.Load()
}

// update changes the state, executes its commands and reports whether there were any. The lock
// is held. heardFrom is the hub that told what the message holds, if one did.
func (q *Quarantiner) update(msg any, heardFrom string) bool {
	if q.state.Run == 0 {
		q.state.Run = rand.Uint32() | 1
	}
	now := time.Now()
	commands := q.state.Update(msg, now)
	for _, command := range commands {
		switch command := command.(type) {
		case HoldCmd:
			q.Log.Log(logger.EventRequestHeld, logger.Fields{
				"Request": command.Suspect.Request, "Service": command.Suspect.Service, "Crashes": CrashesText(command.Suspect, now),
				"For": command.Until.Sub(now).String(), "HeardFrom": heardFrom,
			})
			if heardFrom != fromStore {
				q.Keeper.note(command)
			}
		case ReleaseCmd:
			q.Log.Log(logger.EventRequestReleased, logger.Fields{
				"Request": command.Suspect.Request, "Service": command.Suspect.Service, "By": command.Suspect.ClearedBy, "HeardFrom": heardFrom,
			})
			q.Keeper.note(command)
		case ShareCmd:
			q.announce()
		}
	}
	q.size.Store(int64(q.state.Len()))
	return len(commands) > 0
}

// CrashesText lists the crashes for the log.
func CrashesText(suspect hemlocktally.Suspect, now time.Time) string {
	texts := make([]string, 0, len(suspect.Crashes))
	for _, c := range suspect.Crashes {
		texts = append(texts, fmt.Sprintf("%s %s ago at %s", c.Target, now.Sub(c.At).Round(time.Millisecond), c.ReportedBy))
	}
	return strings.Join(texts, ", ")
}
