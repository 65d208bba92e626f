package hemlocktally

import (
	"fmt"
	"slices"
	"time"
)

// CommandKind is the operation that a command performs.
type CommandKind string

// The kinds of commands.
const (
	CommandPutService     CommandKind = "PutService"
	CommandRemoveService  CommandKind = "RemoveService"
	CommandPutContract    CommandKind = "PutContract"
	CommandRemoveContract CommandKind = "RemoveContract"
	CommandPutCaller      CommandKind = "PutCaller"
	CommandRemoveCaller   CommandKind = "RemoveCaller"
	CommandZoneOut        CommandKind = "ZoneOut"
	CommandZoneBack       CommandKind = "ZoneBack"
	CommandTargetOut      CommandKind = "TargetOut"
	CommandTargetBack     CommandKind = "TargetBack"
	CommandInstanceOut    CommandKind = "InstanceOut"
	CommandInstanceBack   CommandKind = "InstanceBack"
)

// Command is one operation of a change. Its kind determines which of the other
// fields are used.
type Command struct {
	Kind     CommandKind
	Name     string     `json:",omitempty"` // Name of the service, contract, caller, zone or instance to act on.
	Target   TargetName `json:",omitempty"` // Target of the service Name, in target commands.
	Service  *Service   `json:",omitempty"`
	Contract *Contract  `json:",omitempty"`
	Caller   *Caller    `json:",omitempty"`
}

// Change is a list of commands that is accepted or refused as a whole.
type Change struct {
	ID       string // ID is unique for each intended change; submitting it again has no effect.
	Author   string
	Base     Revision // Base is the revision that the author based the change on.
	Because  string   `json:",omitempty"` // Because is the author's reason.
	Commands []Command
}

// AcceptedChange is an accepted change with the revision that it created.
type AcceptedChange struct {
	Revision   Revision
	AcceptedAt time.Time
	Change     Change
	Hash       string // Hash is the configuration's hash after the change.
}

// OnlyStops reports whether the change has commands and each of them only takes
// something out of service.
func (c Change) OnlyStops() bool {
	return len(c.Commands) > 0 && !slices.ContainsFunc(c.Commands, func(command Command) bool { return !command.IsStop() })
}

// IsStop reports whether the command only takes something out of service.
func (c Command) IsStop() bool {
	return c.Kind == CommandZoneOut || c.Kind == CommandTargetOut || c.Kind == CommandInstanceOut
}

// Apply returns the configuration that results from an accepted change. It does
// not modify the receiver. It returns a *ChangeError for the first command that
// can't be applied.
func (c *Configuration) Apply(accepted AcceptedChange) (*Configuration, error) {
	next := c.clone()
	for i, command := range accepted.Change.Commands {
		if err := next.apply(command); err != nil {
			return nil, &ChangeError{ChangeID: accepted.Change.ID, Index: i, Kind: command.Kind, Detail: err.Error()}
		}
	}
	next.Revision = accepted.Revision
	next.ChangeID = accepted.Change.ID
	next.Author = accepted.Change.Author
	next.AcceptedAt = accepted.AcceptedAt
	next.Hash = accepted.Hash
	return next, nil
}

func (c *Configuration) clone() *Configuration {
	next := *c
	next.Zones = slices.Clone(c.Zones)
	next.Services = slices.Clone(c.Services)
	next.Contracts = slices.Clone(c.Contracts)
	next.Callers = slices.Clone(c.Callers)
	next.InstancesOut = slices.Clone(c.InstancesOut)
	return &next
}

func (c *Configuration) apply(command Command) error {
	switch command.Kind {
	case CommandPutService, CommandPutContract, CommandPutCaller:
		return c.applyPut(command)
	case CommandRemoveService, CommandRemoveContract, CommandRemoveCaller:
		return c.applyRemove(command)
	case CommandZoneOut, CommandZoneBack:
		return c.applyZone(ZoneName(command.Name), command.Kind == CommandZoneOut)
	case CommandTargetOut, CommandTargetBack:
		return c.applyTarget(command, command.Kind == CommandTargetOut)
	case CommandInstanceOut, CommandInstanceBack:
		return c.applyInstance(InstanceID(command.Name), command.Kind == CommandInstanceOut)
	default:
		return fmt.Errorf("unknown command kind %q", command.Kind)
	}
}

func (c *Configuration) applyPut(command Command) error {
	switch {
	case command.Kind == CommandPutService && command.Service != nil:
		return c.putService(*command.Service)
	case command.Kind == CommandPutContract && command.Contract != nil:
		return c.putContract(*command.Contract)
	case command.Kind == CommandPutCaller && command.Caller != nil:
		if command.Caller.Name == "" {
			return fmt.Errorf("a caller needs a name")
		}
		c.Callers = put(c.Callers, *command.Caller, func(x Caller) string { return string(x.Name) })
		return nil
	default:
		return fmt.Errorf("%s lacks the object to put", command.Kind)
	}
}

func (c *Configuration) putService(service Service) error {
	if service.Name == "" {
		return fmt.Errorf("a service needs a name")
	}
	seen := map[TargetName]bool{}
	for _, t := range service.Targets {
		if t.Name == "" || t.Address == "" || t.Zone == "" {
			return fmt.Errorf("target %q of service %q needs a name, an address and a zone", t.Name, service.Name)
		}
		if seen[t.Name] {
			return fmt.Errorf("target %q appears twice in service %q", t.Name, service.Name)
		}
		seen[t.Name] = true
		c.addZone(t.Zone)
	}
	c.Services = put(c.Services, service, func(x Service) string { return string(x.Name) })
	return nil
}

func (c *Configuration) putContract(contract Contract) error {
	if contract.Name == "" {
		return fmt.Errorf("a contract needs a name")
	}
	if _, ok := c.Service(contract.Service); !ok {
		return fmt.Errorf("contract %q refers to service %q, which is not declared", contract.Name, contract.Service)
	}
	if contract.NonIdempotent && contract.Hedge {
		return fmt.Errorf("contract %q is non-idempotent and can't be hedged", contract.Name)
	}
	c.Contracts = put(c.Contracts, contract, func(x Contract) string { return string(x.Name) })
	return nil
}

func (c *Configuration) applyRemove(command Command) error {
	switch command.Kind {
	case CommandRemoveService:
		for _, contract := range c.Contracts {
			if string(contract.Service) == command.Name {
				return fmt.Errorf("service %q is still used by contract %q", command.Name, contract.Name)
			}
		}
		return remove(&c.Services, command.Name, func(x Service) string { return string(x.Name) })
	case CommandRemoveContract:
		return remove(&c.Contracts, command.Name, func(x Contract) string { return string(x.Name) })
	default:
		return remove(&c.Callers, command.Name, func(x Caller) string { return string(x.Name) })
	}
}

func (c *Configuration) addZone(name ZoneName) {
	if slices.ContainsFunc(c.Zones, func(z AvailabilityZone) bool { return z.Name == name }) {
		return
	}
	c.Zones = append(c.Zones, AvailabilityZone{Name: name})
}

func (c *Configuration) applyZone(name ZoneName, out bool) error {
	i := slices.IndexFunc(c.Zones, func(z AvailabilityZone) bool { return z.Name == name })
	if i < 0 {
		return fmt.Errorf("no availability zone %q", name)
	}
	c.Zones[i].Out = out
	return nil
}

func (c *Configuration) applyTarget(command Command, out bool) error {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return string(s.Name) == command.Name })
	if i < 0 {
		return fmt.Errorf("no service %q", command.Name)
	}
	targets := slices.Clone(c.Services[i].Targets)
	j := slices.IndexFunc(targets, func(t Target) bool { return t.Name == command.Target })
	if j < 0 {
		return fmt.Errorf("no target %q in service %q", command.Target, command.Name)
	}
	targets[j].Out = out
	c.Services[i].Targets = targets
	return nil
}

func (c *Configuration) applyInstance(id InstanceID, out bool) error {
	if id == "" {
		return fmt.Errorf("an instance needs a name")
	}
	c.InstancesOut = slices.DeleteFunc(c.InstancesOut, func(x InstanceID) bool { return x == id })
	if out {
		c.InstancesOut = append(c.InstancesOut, id)
	}
	return nil
}

func put[T any](list []T, item T, name func(T) string) []T {
	i := slices.IndexFunc(list, func(x T) bool { return name(x) == name(item) })
	if i < 0 {
		return append(list, item)
	}
	list[i] = item
	return list
}

func remove[T any](list *[]T, wanted string, name func(T) string) error {
	i := slices.IndexFunc(*list, func(x T) bool { return name(x) == wanted })
	if i < 0 {
		return fmt.Errorf("there is nothing named %q to remove", wanted)
	}
	*list = slices.Delete(*list, i, i+1)
	return nil
}
