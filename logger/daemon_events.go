package logger

import "github.com/sirupsen/logrus"

// Events of the daemon as a whole, 1000 to 1999.
var (
	EventStarted = Event{
		Number: 1001, Name: "instance started", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Zone", "Callers", "Peers", "Operators"},
		Meaning: "The instance listens on its three addresses.",
		Action:  "None.",
	}
	EventStopping = Event{
		Number: 1002, Name: "instance stopping", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Cause"},
		Meaning: "A graceful shutdown began: no new calls, calls in flight are finished.",
		Action:  "None, where it was planned.",
	}
	EventStopped = Event{
		Number: 1003, Name: "instance stopped", Level: logrus.InfoLevel,
		Fields:  []string{"Instance"},
		Meaning: "All tasks of the instance have ended.",
		Action:  "None.",
	}
)

var daemonEvents = []Event{EventStarted, EventStopping, EventStopped}
