// Package placer decides which target serves a call. The owner of a service keeps the exact
// count of calls in flight on each target, combines it with the load that targets report,
// probes targets whose reports are too old for a choice, and issues grants by priority.
// Decisions are pure steps of State. Server runs a State for each service that an instance
// owns, and Client requests grants on behalf of the callers' entry point.
package placer

import (
	"time"

	"hemlocktally"
	"hemlocktally/promoter"
)

// Bounds limit the retries and probes of one State.
type Bounds struct {
	RetryRatio  float64       // RetryRatio is the share of calls that may be retried.
	RetryWindow time.Duration // RetryWindow is the time window of RetryRatio and RetrySlack.
	RetrySlack  float64       // RetrySlack is the number of retries allowed per window in addition to the ratio.
	// ColdShare is the share of a cold target's rate that is used. Cold targets get no calls
	// if it is zero.
	ColdShare float64
	// ProbesPerSecond limits the probes of one target. Only the built-in minimum interval
	// applies if it is not positive.
	ProbesPerSecond float64
	// PricePerMB is the time that a call must gain to justify one megabyte between zones, and
	// ZoneDelay the time that a message takes from one zone to another.
	PricePerMB time.Duration
	ZoneDelay  time.Duration
	// Rollouts limit what a new version of the targets' software may get; if they are off, versions
	// are ignored.
	Rollouts promoter.Bounds
	// Disabled holds the mechanisms that are disabled, for measuring what they contribute.
	Disabled hemlocktally.Mechanisms
}

// Messages to the state.
type (
	// TargetsMsg replaces the targets of the service.
	TargetsMsg struct {
		Service  hemlocktally.Service
		Targets  []hemlocktally.Registration
		Out      map[hemlocktally.ZoneName]bool // Out holds the zones that are out of service.
		Revision hemlocktally.Revision
		// Instances is the estimated number of instances in the fleet. A state that decides
		// alone uses only its share of the retry slack.
		Instances int
		// Spillover is set if the owner weighs the zones against each other by demand and cost.
		// Otherwise calls leave their zone by localTimeShare and crossZonePenalty.
		Spillover bool
		// LargeResponses holds the contracts of the service with large responses.
		LargeResponses []hemlocktally.ContractName
		// Customers share the capacity of the service; without any, the calls are served by
		// priority and objective.
		Customers []hemlocktally.Customer
		// Rollout is what the store says of the rollout of the service.
		Rollout hemlocktally.Rollout
	}
	// AcquireMsg requests a grant. The client sends it again with the same ticket until it
	// gets a grant or a refusal.
	AcquireMsg struct {
		Ticket  string
		From    hemlocktally.InstanceID
		Zone    hemlocktally.ZoneName
		Request hemlocktally.GrantRequest
		ReplyBy time.Time // ReplyBy is when a reply is due, even if it is only a PendingCmd.
		// Limits holds what the client knows of targets' limits and has not told this server.
		Limits []hemlocktally.TargetLimit
		// LimitsVersion is the version of the last LimitNews that the client got from this
		// server.
		LimitsVersion uint64
		// Sent is how many calls of the customer the client has sent in the parts of the last
		// window, the latest first.
		Sent []uint32
	}
	// WithdrawMsg cancels a request.
	WithdrawMsg struct{ Ticket string }
	// ReleaseMsg returns a grant with its result.
	ReleaseMsg struct{ Result hemlocktally.GrantResult }
	// LoadReportMsg is a target's answer to a probe.
	LoadReportMsg struct {
		Target hemlocktally.TargetName
		Answer hemlocktally.ResponseInfo
		Failed bool
	}
	// RankMsg tells an owner its place among the owners of the service.
	RankMsg struct {
		Rank    Rank
		Rollout promoter.RankMsg
	}
	// TickMsg makes the state act on the time that has passed.
	TickMsg struct{}
)

// Commands of the state.
type (
	// GrantCmd replies to a ticket with a grant.
	GrantCmd struct {
		Ticket    string
		Grant     hemlocktally.Grant
		Rationale Rationale
		News      LimitNews
	}
	// RefuseCmd replies to a ticket with a refusal.
	RefuseCmd struct {
		Ticket string
		Error  *hemlocktally.RefusedError
		News   LimitNews
	}
	// PendingCmd tells the client of a ticket to ask again.
	PendingCmd struct {
		Ticket string
		News   LimitNews
	}
	// ProbeCmd requests a target's load report.
	ProbeCmd struct {
		Target hemlocktally.Target
		Path   string
	}
	// LimitCmd reports that the state counts calls to a target against another limit than
	// before.
	LimitCmd struct {
		Target     hemlocktally.TargetName
		Limit      hemlocktally.RateLimit
		Before     hemlocktally.RateLimit
		ReportedBy hemlocktally.InstanceID // ReportedBy is the instance that reported the limit.
	}
)

// LimitNews tells a client the limits that changed since an earlier version, so that it knows
// them when it has to decide alone.
type LimitNews struct {
	Limits  []hemlocktally.TargetLimit
	Version uint64 // Version is zero while no target has ever named a limit.
}

// Rationale is the data that a choice was based on, for the log.
type Rationale struct {
	Expected time.Duration // Expected is the expected latency of the call on the target.
	Pace     float64
	Age      time.Duration // Age is the age of the reported pace, or negative if there is none.
	Busy     int
	Waiting  int // Waiting is the number of other calls queued for the service.
	// Left is why the call leaves its caller's zone; empty if it does not, or if the state does
	// not weigh the zones.
	Left LeaveReason
	From hemlocktally.ZoneName // From is the caller's zone.
}
