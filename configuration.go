package hemlocktally

import (
	"context"
	"slices"
	"time"
)

// Revision numbers accepted configurations; it only increases.
type Revision uint64

// Configuration is everything that operators have declared, at one revision.
type Configuration struct {
	Revision   Revision
	ChangeID   string
	Author     string
	AcceptedAt time.Time
	Zones      []AvailabilityZone
	Services   []Service
	Contracts  []Contract
	Callers    []Caller
	Limits     CallerLimits
	// KeysRequired is set if the configuration declares customers, also if none of them is
	// valid: calls then need a customer's key unless their contract is public.
	KeysRequired bool         `json:",omitempty"`
	Customers    []Customer   `json:",omitempty"`
	CustomerKeys CustomerKeys `json:"-"` // CustomerKeys holds the positions of keys' holders in Customers.
	InstancesOut []InstanceID
	// Hash is computed over all accepted changes up to the revision.
	// Configurations of the same revision with different hashes are different.
	Hash string
	// Provisional holds the stops that instances apply already but the store has
	// not accepted yet. The fields above include their effect.
	Provisional []ProvisionalStop `json:",omitempty"`
}

// CallerLimits bound what a caller may send and how long it may take. A zero
// field leaves the instance's own setting in effect.
type CallerLimits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // IdleTimeout is how long a caller's connection may stay idle.
}

// ConfigurationSource returns the configuration in effect.
type ConfigurationSource interface {
	Current() *Configuration
}

// StartupWaiter waits for the first configuration.
type StartupWaiter interface {
	// Await returns once there is a configuration, none is expected soon, or the
	// context ends.
	Await(ctx context.Context)
}

// Find returns the first contract that covers the request.
func (c *Configuration) Find(line RequestAttributes) (Contract, bool) {
	for _, contract := range c.Contracts {
		if contract.Match.Covers(line) {
			return contract, true
		}
	}
	return Contract{}, false
}

// Service returns the service with the given name.
func (c *Configuration) Service(name ServiceName) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// WeighsZones reports whether calls leave their zone by demand, speed and the cost of the path:
// in a configuration that declares customers or contracts with large responses.
func (c *Configuration) WeighsZones() bool {
	return c.KeysRequired || slices.ContainsFunc(c.Contracts, func(contract Contract) bool { return contract.LargeResponses })
}

// ZoneOut reports whether operators have taken the zone out of service.
func (c *Configuration) ZoneOut(name ZoneName) bool {
	for _, z := range c.Zones {
		if z.Name == name {
			return z.Out
		}
	}
	return false
}

// InstanceOut reports whether operators have taken the instance out of service.
func (c *Configuration) InstanceOut(id InstanceID) bool {
	return slices.Contains(c.InstancesOut, id)
}

// TargetOut reports whether a target gets no new calls because operators took it
// or its zone out of service.
func (c *Configuration) TargetOut(t Target) bool {
	return t.Out || c.ZoneOut(t.Zone)
}
