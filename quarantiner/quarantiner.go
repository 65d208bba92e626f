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
