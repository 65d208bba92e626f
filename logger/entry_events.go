package logger

import "github.com/sirupsen/logrus"

// Events of the entry path, 2000 to 2999.
var (
	EventEntryInvariant = Event{
		Number: 2001, Name: "entry invariant broken", Level: logrus.ErrorLevel,
		Fields:  []string{"Call", "Invariant"},
		Meaning: "The attempts of a call went against a rule that must always hold.",
		Action:  "Keep the log and report it; look the call up by its ID at the target.",
	}
	EventClaimUnfinished = Event{
		Number: 2002, Name: "claim not finished", Level: logrus.WarnLevel,
		Fields:  []string{"Call", "Outcome", "Cause"},
		Meaning: "The holder of a key could not be told what came of its call.",
		Action:  "None; a retry with the same key is answered Unknown once the fence has passed.",
	}
	EventSettling = Event{
		Number: 2003, Name: "entry settling", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Settle"},
		Meaning: "The instance is no longer ready; it still serves until the platform's balancer has seen that.",
		Action:  "None, where it was planned.",
	}
	EventCallTroubled = Event{
		Number: 2004, Name: "call refused, failed, repeated or late", Level: logrus.InfoLevel,
		Fields: []string{
			"Call", "Contract", "Service", "Revision", "Outcome", "Reason", "Detail", "Status", "Total", "Queue", "Serving", "Objective", "Attempts",
		},
		Meaning: "One line for each call that was not answered promptly by its first attempt. Queue is the time until it had a turn, Serving that of its targets. Attempts lists kind, target, outcome and time of each.",
		Action:  "None for a single call; `hemlocktally explain` joins the lines of several instances.",
	}
	EventAheadDiffers = Event{
		Number: 2005, Name: "request read ahead differs", Level: logrus.ErrorLevel,
		Fields:  []string{"Caller", "Path", "Ahead"},
		Meaning: "The server read another request than the one that was read ahead at that place. The connection is cut and nothing of the answer is sent.",
		Action:  "Keep the log and report it.",
	}
	EventAheadLost = Event{
		Number: 2006, Name: "caller left with requests read ahead", Level: logrus.InfoLevel,
		Fields:  []string{"Caller", "Requests", "Cause"},
		Meaning: "A caller's connection ended while further requests of it were being served. They are cancelled.",
		Action:  "None.",
	}
)

var entryEvents = []Event{EventEntryInvariant, EventClaimUnfinished, EventSettling, EventCallTroubled, EventAheadDiffers, EventAheadLost}
