package logger

import "github.com/sirupsen/logrus"

// Events of membership, store and configuration, 4000 to 4999.
var (
	EventStoreDown = Event{
		Number: 4001, Name: "store down", Level: logrus.WarnLevel,
		Fields:  []string{"Store", "Cause"},
		Meaning: "The key-value service failed several calls in a row; only single probes go out until it answers.",
		Action:  "Look at the platform's service. Calls go on; changes of the configuration wait, stops can be made provisionally.",
	}
	EventStoreBack = Event{
		Number: 4002, Name: "store back", Level: logrus.InfoLevel,
		Fields:  []string{"Store"},
		Meaning: "The key-value service answers again.",
		Action:  "None.",
	}
	EventRegistered = Event{
		Number: 4003, Name: "instance registered", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Incarnation", "Lease"},
		Meaning: "The instance's record stands in the store with a new lease.",
		Action:  "None at a start. Later it means that a lease lapsed: look for pauses of the machine.",
	}
	EventMemberState = Event{
		Number: 4004, Name: "member changed state", Level: logrus.InfoLevel,
		Fields:  []string{"Member", "Incarnation", "From", "To", "Cause"},
		Meaning: "Another instance joined, fell silent, came back, is leaving or is gone.",
		Action:  "Many at once point to a machine, link or zone that failed.",
	}
	EventLeaseRelayed = Event{
		Number: 4005, Name: "lease renewed by a peer", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Peer"},
		Meaning: "The instance can't reach the store itself; a peer renewed its lease for it.",
		Action:  "Look at the link between the instance and the platform's service.",
	}
	EventConfigurationInForce = Event{
		Number: 4006, Name: "configuration in force", Level: logrus.InfoLevel,
		Fields:  []string{"Revision", "Change", "Author", "Source"},
		Meaning: "The instance acts on a newer configuration.",
		Action:  "None.",
	}
	EventConfigurationDivergent = Event{
		Number: 4007, Name: "configuration divergent", Level: logrus.ErrorLevel,
		Fields:  []string{"Revision", "Hash", "Source", "SourceHash"},
		Meaning: "Another configuration was offered under a revision that is in force with other content; it was refused.",
		Action:  "Find who wrote to the store besides the fleet. Replace the instance that holds the wrong content.",
	}
	EventConfigurationStale = Event{
		Number: 4008, Name: "store configuration older", Level: logrus.WarnLevel,
		Fields:  []string{"Revision", "StoreRevision"},
		Meaning: "The store answered with an older revision than the one in force; it was ignored.",
		Action:  "A lagging replica does that for a moment. If it stays, the store lost writes and is restored (4011).",
	}
	EventProvisionalStop = Event{
		Number: 4009, Name: "provisional stop in force", Level: logrus.WarnLevel,
		Fields:  []string{"Change", "Author"},
		Meaning: "The store was down; the stop holds among the instances until the store settles it.",
		Action:  "None; the end of it is logged.",
	}
	EventProvisionalSettled = Event{
		Number: 4010, Name: "provisional stop settled", Level: logrus.WarnLevel,
		Fields:  []string{"Change", "Author", "State", "Cause"},
		Meaning: "A provisional stop became an accepted change, or was dropped for the cause given.",
		Action:  "If it was dropped, look whether the stop is still wanted and give it again.",
	}
	EventConfigurationRestored = Event{
		Number: 4011, Name: "store configuration restored", Level: logrus.WarnLevel,
		Fields:  []string{"Revision", "StoreRevision"},
		Meaning: "The store had lost accepted changes; the instances wrote back what they have in force.",
		Action:  "Find out how the platform's service lost writes.",
	}
	EventEntryUnusable = Event{
		Number: 4012, Name: "store entry not usable", Level: logrus.WarnLevel,
		Fields:  []string{"Key", "Cause"},
		Meaning: "An entry of the store, or a part of the operators' configuration, could not be read and was left out.",
		Action:  "Find its writer by the key; all other entries hold.",
	}
	EventZoneStop = Event{
		Number: 4013, Name: "availability zone out or back", Level: logrus.InfoLevel,
		Fields:  []string{"Zone", "Out"},
		Meaning: "Operators took the zone's targets out of service or brought them back.",
		Action:  "None.",
	}
	EventTargetListed = Event{
		Number: 4014, Name: "target listed", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "State"},
		Meaning: "A target came, started anew, is draining, or left the platform's list.",
		Action:  "None, unless many leave at once without planned work.",
	}
	EventTargetsListed = Event{
		Number: 4019, Name: "many targets listed", Level: logrus.InfoLevel,
		Fields:  []string{"Listed", "Draining", "Removed"},
		Meaning: "A list of targets was read in which many changed, as the first one after a start. The counts stand for a line each.",
		Action:  "None.",
	}
	EventHubListed = Event{
		Number: 4015, Name: "hub listed", Level: logrus.InfoLevel,
		Fields:  []string{"Zone", "Hub"},
		Meaning: "Another instance reads the store for its zone from now on; none where Hub is empty.",
		Action:  "None, where it was planned; else look at the hub before.",
	}
	EventRole = Event{
		Number: 4017, Name: "role changed", Level: logrus.InfoLevel,
		Fields:  []string{"From", "To", "Lease"},
		Meaning: "The instance found or lost a hub that it follows, or became or ceased to be one.",
		Action:  "None, unless instances stay Seeking: then no hub answers them.",
	}
	EventHubSilent = Event{
		Number: 4018, Name: "hub does not answer", Level: logrus.InfoLevel,
		Fields:  []string{"Hub", "Cause"},
		Meaning: "A question to a hub failed; the instance asks the next one, and reads the store itself where none answers.",
		Action:  "Look at the hub where this goes on.",
	}
	EventStoreRestored = Event{
		Number: 4020, Name: "store came back from a copy", Level: logrus.WarnLevel,
		Fields:  []string{"Generation", "Before"},
		Meaning: "An answer of the store, or a hub, names a later generation: what was written since the copy is gone. What was known holds over the copy until it is written again, ten seconds at the most.",
		Action:  "See that operators' tools have written their last decisions again: docs/operators/store-outage.md.",
	}
	EventStaleAnswer = Event{
		Number: 4021, Name: "answer of an earlier generation dropped", Level: logrus.InfoLevel,
		Fields:  []string{"Generation", "Known"},
		Meaning: "An answer of the store, or of a hub, is of a generation before the one that is known; logged once each time the store comes back from a copy.",
		Action:  "None, unless the store was set up again: what it says holds again ten seconds after the later generation was last heard of.",
	}
	EventRegistrationFailed = Event{
		Number: 4016, Name: "hub not registered", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Cause"},
		Meaning: "The instance's key as a hub could not be written, renewed or ended; it tries again. Meanwhile another may take its place.",
		Action:  "Look at the store, and at the link to it.",
	}
)

var membershipEvents = []Event{
	EventStoreDown, EventStoreBack, EventRegistered, EventMemberState, EventLeaseRelayed, EventConfigurationInForce,
	EventConfigurationDivergent, EventConfigurationStale, EventProvisionalStop, EventProvisionalSettled,
	EventConfigurationRestored, EventEntryUnusable, EventZoneStop, EventTargetListed, EventTargetsListed, EventHubListed, EventRegistrationFailed, EventRole, EventHubSilent,
	EventStoreRestored, EventStaleAnswer,
}
