// Package placer decides which target serves a call. The owner of a service
// keeps the exact count of the calls in flight on each target, joins it with
// what targets report of their load, asks them where its knowledge is too old
// for the choice at hand, and hands out turns by priority. Decisions are pure
// steps of State; Server runs them for the services that an instance owns and
// Client asks for turns on behalf of the entry path.
package placer

import (
	"time"

	"hemlocktally"
)

// Bounds are what one decider may spend of the fleet's limits.
type Bounds struct {
	RetryRatio  float64       // RetryRatio is the share of calls that may be sent once more.
	RetryWindow time.Duration // RetryWindow is the span that RetryRatio and RetrySlack count over.
	RetrySlack  float64       // RetrySlack is how many calls may be sent once more beyond the ratio.
	// ColdShare is the part of a cold target's rate that is used; zero means that
	// cold targets get nothing.
	ColdShare float64
	// ProbesPerSecond bounds the questions to one target.
	ProbesPerSecond float64
	// Off are the mechanisms that are left off, to measure what they are worth.
	Off hemlocktally.Mechanisms
}

// Messages to the state.
type (
	// TargetsMsg holds all targets of the service.
	TargetsMsg struct {
		Service  hemlocktally.Service
		Targets  []hemlocktally.Registration
		Out      map[hemlocktally.ZoneName]bool // Out holds the zones that are out of service.
		Revision hemlocktally.Revision
		// Instances is how many instances there seem to be: one that decides alone
		// keeps to its part of the slack.
		Instances int
	}
	// AskMsg asks for a turn. The same ticket asks again until it is answered.
	AskMsg struct {
		Ticket  string
		From    hemlocktally.InstanceID
		Zone    hemlocktally.ZoneName
		Request hemlocktally.GrantRequest
		Hold    time.Time // Hold is when an answer is due, if only that there is none yet.
	}
	// LeaveMsg withdraws a question.
	LeaveMsg struct{ Ticket string }
	// EndMsg gives a turn back.
	EndMsg struct{ Result hemlocktally.GrantResult }
	// LoadMsg brings a target's answer to a question about its load.
	LoadMsg struct {
		Target hemlocktally.TargetName
		Answer hemlocktally.AnswerHeader
		Failed bool
	}
	// TickMsg lets time pass.
	TickMsg struct{}
)

// Commands of the state.
type (
	// GrantCmd answers a ticket with a turn.
	GrantCmd struct {
		Ticket string
		Grant  hemlocktally.Grant
		Why    Why
	}
	// RefuseCmd answers a ticket with a refusal.
	RefuseCmd struct {
		Ticket string
		Error  *hemlocktally.RefusedError
	}
	// HoldCmd answers a ticket that it has to ask again.
	HoldCmd struct{ Ticket string }
	// ProbeCmd asks for a target's load.
	ProbeCmd struct {
		Target hemlocktally.Target
		Path   string
	}
)

// Why is what a choice was based on, for the log.
type Why struct {
	Expected time.Duration // Expected is how long the call should take there.
	Pace     float64
	Age      time.Duration // Age is how old the report of the pace is; negative means that there is none.
	Busy     int
	Waiting  int // Waiting is how many calls wait for the service.
}
