package logger

import "github.com/sirupsen/logrus"

// Events of accepting and serving calls, 2000 to 2999.
var (
	EventCallInvariant = Event{
		Number: 2001, Name: "call invariant violated", Level: logrus.ErrorLevel,
		Fields:  []string{"Call", "Invariant"},
		Meaning: "The attempts of a call violated an invariant.",
		Action:  "Keep the log and report a bug; look up the call by its ID at the target.",
	}
	EventClaimOutcomeUnreported = Event{
		Number: 2002, Name: "claim outcome not reported", Level: logrus.WarnLevel,
		Fields:  []string{"Call", "Outcome", "Cause"},
		Meaning: "The outcome of a call could not be reported to the holder of its idempotency key.",
		Action:  "None; a retry with the same key is answered with Unknown once the fence has passed.",
	}
	EventReadinessWithdrawn = Event{
		Number: 2003, Name: "readiness withdrawn", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Settle"},
		Meaning: "The instance reports that it is not ready; it still serves calls until the platform's load balancer has noticed.",
		Action:  "None, if it was planned.",
	}
	EventUnusualCall = Event{
		Number: 2004, Name: "call refused, failed, retried or slow", Level: logrus.InfoLevel,
		Fields: []string{
			"Call", "Request", "Contract", "Service", "Revision", "Outcome", "Reason", "Detail", "Status", "Total", "Queue", "Serving", "Objective", "Attempts",
		},
		Meaning: "One line for each call that was not answered in time by its first attempt. Queue is the time until a target was granted, Serving the time spent at its targets. Attempts lists kind, target, outcome and time of each attempt. Request is given while any request is suspected of crashing its targets.",
		Action:  "None for a single call; `hemlocktally explain` combines the lines of several instances.",
	}
	EventReadAheadMismatch = Event{
		Number: 2005, Name: "request differs from the one read ahead", Level: logrus.ErrorLevel,
		Fields:  []string{"Caller", "Path", "Ahead"},
		Meaning: "The server read a different request than the one that was read ahead at that position of the connection. The connection is aborted and no part of the response is sent.",
		Action:  "Keep the log and report a bug.",
	}
	EventReadAheadCancelled = Event{
		Number: 2006, Name: "connection lost with requests read ahead", Level: logrus.InfoLevel,
		Fields:  []string{"Caller", "Requests", "Cause"},
		Meaning: "A caller's connection ended while further pipelined requests of it were being served. They are cancelled.",
		Action:  "None.",
	}
	EventTargetBrokeOff = Event{
		Number: 2008, Name: "target broke off a call", Level: logrus.InfoLevel,
		Fields:  []string{"Call", "Request", "Service", "Target", "Address", "Crashed", "Cause"},
		Meaning: "The connection to the target ended after the request was sent and before the response was complete. Crashed is set if the target's host refuses connections since then. Request is the same whenever the same caller sends the same request again.",
		Action:  "If several lines with Crashed have the same Request, look for what it does to the target.",
	}
	EventRequestHeld = Event{
		Number: 2009, Name: "request held back", Level: logrus.WarnLevel,
		Fields:  []string{"Request", "Service", "Crashes", "For", "HeardFrom"},
		Meaning: "The request crashed several targets, one after the other. The instance refuses it from now on, as Quarantined, and tries it again on one target after the given time. Crashes lists the targets, how long ago they crashed and the instances that reported it; HeardFrom is the hub that told, if this instance did not see the last one.",
		Action:  "docs/operators/quarantine.md: find the request by event 2008, and what it does to the targets.",
	}
	EventRequestReleased = Event{
		Number: 2010, Name: "request released", Level: logrus.InfoLevel,
		Fields:  []string{"Request", "Service", "By", "HeardFrom"},
		Meaning: "The request is held back no longer: a target completed it or an operator released it, as By says; By is empty if it did not come for long.",
		Action:  "None.",
	}
	EventSuspectsUnreported = Event{
		Number: 2011, Name: "crashes not reported to hub", Level: logrus.InfoLevel,
		Fields:  []string{"Hub", "Cause"},
		Meaning: "A report of a request that crashed a target, or was cleared, did not reach the hub. It goes along with the next request to it.",
		Action:  "Check the named instance if this continues.",
	}
	EventCallNotHandedOver = Event{
		Number: 2012, Name: "instance did not take a call over", Level: logrus.InfoLevel,
		Fields:  []string{"Peer", "Cause"},
		Meaning: "This instance reaches no targets, and the named one could not be reached or can't serve the call either. The next one is tried.",
		Action:  "Check the named instance, and this one's network: event 3012.",
	}
	EventHeldRequestNotKept = Event{
		Number: 2013, Name: "held request not kept", Level: logrus.InfoLevel,
		Fields:  []string{"Request", "Cause"},
		Meaning: "A hub could not write a request that is held back to the store, or remove one. It tries again; until then the request is forgotten if all instances restart.",
		Action:  "None, unless it continues: then check the store.",
	}
	EventCallerRefused = Event{
		Number: 2050, Name: "callers refused or closed", Level: logrus.InfoLevel,
		Fields:  []string{"Kind", "Count", "Caller"},
		Meaning: "Callers make the instance hold more than they may, or one of them sent what no well-behaved caller sends. Kind says why, Count how many were refused or closed since the last line of the kind, Caller is the address of the last one. At most one line a second for each kind.",
		Action:  "docs/operators/untrusted-clients.md.",
	}
	EventResponseNotHeld = Event{
		Number: 2007, Name: "large response streamed before later ones", Level: logrus.InfoLevel,
		Fields:  []string{"Call", "Target", "Bytes"},
		Meaning: "The response is too large to be held in memory until it is complete, although later requests of its connection are being served. If its target breaks it off, their responses are lost.",
		Action:  "None; callers can send requests for large responses on connections of their own.",
	}
)

var entryEvents = []Event{EventCallInvariant, EventClaimOutcomeUnreported, EventReadinessWithdrawn, EventUnusualCall, EventReadAheadMismatch, EventReadAheadCancelled, EventResponseNotHeld, EventCallerRefused, EventTargetBrokeOff, EventRequestHeld, EventRequestReleased, EventSuspectsUnreported, EventCallNotHandedOver, EventHeldRequestNotKept}
