package logger

import "github.com/sirupsen/logrus"

// Events of responses and of handlers that fail, 2030 to 2039.
var (
	EventResponseMalformed = Event{
		Number: 2030, Name: "malformed response", Level: logrus.WarnLevel,
		Fields:  []string{"Call", "Service", "From", "Cause"},
		Meaning: "The response of the named target or instance is malformed, or its connection failed before it was complete. None of it reaches the caller, unless it was being streamed: then the caller's response breaks off. It counts as a failure of the target.",
		Action:  "docs/operators/malformed-responses.md: compare the cause with what the target sends, and repair the target.",
	}
	EventHandlerPanicked = Event{
		Number: 2031, Name: "handler panicked", Level: logrus.ErrorLevel,
		Fields:  []string{"Call", "Cause", "Stack"},
		Meaning: "The instance failed while it served the call. The caller gets 502, or a response that breaks off; other calls are not affected.",
		Action:  "Keep the log and report a bug.",
	}
)

var responseEvents = []Event{EventResponseMalformed, EventHandlerPanicked}
