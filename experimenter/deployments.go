package experimenter

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"hemlocktally"
)

// CrewKey and CounterKey are the keys of the high-priority stand-in callers.
const (
	CrewKey    = "crew-caller-key"
	CounterKey = "counter-caller-key"
)

// Agency returns the deployment of the Prairie Wetland Restoration Agency.
func Agency() Deployment {
	return Deployment{
		Name:      "agency",
		Zones:     []hemlocktally.ZoneName{"carrot-river", "hudson-bay", "prince-albert"},
		Instances: 15,
		Services: []DeployedService{
			{Name: "bog-log", Targets: 15, MaxConnections: 220, Mean: 10 * time.Millisecond},
			{Name: "easements", Targets: 7, MaxConnections: 220, Mean: 15 * time.Millisecond},
			{Name: "payments", Targets: 6, MaxConnections: 220, Mean: 15 * time.Millisecond},
		},
		Callers: []hemlocktally.Caller{caller("crew", "agency", CrewKey)},
		Contracts: []hemlocktally.Contract{
			read("CrewReads", "bog-log", "/log/", hemlocktally.PriorityHigh, "crew"),
			read("PublicReads", "bog-log", "/log/", hemlocktally.PriorityNormal),
			write("Agreements", "easements", "/agreements/"),
			write("Payments", "payments", "/payments/"),
		},
	}
}

// Association returns the deployment of the Caribbean Prop Lenders Association.
func Association() Deployment {
	return Deployment{
		Name:      "association",
		Zones:     []hemlocktally.ZoneName{"kingston-a", "kingston-b", "kingston-c"},
		Instances: 15,
		Services: []DeployedService{
			{Name: "catalogue", Targets: 16, MaxConnections: 240, Mean: 10 * time.Millisecond},
			{Name: "holds", Targets: 10, MaxConnections: 240, Mean: 15 * time.Millisecond},
			{Name: "deposits", Targets: 6, MaxConnections: 240, Mean: 15 * time.Millisecond},
		},
		Callers: []hemlocktally.Caller{caller("counter", "association", CounterKey)},
		Contracts: []hemlocktally.Contract{
			read("CounterSearch", "catalogue", "/catalogue/", hemlocktally.PriorityHigh, "counter"),
			read("PublicSearch", "catalogue", "/catalogue/", hemlocktally.PriorityNormal),
			write("Holds", "holds", "/holds/"),
			write("Deposits", "deposits", "/deposits/"),
		},
	}
}

func caller(name hemlocktally.CallerName, tenant, key string) hemlocktally.Caller {
	digest := sha256.Sum256([]byte(key))
	return hemlocktally.Caller{Name: name, Tenant: tenant, KeySHA256: hex.EncodeToString(digest[:])}
}

func read(name hemlocktally.ContractName, service hemlocktally.ServiceName, prefix string, priority hemlocktally.Priority, callers ...hemlocktally.CallerName) hemlocktally.Contract {
	return hemlocktally.Contract{
		Name: name, Service: service, Priority: priority, Deadline: time.Second,
		Hedge: priority == hemlocktally.PriorityHigh,
		Match: hemlocktally.Match{PathPrefix: prefix, Methods: []string{"GET"}, Callers: callers},
	}
}

func write(name hemlocktally.ContractName, service hemlocktally.ServiceName, prefix string) hemlocktally.Contract {
	return hemlocktally.Contract{
		Name: name, Service: service, Priority: hemlocktally.PriorityHigh, NonIdempotent: true, Deadline: 2 * time.Second,
		Match: hemlocktally.Match{PathPrefix: prefix, Methods: []string{"POST"}},
	}
}
