package allocator

import (
	"slices"
	"sync"
	"time"

	"hemlocktally"
)

// Ledger holds what one entry uses and knows: its turns in flight, and which
// targets the owners last said to be warm. It is safe for use by several
// goroutines; its zero value is empty.
type Ledger struct {
	mu          sync.Mutex
	grants      map[hemlocktally.GrantID]trackedGrant
	warmReports map[hemlocktally.ServiceName]warmReport
	lastContact map[hemlocktally.InstanceID]time.Time
}

type trackedGrant struct {
	InFlightGrant
	owner hemlocktally.InstanceID
}

type warmReport struct {
	owner hemlocktally.InstanceID
	warm  []hemlocktally.TargetName
}

// knowledgeTime is how long an owner's word on its targets counts.
const warmReportLifetime = 5 * time.Second

func (l *Ledger) add(grant hemlocktally.Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grants == nil {
		l.grants = map[hemlocktally.GrantID]trackedGrant{}
	}
	l.grants[grant.ID] = trackedGrant{owner: grant.Owner, InFlightGrant: InFlightGrant{
		Grant: grant.ID, Service: grant.Service, Target: grant.Target.Name, Started: now, Deadline: grant.Deadline,
	}}
}

func (l *Ledger) remove(id hemlocktally.GrantID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.grants, id)
}

// turnsOf returns the turns on services that the filter wants, or that the
// owner granted.
func (l *Ledger) grantsFor(owner hemlocktally.InstanceID, include func(hemlocktally.ServiceName) bool) []InFlightGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	var grants []InFlightGrant
	for _, tracked := range l.grants {
		if tracked.owner == owner || include(tracked.Service) {
			grants = append(grants, tracked.InFlightGrant)
		}
	}
	return grants
}

// hear notes that an owner lives, and with it all that it said before.
func (l *Ledger) recordContact(owner hemlocktally.InstanceID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastContact == nil {
		l.lastContact = map[hemlocktally.InstanceID]time.Time{}
	}
	l.lastContact[owner] = now
}

// learn takes over an owner's word on its targets. Of targets of which it has
// heard nothing itself, as one that has just taken over, the word before stays:
// else two changes of the owner in a row would leave no target known as warm.
func (l *Ledger) recordWarm(owner hemlocktally.InstanceID, service hemlocktally.ServiceName, warm, unheard []hemlocktally.TargetName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.warmReports[service].warm {
		if slices.Contains(unheard, known) {
			warm = append(warm, known)
		}
	}
	if l.warmReports == nil {
		l.warmReports = map[hemlocktally.ServiceName]warmReport{}
	}
	l.warmReports[service] = warmReport{owner: owner, warm: warm}
}

// chill forgets that a target is warm.
func (l *Ledger) forgetWarm(service hemlocktally.ServiceName, target hemlocktally.TargetName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.warmReports[service]
	if i := slices.Index(report.warm, target); i >= 0 {
		report.warm = slices.Delete(slices.Clone(report.warm), i, i+1)
		l.warmReports[service] = report
	}
}

// warm returns the targets that an owner lately said to be warm.
func (l *Ledger) warmTargets(service hemlocktally.ServiceName, now time.Time) []hemlocktally.TargetName {
	l.mu.Lock()
	defer l.mu.Unlock()
	report, ok := l.warmReports[service]
	if !ok || now.Sub(l.lastContact[report.owner]) > warmReportLifetime {
		return nil
	}
	return report.warm
}

// Warm reports whether an owner lately said that the target is warm.
func (l *Ledger) Warm(service hemlocktally.ServiceName, target hemlocktally.TargetName) bool {
	return slices.Contains(l.warmTargets(service, time.Now()), target)
}
