package logger

import "github.com/sirupsen/logrus"

// Events of membership, the store and the configuration, 4000 to 4999.
var (
	EventStoreUnavailable = Event{
		Number: 4001, Name: "store unavailable", Level: logrus.WarnLevel,
		Fields:  []string{"Store", "Cause"},
		Meaning: "The key-value service failed several calls in a row; only single probes are sent until it responds.",
		Action:  "Check the platform's service. Calls are still served; configuration changes wait, stops can be made provisionally.",
	}
	EventStoreAvailable = Event{
		Number: 4002, Name: "store available again", Level: logrus.InfoLevel,
		Fields:  []string{"Store"},
		Meaning: "The key-value service responds again.",
		Action:  "None.",
	}
	EventRegistered = Event{
		Number: 4003, Name: "instance registered", Level: logrus.InfoLevel,
		Fields:  []string{"Instance", "Incarnation", "Lease"},
		Meaning: "The instance's record was written to the store with a new lease.",
		Action:  "None at startup. Later it means that a lease expired: check whether the machine was paused.",
	}
	EventMemberState = Event{
		Number: 4004, Name: "member changed state", Level: logrus.InfoLevel,
		Fields:  []string{"Member", "Incarnation", "From", "To", "Cause"},
		Meaning: "Another instance joined, stopped responding, recovered, is leaving or has left.",
		Action:  "Many at once indicate that a machine, network link or zone failed.",
	}
	EventLeaseRelayed = Event{
		Number: 4005, Name: "lease renewed by a peer", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Peer"},
		Meaning: "The instance can't reach the store itself; a peer renewed its lease for it.",
		Action:  "Check the network between the instance and the platform's service.",
	}
	EventConfigurationInForce = Event{
		Number: 4006, Name: "configuration in force", Level: logrus.InfoLevel,
		Fields:  []string{"Revision", "Change", "Author", "Source"},
		Meaning: "The instance applied a newer configuration.",
		Action:  "None.",
	}
	EventConfigurationDivergent = Event{
		Number: 4007, Name: "configuration diverges", Level: logrus.ErrorLevel,
		Fields:  []string{"Revision", "Hash", "Source", "SourceHash"},
		Meaning: "A configuration was received with the revision of the one in force but different content; it was rejected.",
		Action:  "Find out who wrote to the store other than the fleet. Replace the instance that holds the wrong content.",
	}
	EventConfigurationStale = Event{
		Number: 4008, Name: "store configuration outdated", Level: logrus.WarnLevel,
		Fields:  []string{"Revision", "StoreRevision"},
		Meaning: "The store returned an older revision than the one in force; it was ignored.",
		Action:  "A lagging replica causes this briefly. If it persists, the store lost writes and they are written back (4011).",
	}
	EventProvisionalStop = Event{
		Number: 4009, Name: "provisional stop in force", Level: logrus.WarnLevel,
		Fields:  []string{"Change", "Author"},
		Meaning: "The store was unavailable; the instances apply the stop until the store can accept or reject it.",
		Action:  "None; its resolution is logged (4010).",
	}
	EventProvisionalStopResolved = Event{
		Number: 4010, Name: "provisional stop resolved", Level: logrus.WarnLevel,
		Fields:  []string{"Change", "Author", "State", "Cause"},
		Meaning: "A provisional stop became an accepted change, or was dropped for the cause given.",
		Action:  "If it was dropped, check whether the stop is still wanted and repeat it.",
	}
	EventConfigurationRestored = Event{
		Number: 4011, Name: "store configuration restored", Level: logrus.WarnLevel,
		Fields:  []string{"Revision", "StoreRevision"},
		Meaning: "The store had lost accepted changes; the instances wrote back the configuration that they have in force.",
		Action:  "Find out how the platform's service lost writes.",
	}
	EventStoreEntryInvalid = Event{
		Number: 4012, Name: "store entry invalid", Level: logrus.WarnLevel,
		Fields:  []string{"Key", "Cause"},
		Meaning: "An entry of the store, or a part of the operators' configuration, could not be read and was skipped.",
		Action:  "Find out by the key who wrote it; all other entries remain in effect.",
	}
	EventZoneStop = Event{
		Number: 4013, Name: "availability zone taken out or brought back", Level: logrus.InfoLevel,
		Fields:  []string{"Zone", "Out", "Source"},
		Meaning: "Operators took the zone's targets out of service or brought them back, as the store or the named hub reports.",
		Action:  "None.",
	}
	EventListedTargetChanged = Event{
		Number: 4014, Name: "listed target changed", Level: logrus.InfoLevel,
		Fields:  []string{"Service", "Target", "State"},
		Meaning: "A target was added to the platform's list, restarted, is draining, or was removed from the list.",
		Action:  "None, unless many are removed at once without planned maintenance.",
	}
	EventListedTargetsChanged = Event{
		Number: 4019, Name: "many listed targets changed", Level: logrus.InfoLevel,
		Fields:  []string{"Listed", "Draining", "Removed"},
		Meaning: "Many targets changed in one reading of the list, for example in the first one after startup. The counts replace one line for each target.",
		Action:  "None.",
	}
	EventTargetListSuperseded = Event{
		Number: 4022, Name: "target list superseded", Level: logrus.WarnLevel,
		Fields:  []string{"Superseded", "Age"},
		Meaning: "The store answers other instances and not this hub, whose target list has become too old: others are told to choose without it. False once the list is recent again.",
		Action:  "Check the network between the hub and the store.",
	}
	EventHubChanged = Event{
		Number: 4015, Name: "zone hub changed", Level: logrus.InfoLevel,
		Fields:  []string{"Zone", "Hub"},
		Meaning: "A different instance reads the store for its zone from now on; none if Hub is empty.",
		Action:  "None, if it was planned; otherwise check the previous hub.",
	}
	EventRoleChanged = Event{
		Number: 4017, Name: "role changed", Level: logrus.InfoLevel,
		Fields:  []string{"From", "To", "Lease"},
		Meaning: "The instance found or lost the hub that it follows, or started or stopped being a hub.",
		Action:  "None, unless instances stay in state Seeking: then no hub responds to them.",
	}
	EventHubUnresponsive = Event{
		Number: 4018, Name: "hub does not answer", Level: logrus.InfoLevel,
		Fields:  []string{"Hub", "Cause"},
		Meaning: "A request to a hub failed; the instance tries the next one, and reads the store itself if none responds.",
		Action:  "Check the hub if this continues.",
	}
	EventStoreRestored = Event{
		Number: 4020, Name: "store restored from an earlier copy", Level: logrus.WarnLevel,
		Fields:  []string{"Generation", "Before"},
		Meaning: "A response of the store or a hub has a later generation: what was written after the copy was made is lost. The state known to the instances takes precedence over the copy until it is written again, for at most ten seconds.",
		Action:  "Check that the operators' tools have repeated their last changes: docs/operators/store-outage.md.",
	}
	EventStaleResponse = Event{
		Number: 4021, Name: "response of an earlier generation discarded", Level: logrus.InfoLevel,
		Fields:  []string{"Generation", "Known"},
		Meaning: "A response of the store or a hub has an earlier generation than the known one; logged once each time the store is restored from a copy.",
		Action:  "None, unless the store was set up anew: its responses are accepted again ten seconds after the later generation was last seen.",
	}
	EventRegistrationFailed = Event{
		Number: 4016, Name: "hub not registered", Level: logrus.WarnLevel,
		Fields:  []string{"Instance", "Cause"},
		Meaning: "The instance's key as a hub could not be written, renewed or deleted; it retries. Meanwhile another instance may become the hub.",
		Action:  "Check the store and the network to it.",
	}
)

var membershipEvents = []Event{
	EventStoreUnavailable, EventStoreAvailable, EventRegistered, EventMemberState, EventLeaseRelayed, EventConfigurationInForce,
	EventConfigurationDivergent, EventConfigurationStale, EventProvisionalStop, EventProvisionalStopResolved,
	EventConfigurationRestored, EventStoreEntryInvalid, EventZoneStop, EventListedTargetChanged, EventListedTargetsChanged, EventTargetListSuperseded, EventHubChanged, EventRegistrationFailed, EventRoleChanged, EventHubUnresponsive,
	EventStoreRestored, EventStaleResponse,
}
