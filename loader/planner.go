package loader

import (
	"reflect"
	"slices"

	"hemlocktally"
)

// Commands returns what makes the present configuration equal to the
// declaration, as the commands of one change. Targets that operators took out
// stay out. It is empty where nothing differs.
func (d Declaration) Commands(present *hemlocktally.Configuration) []hemlocktally.Command {
	var commands []hemlocktally.Command
	for _, service := range d.Services {
		old, ok := present.Service(service.Name)
		service = keepOut(service, old)
		if !ok || !reflect.DeepEqual(old, service) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandPutService, Service: &service})
		}
	}
	for _, caller := range d.Callers {
		if !slices.Contains(present.Callers, caller) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandPutCaller, Caller: &caller})
		}
	}
	commands = append(commands, d.contractCommands(present)...)
	return append(commands, d.removals(present)...)
}

// keepOut copies what operators took out from the present service.
func keepOut(service, old hemlocktally.Service) hemlocktally.Service {
	service.Targets = slices.Clone(service.Targets)
	for i := range service.Targets {
		t := &service.Targets[i]
		t.Out = slices.ContainsFunc(old.Targets, func(x hemlocktally.Target) bool { return x.Name == t.Name && x.Out })
	}
	return service
}

// contractCommands puts the contracts that differ. The first contract that
// covers a request counts, so where the order differs, the contracts from there
// on are removed and put again.
func (d Declaration) contractCommands(present *hemlocktally.Configuration) []hemlocktally.Command {
	kept := slices.DeleteFunc(slices.Clone(present.Contracts), func(c hemlocktally.Contract) bool { return !d.hasContract(c.Name) })
	var removed, put []hemlocktally.Command
	moved := false
	for i, contract := range d.Contracts {
		if i < len(kept) && kept[i].Name != contract.Name {
			moved = true
		}
		if moved && slices.ContainsFunc(kept, func(c hemlocktally.Contract) bool { return c.Name == contract.Name }) {
			removed = append(removed, hemlocktally.Command{Kind: hemlocktally.CommandRemoveContract, Name: string(contract.Name)})
		}
		if moved || i >= len(kept) || !reflect.DeepEqual(kept[i], contract) {
			put = append(put, hemlocktally.Command{Kind: hemlocktally.CommandPutContract, Contract: &contract})
		}
	}
	return append(removed, put...)
}

func (d Declaration) hasContract(name hemlocktally.ContractName) bool {
	return slices.ContainsFunc(d.Contracts, func(c hemlocktally.Contract) bool { return c.Name == name })
}

// removals removes what is no longer declared, contracts before their services.
func (d Declaration) removals(present *hemlocktally.Configuration) []hemlocktally.Command {
	var commands []hemlocktally.Command
	for _, c := range present.Contracts {
		if !d.hasContract(c.Name) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandRemoveContract, Name: string(c.Name)})
		}
	}
	for _, s := range present.Services {
		if !slices.ContainsFunc(d.Services, func(x hemlocktally.Service) bool { return x.Name == s.Name }) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandRemoveService, Name: string(s.Name)})
		}
	}
	for _, c := range present.Callers {
		if !slices.ContainsFunc(d.Callers, func(x hemlocktally.Caller) bool { return x.Name == c.Name }) {
			commands = append(commands, hemlocktally.Command{Kind: hemlocktally.CommandRemoveCaller, Name: string(c.Name)})
		}
	}
	return commands
}
