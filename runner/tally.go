package runner

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"hemlocktally"
	"hemlocktally/allocator"
	"hemlocktally/chooser"
	"hemlocktally/loader"
	"hemlocktally/prober"
)

// assembleTally makes the owners' server and the granter that the settings name.
func (d *Daemon) assembleTally() {
	d.peerHTTP = d.peerClient()
	peers := &allocator.Peers{Self: d.self.ID, HTTP: d.peerHTTP, Log: d.Log}
	ledger := &allocator.GrantRegistry{}
	d.peers = peers
	d.tally = &allocator.Server{
		Self: d.self.ID, Incarnation: d.self.Incarnation, Configuration: d.configurator, Members: d.registrar,
		Leaser: d.registrar, Measurer: &prober.Prober{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
		Peers: peers, Grants: ledger, Log: d.Log,
	}
	d.configurator.AppliedRevision = d.tally.AppliedRevision
	seed := xxhash.Sum64String(string(d.self.ID))
	if d.Settings.Routing.Policy != loader.PolicyOwner {
		d.granter = &chooser.Chooser{Configuration: d.configurator, Policy: policyOf(d.Settings.Routing.Policy), Seed: seed}
		return
	}
	d.granter = &allocator.Client{
		Self: d.self.ID, Incarnation: d.self.Incarnation, Zone: d.self.Zone, Configuration: d.configurator,
		Members: d.registrar, Server: d.tally, Peers: peers, Grants: ledger,
		Fallback: &chooser.Fallback{
			Self: d.self.ID, Incarnation: d.self.Incarnation, Configuration: d.configurator, Members: d.registrar,
			WarmTargets: ledger, Seed: seed,
		},
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
