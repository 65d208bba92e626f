package loader

import (
	"reflect"
	"slices"

	"hemlocktally"
)

// Commands returns the commands of one change that makes the current
// configuration match the declaration. Targets that operators took out of
// service stay out. The result is empty if nothing differs.
func (d Declaration) Commands(current *hemlocktally.Configuration) []hemlocktally.Command {
	var commands []hemlocktally.Command
	for _, service := range d.Services {
		old, ok := current.Service(service.Name)
		service = copyOutFlags(service, old)
		if !ok || !reflect.DeepEqual(old, service) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandPutService, Service: &service})
		}
	}
	for _, caller := range d.Callers {
		if !slices.Contains(current.Callers, caller) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandPutCaller, Caller: &caller})
		}
	}
	commands = append(commands, d.contractCommands(current)...)
	return append(commands, d.removalCommands(current)...)
}

// copyOutFlags returns the service with the Out flag of each target copied from
// the target of the same name in old. It does not modify the argument's targets.
func copyOutFlags(service, old hemlocktally.Service) hemlocktally.Service {
	service.Targets = slices.Clone(service.Targets)
	for i := range service.Targets {
		t := &service.Targets[i]
		t.Out = slices.ContainsFunc(old.Targets, func(x hemlocktally.Target) bool { return x.Name == t.Name && x.Out })
	}
	return service
}

// contractCommands returns the commands that put the contracts that differ. The
// first contract that matches a request applies to it, so the order matters: from
// the first contract that is out of order on, contracts are removed and put again.
func (d Declaration) contractCommands(current *hemlocktally.Configuration) []hemlocktally.Command {
	kept := slices.DeleteFunc(slices.Clone(current.Contracts), func(c hemlocktally.Contract) bool { return !d.hasContract(c.Name) })
	var removed, put []hemlocktally.Command
	reordered := false
	for i, contract := range d.Contracts {
		if i < len(kept) && kept[i].Name != contract.Name {
			reordered = true
		}
		if reordered && slices.ContainsFunc(kept, func(c hemlocktally.Contract) bool { return c.Name == contract.Name }) {
			removed = append(removed, hemlocktally.Command{Kind: hemlocktally.CommandRemoveContract, Name: string(contract.Name)})
		}
		if reordered || i >= len(kept) || !reflect.DeepEqual(kept[i], contract) {
			put = append(put, hemlocktally.Command{Kind: hemlocktally.CommandPutContract, Contract: &contract})
		}
	}
	return append(removed, put...)
}

func (d Declaration) hasContract(name hemlocktally.ContractName) bool {
	return slices.ContainsFunc(d.Contracts, func(c hemlocktally.Contract) bool { return c.Name == name })
}

// removalCommands returns the commands that remove what is no longer declared,
// contracts before the services that they refer to.
func (d Declaration) removalCommands(current *hemlocktally.Configuration) []hemlocktally.Command {
	var commands []hemlocktally.Command
	for _, c := range current.Contracts {
		if !d.hasContract(c.Name) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandRemoveContract, Name: string(c.Name)})
		}
	}
	for _, s := range current.Services {
		if !slices.ContainsFunc(d.Services, func(x hemlocktally.Service) bool { return x.Name == s.Name }) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandRemoveService, Name: string(s.Name)})
		}
	}
	for _, c := range current.Callers {
		if !slices.ContainsFunc(d.Callers, func(x hemlocktally.Caller) bool { return x.Name == c.Name }) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandRemoveCaller, Name: string(c.Name)})
		}
	}
	return commands
}
