package interpreter

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"hemlocktally"
)

// contractFieldSetter sets one field of a contract from a text that its kind
// accepts.
type contractFieldSetter struct {
	name string
	kind Kind
	set  func(*hemlocktally.Contract, string)
}

var contractFields = []contractFieldSetter{
	{"Deadline", KindDuration, func(c *hemlocktally.Contract, v string) { c.Deadline = parseDuration(v) }},
	{"QueueLimit", KindDuration, func(c *hemlocktally.Contract, v string) { c.QueueLimit = parseDuration(v) }},
	{"NonIdempotent", KindBool, func(c *hemlocktally.Contract, v string) { c.NonIdempotent = parseFlag(v) }},
	{"Hedge", KindBool, func(c *hemlocktally.Contract, v string) { c.Hedge = parseFlag(v) }},
	{"HedgeBudget", KindNumber, func(c *hemlocktally.Contract, v string) { c.HedgeBudget = parseNumber(v) }},
	{"RetryBudget", KindNumber, func(c *hemlocktally.Contract, v string) { c.RetryBudget = parseNumber(v) }},
	{"HighPriority", KindBool, func(c *hemlocktally.Contract, v string) { c.Priority = priorityOf(parseFlag(v)) }},
}

func contractField(name string) (contractFieldSetter, bool) {
	i := slices.IndexFunc(contractFields, func(f contractFieldSetter) bool { return strings.EqualFold(f.name, name) })
	if i < 0 {
		return contractFieldSetter{}, false
	}
	return contractFields[i], true
}

func parseDuration(v string) time.Duration {
	d, _ := time.ParseDuration(v)
	return d
}

func parseFlag(v string) bool {
	b, _ := strconv.ParseBool(v)
	return b
}

func parseNumber(v string) float64 {
	f, _ := strconv.ParseFloat(v, 64)
	return f
}

func priorityOf(high bool) hemlocktally.Priority {
	if high {
		return hemlocktally.PriorityHigh
	}
	return hemlocktally.PriorityNormal
}

// Plan translates the command into configuration commands. It returns a *PlanError
// if the zone, target or contract does not exist, the target's name is ambiguous, or
// a setting is invalid. It does not check that an instance exists.
func Plan(command Command, config *hemlocktally.Configuration) ([]hemlocktally.Command, error) {
	out := command.Action == ActionTakeOut
	switch command.Kind {
	case SubjectZone:
		return planZone(command.Name, out, config)
	case SubjectInstance:
		kind := hemlocktally.CommandInstanceBack
		if out {
			kind = hemlocktally.CommandInstanceOut
		}
		return []hemlocktally.Command{{Kind: kind, Name: command.Name}}, nil
	case SubjectTarget:
		return planTarget(command, out, config)
	default:
		return planContract(command, config)
	}
}

func planZone(name string, out bool, config *hemlocktally.Configuration) ([]hemlocktally.Command, error) {
	names := make([]string, 0, len(config.Zones))
	for _, z := range config.Zones {
		names = append(names, string(z.Name))
	}
	if !slices.Contains(names, name) {
		return nil, &PlanError{Subject: "AvailabilityZone " + name, Detail: "there is no such zone", Allowed: names}
	}
	kind := hemlocktally.CommandZoneBack
	if out {
		kind = hemlocktally.CommandZoneOut
	}
	return []hemlocktally.Command{{Kind: kind, Name: name}}, nil
}

func planTarget(command Command, out bool, config *hemlocktally.Configuration) ([]hemlocktally.Command, error) {
	service, err := FindTarget(command.Service, command.Target, config)
	if err != nil {
		return nil, err
	}
	kind := hemlocktally.CommandTargetBack
	if out {
		kind = hemlocktally.CommandTargetOut
	}
	return []hemlocktally.Command{{Kind: kind, Name: string(service), Target: command.Target}}, nil
}

// FindTarget returns the service that a target belongs to. The service argument may
// be empty if the target's name is unique. If no service or more than one matches,
// it returns a *PlanError.
func FindTarget(service hemlocktally.ServiceName, target hemlocktally.TargetName, config *hemlocktally.Configuration) (hemlocktally.ServiceName, error) {
	var found []string
	for _, s := range config.Services {
		if service != "" && s.Name != service {
			continue
		}
		if slices.ContainsFunc(s.Targets, func(t hemlocktally.Target) bool { return t.Name == target }) {
			found = append(found, string(s.Name))
		}
	}
	switch len(found) {
	case 0:
		return "", &PlanError{Subject: "Target " + string(target), Detail: "no service has it; name it as service/target", Allowed: serviceNames(config)}
	case 1:
		return hemlocktally.ServiceName(found[0]), nil
	default:
		return "", &PlanError{Subject: "Target " + string(target), Detail: "several services have it; name it as service/target", Allowed: found}
	}
}

func serviceNames(config *hemlocktally.Configuration) []string {
	names := make([]string, 0, len(config.Services))
	for _, s := range config.Services {
		names = append(names, string(s.Name))
	}
	return names
}

func planContract(command Command, config *hemlocktally.Configuration) ([]hemlocktally.Command, error) {
	names := make([]string, 0, len(config.Contracts))
	for _, c := range config.Contracts {
		names = append(names, string(c.Name))
	}
	i := slices.Index(names, command.Name)
	if i < 0 {
		return nil, &PlanError{Subject: "Contract " + command.Name, Detail: "there is no such contract", Allowed: names}
	}
	contract := config.Contracts[i]
	for _, s := range command.Settings {
		field, ok := contractField(s.Field)
		if !ok || !field.kind.accepts(s.Value) {
			return nil, &PlanError{Subject: "Contract " + command.Name, Detail: fmt.Sprintf("%s = %s can't be set", s.Field, s.Value)}
		}
		field.set(&contract, s.Value)
	}
	return []hemlocktally.Command{{Kind: hemlocktally.CommandPutContract, Contract: &contract}}, nil
}
