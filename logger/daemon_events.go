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
	EventStopCut = Event{
		Number: 1004, Name: "planned stop cut calls", Level: logrus.ErrorLevel,
		Fields:  []string{"Instance", "Cause"},
		Meaning: "The time for a planned stop was over before all calls had ended; their connections were closed.",
		Action:  "Compare the deadlines of the contracts with the time for a planned stop.",
	}
	EventReloaded = Event{
		Number: 1005, Name: "settings read again", Level: logrus.InfoLevel,
		Fields:  []string{"File", "Cause"},
		Meaning: "The instance was told that its settings changed and checked the file; Cause is empty where it can be used. Addresses and names hold until the next start.",
		Action:  "Correct the file where a cause is given.",
	}
	EventMetricsFailed = Event{
		Number: 1006, Name: "metrics not written", Level: logrus.WarnLevel,
		Fields:  []string{"Cause"},
		Meaning: "A reader of the metrics went away or was too slow.",
		Action:  "None, unless it goes on.",
	}
	EventLinesDropped = Event{
		Number: 1007, Name: "log lines dropped", Level: logrus.WarnLevel,
		Fields:  []string{"Lines", "Total"},
		Meaning: "Lines were over the budget a second, or nobody read the log.",
		Action:  "Read the log faster, or look at what floods it; counters and histograms are complete.",
	}
)

var daemonEvents = []Event{EventStarted, EventStopping, EventStopped, EventStopCut, EventReloaded, EventMetricsFailed, EventLinesDropped}
