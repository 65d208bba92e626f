package allocator

import (
	"slices"
	"sync"
	"time"

	"hemlocktally"
)

// GrantRegistry holds the grants that one instance has in flight, and the targets that
// owners last reported to it as warm. It is safe for concurrent use; the zero
// value is empty.
type GrantRegistry struct {
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

// warmReportLifetime is how long after the last contact with an owner its
// reports are valid.
const warmReportLifetime = 5 * time.Second

func (l *GrantRegistry) add(grant hemlocktally.Grant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grants == nil {
		l.grants = map[hemlocktally.GrantID]trackedGrant{}
	}
	l.grants[grant.ID] = trackedGrant{owner: grant.Owner, InFlightGrant: InFlightGrant{
		Grant: grant.ID, Service: grant.Service, Target: grant.Target.Name, Started: now, Deadline: grant.Deadline,
	}}
}

func (l *GrantRegistry) remove(id hemlocktally.GrantID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.grants, id)
}

// grantsFor returns the grants that the owner issued, and all grants on services
// that the filter includes.
func (l *GrantRegistry) grantsFor(owner hemlocktally.InstanceID, include func(hemlocktally.ServiceName) bool) []InFlightGrant {
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

// recordContact records contact with an owner, which keeps all of its earlier
// reports valid.
func (l *GrantRegistry) recordContact(owner hemlocktally.InstanceID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastContact == nil {
		l.lastContact = map[hemlocktally.InstanceID]time.Time{}
	}
	l.lastContact[owner] = now
}

// recordWarm stores an owner's report of the warm targets of a service. An owner
// that has just taken over has observed nothing yet: targets that it lists as
// unobserved stay warm if the previous report had them. Without this, two changes
// of owner in a row would leave no target known as warm.
func (l *GrantRegistry) recordWarm(owner hemlocktally.InstanceID, service hemlocktally.ServiceName, warm, unheard []hemlocktally.TargetName) {
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

// forgetWarm removes a target from the warm targets of a service.
func (l *GrantRegistry) forgetWarm(service hemlocktally.ServiceName, target hemlocktally.TargetName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.warmReports[service]
	if i := slices.Index(report.warm, target); i >= 0 {
		report.warm = slices.Delete(slices.Clone(report.warm), i, i+1)
		l.warmReports[service] = report
	}
}

// warmTargets returns the targets that an owner reported as warm, or nil if the
// last contact with it is too long ago.
func (l *GrantRegistry) warmTargets(service hemlocktally.ServiceName, now time.Time) []hemlocktally.TargetName {
	l.mu.Lock()
	defer l.mu.Unlock()
	report, ok := l.warmReports[service]
	if !ok || now.Sub(l.lastContact[report.owner]) > warmReportLifetime {
		return nil
	}
	return report.warm
}

// Warm reports whether an owner recently reported the target as warm.
func (l *GrantRegistry) Warm(service hemlocktally.ServiceName, target hemlocktally.TargetName) bool {
	return slices.Contains(l.warmTargets(service, time.Now()), target)
}
