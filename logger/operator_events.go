package logger

import "github.com/sirupsen/logrus"

// Events of operators' queries and commands, 6000 to 6999.
var (
	EventOperatorUnauthorized = Event{
		Number: 6001, Name: "operator unauthorized", Level: logrus.WarnLevel,
		Fields:  []string{"Address", "Path"},
		Meaning: "A request to the operators' port carried no key, or one that is not in the settings.",
		Action:  "Find out who sent it; if it was an operator, compare the key with the instance's settings.",
	}
	EventChangeAccepted = Event{
		Number: 6002, Name: "change accepted", Level: logrus.InfoLevel,
		Fields:  []string{"Revision", "Operator", "Command", "Because"},
		Meaning: "A command was accepted and stored as the given revision.",
		Action:  "None; `show Configuration` lists the instances on which it is in force.",
	}
	EventChangeRefused = Event{
		Number: 6003, Name: "change refused", Level: logrus.InfoLevel,
		Fields:  []string{"Operator", "Command", "Cause"},
		Meaning: "A command had no effect: a concurrent change won, it named something that does not exist, or the store did not respond.",
		Action:  "Inform the operator; after a conflict, review the change that won and decide again.",
	}
	EventChangeLate = Event{
		Number: 6004, Name: "change not in force everywhere", Level: logrus.WarnLevel,
		Fields:  []string{"Revision", "Operator", "Cause"},
		Meaning: "An accepted revision was not confirmed in force on every instance within the time that the command waits.",
		Action:  "Check the instances named; one that no other can reach may have to be replaced.",
	}
	EventCertificateLoaded = Event{
		Number: 6005, Name: "certificate loaded", Level: logrus.InfoLevel,
		Fields:  []string{"File", "NotAfter"},
		Meaning: "The TLS certificate of the peers' and operators' ports was read, at startup or after its file changed.",
		Action:  "None; renew it before NotAfter.",
	}
	EventCertificateFailed = Event{
		Number: 6006, Name: "certificate not loaded", Level: logrus.ErrorLevel,
		Fields:  []string{"File", "Cause"},
		Meaning: "The changed TLS certificate file can't be used; the previous certificate stays in use.",
		Action:  "Install a certificate and a private key that match.",
	}
)

var operatorEvents = []Event{
	EventOperatorUnauthorized, EventChangeAccepted, EventChangeRefused, EventChangeLate, EventCertificateLoaded, EventCertificateFailed,
}
