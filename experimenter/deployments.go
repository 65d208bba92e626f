package experimenter

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"hemlocktally"
	"hemlocktally/examples"
	"hemlocktally/loader"
)

// CrewKey and CounterKey are the keys of the high-priority stand-in callers.
const (
	CrewKey    = "crew-caller-key"
	CounterKey = "counter-caller-key"
)

const (
	readMean  = 10 * time.Millisecond
	writeMean = 15 * time.Millisecond
	// entryInstances is how many entry instances each deployment has today.
	entryInstances = 15
)

// Agency returns the deployment of the Prairie Wetland Restoration Agency, as
// examples/contracts/agency.ini declares it.
func Agency() Deployment { return declared("agency") }

// Association returns the deployment of the Caribbean Prop Lenders Association,
// as examples/contracts/association.ini declares it.
func Association() Deployment { return declared("association") }

// declared reads an example file, which is part of the program. Tests read it
// too; a fault in it would leave a deployment without services.
func declared(name string) Deployment {
	file := "contracts/" + name + ".ini"
	text, _ := examples.Files.ReadFile(file)
	declaration, _ := loader.ParseDeclaration(file, text)
	deployment := Deployment{
		Name: name, Instances: entryInstances, Zones: declaration.Zones,
		Callers: declaration.Callers, Contracts: declaration.Contracts,
	}
	for _, service := range declaration.Services {
		deployment.Services = append(deployment.Services, DeployedService{
			Name: service.Name, Targets: len(service.Targets), MaxConnections: service.Targets[0].MaxConnections,
			Mean: meanOf(service.Name, declaration.Contracts),
		})
	}
	return deployment
}

// meanOf returns the mean time of a call; non-idempotent work takes longer.
func meanOf(service hemlocktally.ServiceName, contracts []hemlocktally.Contract) time.Duration {
	for _, contract := range contracts {
		if contract.Service == service && contract.NonIdempotent {
			return writeMean
		}
	}
	return readMean
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
