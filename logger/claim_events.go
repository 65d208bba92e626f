package logger

import "github.com/sirupsen/logrus"

// Events of claims, 5000 to 5999.
var (
	EventClaimsTaken = Event{
		Number: 5001, Name: "ranges of keys taken over", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The instance holds ranges that were free or whose holder's lease is over, without the earlier records.",
		Action:  "None. Callers whose keys may have been seen before get Unknown.",
	}
	EventClaimsReceived = Event{
		Number: 5002, Name: "ranges of keys received", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "Another instance handed ranges over with all their records.",
		Action:  "None.",
	}
	EventClaimsResumed = Event{
		Number: 5003, Name: "ranges of keys resumed", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The instance lost its lease and got its ranges back, with their records, before anyone else had them.",
		Action:  "None.",
	}
	EventClaimsHandedOver = Event{
		Number: 5004, Name: "ranges of keys handed over", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The next holder has the ranges and their records.",
		Action:  "None.",
	}
	EventClaimsHandOverFailed = Event{
		Number: 5005, Name: "hand-over of ranges failed", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The next holder or the store did not take the ranges; the instance goes on holding them.",
		Action:  "None, unless it goes on for minutes: then look at the store and the peer.",
	}
	EventClaimsLost = Event{
		Number: 5006, Name: "ranges of keys lost", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Ranges", "Detail"},
		Meaning: "The instance's lease is over; it answers for no key until it has the ranges again.",
		Action:  "Look at the store and at pauses of the instance.",
	}
	EventClaimInvariant = Event{
		Number: 5099, Name: "claim invariant broken", Level: logrus.ErrorLevel,
		Fields:  []string{"Instance", "Detail"},
		Meaning: "A promise on claims was found broken.",
		Action:  "Keep the logs of all instances and report it.",
	}
)

var claimEvents = []Event{
	EventClaimsTaken, EventClaimsReceived, EventClaimsResumed, EventClaimsHandedOver, EventClaimsHandOverFailed,
	EventClaimsLost, EventClaimInvariant,
}
