package logger

import "github.com/sirupsen/logrus"

// Events of the whole process, 1000 to 1999.
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
		Meaning: "A graceful shutdown began: no new calls are accepted, calls in flight are finished.",
		Action:  "None, if it was planned.",
	}
	EventStopped = Event{
		Number: 1003, Name: "instance stopped", Level: logrus.InfoLevel,
		Fields:  []string{"Instance"},
		Meaning: "All tasks of the instance have ended.",
		Action:  "None.",
	}
	EventShutdownTimedOut = Event{
		Number: 1004, Name: "graceful shutdown timed out", Level: logrus.ErrorLevel,
		Fields:  []string{"Instance", "Cause"},
		Meaning: "The timeout of the graceful shutdown expired before all calls had ended; their connections were closed.",
		Action:  "Compare the deadlines of the contracts with the shutdown timeout.",
	}
	EventSettingsChecked = Event{
		Number: 1005, Name: "settings checked on reload", Level: logrus.InfoLevel,
		Fields:  []string{"File", "Cause"},
		Meaning: "The instance was signaled to reload and checked its settings file; Cause is empty if the file is valid. Addresses and names keep their values until the next start.",
		Action:  "Correct the file if a cause is given.",
	}
	EventMetricsFailed = Event{
		Number: 1006, Name: "metrics response failed", Level: logrus.WarnLevel,
		Fields:  []string{"Cause"},
		Meaning: "A client that read the metrics disconnected or was too slow.",
		Action:  "None, unless it continues.",
	}
	EventLinesDropped = Event{
		Number: 1007, Name: "log lines dropped", Level: logrus.WarnLevel,
		Fields:  []string{"Lines", "Total"},
		Meaning: "Lines exceeded the limit per second, or the log output was not being read.",
		Action:  "Read the log faster, or find out which event floods it; counters and histograms are complete.",
	}
)

var daemonEvents = []Event{EventStarted, EventStopping, EventStopped, EventShutdownTimedOut, EventSettingsChecked, EventMetricsFailed, EventLinesDropped}
