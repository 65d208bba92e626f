package logger

import "github.com/sirupsen/logrus"

// Events of owners and routing, 3000 to 3999. An owner is the instance that
// assigns the calls of a service to its targets.
var (
	EventOwnerInvariant = Event{
		Number: 3001, Name: "owner invariant violated", Level: logrus.ErrorLevel,
		Fields:  []string{"Service", "Invariant", "Detail"},
		Meaning: "An owner violated an invariant.",
		Action:  "Report a bug with this line.",
	}
	EventTargetState = Event{
		Number: 3002, Name: "target changed its state", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "State", "Reason"},
		Meaning: "The owner of the service sends more or fewer calls to the target from now on.",
		Action:  "None, unless a target stays cold or draining.",
	}
	EventOwnerUnresponsive = Event{
		Number: 3003, Name: "owner does not answer", Level: logrus.WarnLevel,
		Fields:  []string{"Owner", "Cause"},
		Meaning: "The instance asks the next owner in order, and chooses targets without an owner meanwhile.",
		Action:  "Check the named instance if this continues.",
	}
	EventColdTargetsWithheld = Event{
		Number: 3004, Name: "cold targets withheld", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Detail"},
		Meaning: "Not every member confirmed this instance's view, so its cold targets get no calls and no target is probed.",
		Action:  "Look for a member that does not respond or has a different view.",
	}
	EventColdTargetsServed = Event{
		Number: 3005, Name: "cold targets served", Level: logrus.InfoLevel,
		Fields:  []string{"Instance"},
		Meaning: "Every member confirmed this instance's view; it alone serves the cold targets of its services.",
		Action:  "None.",
	}
	EventLoadQueryFailed = Event{
		Number: 3006, Name: "target did not tell its load", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "Cause"},
		Meaning: "A load query got no response; the target gets no calls for a short time.",
		Action:  "Check the target if this continues.",
	}
	EventTargetGranted = Event{
		Number: 3007, Name: "target granted", Level: logrus.DebugLevel,
		Fields:  []string{"Call", "Service", "Target", "Owner", "Alone", "Cold", "Limit", "Expected", "Pace", "Age", "Waited"},
		Meaning: "The call is sent to the target. Expected, Pace and Age (of the report of Pace) are known if the instance chose the target itself.",
		Action:  "None.",
	}
	EventTargetLeaving = Event{
		Number: 3008, Name: "target leaving", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "Address"},
		Meaning: "A response of the target announced that it is shutting down. This instance sends it no more calls until it has restarted.",
		Action:  "None.",
	}
	EventTargetLimit = Event{
		Number: 3009, Name: "target limit changed", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "Limit", "Before", "Age", "HeardFrom"},
		Meaning: "The instance learned that the target names another limit of requests a second from all instances together, or none any more. HeardFrom is the owner that told it, or `alone` where the instance decided alone; it is empty if the target's response came to this instance. Age is how old that response is.",
		Action:  "Find out what the target lacks.",
	}
	EventResponseHeaderUnreadable = Event{
		Number: 3011, Name: "response header unreadable", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "Headers"},
		Meaning: "The values of these headers in a target's response can't be read or exceed what a target can have; they count as missing.",
		Action:  "Find out what wrote them.",
	}
	EventServiceIsolated = Event{
		Number: 3012, Name: "targets can't be reached", Level: logrus.WarnLevel,
		Fields:  []string{"Service", "Tried", "Reached"},
		Meaning: "Several targets of the service failed. Of the others that were tried then, at most one accepted a connection of this instance.",
		Action:  "If other instances report the same, look at the targets; otherwise at this instance's network.",
	}
	EventServiceReachable = Event{
		Number: 3013, Name: "targets can be reached again", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "After"},
		Meaning: "A target of the service accepts connections of this instance again.",
		Action:  "None.",
	}
	EventLimitCounted = Event{
		Number: 3010, Name: "target limit counted", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "Limit", "Before", "ReportedBy", "Alone", "Share"},
		Meaning: "The instance decides for the service and counts its calls to the target against another limit from now on, of which it uses Share. ReportedBy is the instance that reported it; it is empty if the grant had expired.",
		Action:  "None; docs/operators/limits.md.",
	}
	EventQuotaRefused = Event{
		Number: 3030, Name: "calls beyond a quota refused", Level: logrus.InfoLevel,
		Fields:  []string{"Customer", "Refused", "Quota", "Used", "Share"},
		Meaning: "The instance refused calls of the customer since the last line about it, at most one line in ten seconds. Quota is the number of calls in a window, Used how many of them are used by all hubs, Share the part that this hub may use.",
		Action:  "None; docs/operators/quotas.md.",
	}
	EventQuotaHubSilent = Event{
		Number: 3031, Name: "hub exchanges no counts", Level: logrus.WarnLevel,
		Fields:  []string{"Hub"},
		Meaning: "The hub has not answered for a second about the counts of customers' calls. An equal share of each quota is left to it.",
		Action:  "Check the named instance if this continues.",
	}
	EventSpilloverShare = Event{
		Number: 3040, Name: "share of calls that may leave their zone changed", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Zone", "Share", "Before", "Demand", "Capacity"},
		Meaning: "The owner of the service lets this share of the calls from the zone go to other zones because its own targets are too few. Demand and Capacity are in slots of targets at their usual speed.",
		Action:  "If it lasts, add targets in the zone; docs/operators/spillover.md.",
	}
	EventCallLeavesZone = Event{
		Number: 3041, Name: "call leaves its zone", Level: logrus.DebugLevel,
		Fields:  []string{"Service", "Ticket", "Zone", "Target", "TargetZone", "Reason"},
		Meaning: "The owner of the service chose a target outside the caller's zone. Reason is NoTargets, Full, Short or Slow.",
		Action:  "None; docs/operators/spillover.md.",
	}
)

var ownerEvents = []Event{
	EventQuotaRefused, EventQuotaHubSilent,
	EventOwnerInvariant, EventTargetState, EventOwnerUnresponsive, EventColdTargetsWithheld, EventColdTargetsServed, EventLoadQueryFailed, EventTargetGranted, EventTargetLeaving, EventTargetLimit, EventLimitCounted, EventResponseHeaderUnreadable, EventServiceIsolated, EventServiceReachable,
	EventSpilloverShare, EventCallLeavesZone,
}
