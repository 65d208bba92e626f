package logger

import "github.com/sirupsen/logrus"

// Events of owners and routing, 3000 to 3999.
var (
	EventInvariantBroken = Event{
		Number: 3001, Name: "invariant broken", Level: logrus.ErrorLevel,
		Fields:  []string{"Service", "Invariant", "Detail"},
		Meaning: "An owner's step did something that must never happen.",
		Action:  "Report it with the line; it is an error of the program.",
	}
	EventTargetState = Event{
		Number: 3002, Name: "target changed its state", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "State", "Reason"},
		Meaning: "The owner of the service gives the target more or less work from now on.",
		Action:  "None, unless a target stays cold or draining.",
	}
	EventOwnerSilent = Event{
		Number: 3003, Name: "owner does not answer", Level: logrus.WarnLevel,
		Fields:  []string{"Owner", "Cause"},
		Meaning: "The instance asks the next owner in line, and decides alone meanwhile.",
		Action:  "Look at the named instance where this goes on.",
	}
	EventStandingLost = Event{
		Number: 3004, Name: "cold targets wait", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Detail"},
		Meaning: "Not every member confirmed this instance's view, so its cold targets get no work and nothing is probed.",
		Action:  "Look for a member that does not answer or has another view.",
	}
	EventStandingGained = Event{
		Number: 3005, Name: "cold targets served", Level: logrus.InfoLevel,
		Fields:  []string{"Instance"},
		Meaning: "Every member confirmed this instance's view; it alone serves the cold targets of its services.",
		Action:  "None.",
	}
	EventTargetSilent = Event{
		Number: 3006, Name: "target did not tell its load", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "Cause"},
		Meaning: "A question about load brought no answer; the target gets no work for a moment.",
		Action:  "Look at the target where this goes on.",
	}
	EventTurn = Event{
		Number: 3007, Name: "turn on a target", Level: logrus.DebugLevel,
		Fields:  []string{"Call", "Service", "Target", "Owner", "Alone", "Cold", "Expected", "Pace", "Age", "Waited"},
		Meaning: "The call goes to the target. Expected, Pace and Age (of the pace's report) are known where the instance decided itself.",
		Action:  "None.",
	}
	EventTargetLeaving = Event{
		Number: 3008, Name: "target leaves", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "Address"},
		Meaning: "An answer of the target said that it leaves. This instance sends it nothing more in this life of it.",
		Action:  "None.",
	}
)

var tallyEvents = []Event{
	EventInvariantBroken, EventTargetState, EventOwnerSilent, EventStandingLost, EventStandingGained, EventTargetSilent, EventTurn, EventTargetLeaving,
}
