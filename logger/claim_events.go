package logger

import "github.com/sirupsen/logrus"

// Events of idempotency-key claims, 5000 to 5999.
var (
	EventClaimsTaken = Event{
		Number: 5001, Name: "key ranges taken over", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The instance took over ranges that were unassigned or whose holder's lease has expired, without the earlier records.",
		Action:  "None. Calls whose keys may have been used before are answered with Unknown.",
	}
	EventClaimsReceived = Event{
		Number: 5002, Name: "key ranges received", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "Another instance transferred ranges to this one with all their records.",
		Action:  "None.",
	}
	EventClaimsResumed = Event{
		Number: 5003, Name: "key ranges resumed", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The instance lost its lease and reacquired its ranges, with their records, before another instance held them.",
		Action:  "None.",
	}
	EventClaimsHandedOver = Event{
		Number: 5004, Name: "key ranges handed over", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The ranges and their records were transferred to the next holder.",
		Action:  "None.",
	}
	EventClaimsHandOverFailed = Event{
		Number: 5005, Name: "key range handover failed", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The next holder or the store did not accept the ranges; the instance keeps holding them.",
		Action:  "None, unless it continues for minutes: then check the store and the peer.",
	}
	EventClaimsLost = Event{
		Number: 5006, Name: "key ranges lost", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The instance's lease has expired; it serves no key until it holds the ranges again.",
		Action:  "Check the store, and whether the instance was paused.",
	}
	EventClaimInvariant = Event{
		Number: 5099, Name: "claim invariant broken", Level: logrus.ErrorLevel,
		Fields:  []string{"Instance", "Detail"},
		Meaning: "A violated invariant of claims was detected.",
		Action:  "Keep the logs of all instances and report a bug.",
	}
)

var claimEvents = []Event{
	EventClaimsTaken, EventClaimsReceived, EventClaimsResumed, EventClaimsHandedOver, EventClaimsHandOverFailed,
	EventClaimsLost, EventClaimInvariant,
}
