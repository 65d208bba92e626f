package logger

import "github.com/sirupsen/logrus"

// Events of rollouts, 3020 to 3029.
var (
	EventRolloutOrdered = Event{
		Number: 3020, Name: "rollout ordered", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Version", "Duration", "Removed"},
		Meaning: "Operators wrote an order to move the service to the targets of the version, or with Removed deleted it.",
		Action:  "None.",
	}
	EventRolloutChanged = Event{
		Number: 3021, Name: "rollout changed", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Version", "Phase", "Step", "Reason", "Share", "Calls", "Exposed", "Bad", "Remaining"},
		Meaning: "This instance decides on the rollout of the service and changed its phase or the share of calls for the version. Exposed is the number of calls that the version may have got, of Calls since the order; Remaining is the time until it has to be completed.",
		Action:  "If the phase is RolledBack, look at the version: Reason names what its results showed. Otherwise none.",
	}
	EventRolloutNotWritten = Event{
		Number: 3022, Name: "rollout not written", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Cause"},
		Meaning: "The record or the status of the service's rollout could not be written to the store. It is tried again.",
		Action:  "None, unless it continues: then check the store.",
	}
	EventVersionsBarred = Event{
		Number: 3023, Name: "versions in use changed", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "InUse", "Candidate", "Targets", "Barred", "Alone"},
		Meaning: "Of the service's Targets, Barred get no calls from this instance's decisions, because their version is neither in use nor the one that a rollout tests here.",
		Action:  "If Barred is not zero and no rollout is running, order the version or remove its targets: docs/operators/rollouts.md.",
	}
)

var rolloutEvents = []Event{EventRolloutOrdered, EventRolloutChanged, EventRolloutNotWritten, EventVersionsBarred}
