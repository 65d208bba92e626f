package logger

import "github.com/sirupsen/logrus"

// Events of operators' questions and commands, 6000 to 6999.
var (
	EventOperatorRefused = Event{
		Number: 6001, Name: "operator refused", Level: logrus.WarnLevel,
		Fields:  []string{"Address", "Path"},
		Meaning: "A request to the operators' port showed no key that the settings know.",
		Action:  "Find out who sent it; where it was an operator, compare the key with the instance's settings.",
	}
	EventChangeAccepted = Event{
		Number: 6002, Name: "change accepted", Level: logrus.InfoLevel,
		Fields:  []string{"Revision", "Operator", "Command", "Because"},
		Meaning: "A command was accepted as the named revision and will last.",
		Action:  "None; `show Configuration` says where it is in force.",
	}
	EventChangeRefused = Event{
		Number: 6003, Name: "change refused", Level: logrus.InfoLevel,
		Fields:  []string{"Operator", "Command", "Cause"},
		Meaning: "A command had no effect: it lost a race, named a thing that is not there, or the store did not answer.",
		Action:  "Tell the operator; after a lost race, look at the winner and decide anew.",
	}
	EventChangeLate = Event{
		Number: 6004, Name: "change not in force everywhere", Level: logrus.WarnLevel,
		Fields:  []string{"Revision", "Operator", "Cause"},
		Meaning: "An accepted revision was not seen in force on every instance within the wait.",
		Action:  "Look at the instances named; one that is out of reach of all others may have to be replaced.",
	}
	EventCertificateLoaded = Event{
		Number: 6005, Name: "certificate loaded", Level: logrus.InfoLevel,
		Fields:  []string{"File", "NotAfter"},
		Meaning: "The TLS certificate of the peers' and operators' ports was read, at the start or after its file changed.",
		Action:  "None; renew it before NotAfter.",
	}
	EventCertificateFailed = Event{
		Number: 6006, Name: "certificate not loaded", Level: logrus.ErrorLevel,
		Fields:  []string{"File", "Cause"},
		Meaning: "The TLS certificate's file changed and can't be used; the one before goes on.",
		Action:  "Put a certificate and its private key that match in place.",
	}
)

var operatorEvents = []Event{
	EventOperatorRefused, EventChangeAccepted, EventChangeRefused, EventChangeLate, EventCertificateLoaded, EventCertificateFailed,
}
