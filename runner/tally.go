package runner

import (
	"github.com/cespare/xxhash/v2"

	"hemlocktally"
	"hemlocktally/allocator"
	"hemlocktally/chooser"
	"hemlocktally/loader"
)

// assembleTally makes the owners' server and the granter that the settings name.
func (d *Daemon) assembleTally() {
	d.peerHTTP = d.peerClient(tallyLinks)
	d.tally = &allocator.Server{Self: d.self.ID, Configuration: d.configurator}
	alone := &chooser.Chooser{
		Configuration: d.configurator, Policy: policyOf(d.Settings.Routing.Policy),
		Seed: xxhash.Sum64String(string(d.self.ID)),
	}
	if d.Settings.Routing.Policy != loader.PolicyOwner {
		d.granter = alone
		return
	}
	d.granter = &allocator.Client{
		Self: d.self.ID, Zone: d.self.Zone, Configuration: d.configurator, Members: d.registrar,
		Server: d.tally, HTTP: d.peerHTTP, Alone: alone,
	}
}

func policyOf(name string) chooser.Policy {
	switch name {
	case loader.PolicyRandom:
		return chooser.Random
	case loader.PolicyTwoChoices:
		return chooser.TwoChoices
	default:
		return chooser.LeastInFlight
	}
}

// Tally returns the owners' server of the instance.
func (d *Daemon) Tally() *allocator.Server { return d.tally }

// Revision returns the configuration in force at the instance.
func (d *Daemon) Revision() hemlocktally.Revision { return d.configurator.Current().Revision }
