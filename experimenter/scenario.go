package experimenter

import (
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"hemlocktally"
)

// Scenario is one experiment of the bench: a size, a load and faults. Its
// fields are the keys of the section Scenario in an INI file.
type Scenario struct {
	Name       string
	For        time.Duration // For is how long the load lasts.
	Load       float64       // Load is the share of the targets' slots that is busy in the mean.
	Instances  int
	Targets    int
	Mean       time.Duration // Mean is the mean time of a call at a target.
	HighShare  float64       // HighShare is the share of calls that are high-priority reads.
	WriteShare float64       // WriteShare is the share of calls that are non-idempotent.

	BurstEvery  time.Duration // BurstEvery is the time from burst to burst; zero means none.
	BurstFor    time.Duration
	BurstFactor float64 // BurstFactor multiplies the rate within a burst.

	StraggleEvery time.Duration // StraggleEvery is the time from straggler to straggler; zero means none.
	StraggleFor   time.Duration
	StraggleSlow  float64 // StraggleSlow multiplies the time of a straggler's calls.

	ColdEvery   time.Duration // ColdEvery is the time from one target's turning cold to the next.
	SilentEvery time.Duration // SilentEvery is the time between silencings of one target's links.
	LieIdle     bool          // LieIdle makes every load endpoint report an idle target.
	LoadLag     time.Duration // LoadLag makes the load endpoints report the past.
	ZoneOutAt   time.Duration // ZoneOutAt is when a zone is taken out; zero means never.
	ZoneBackAt  time.Duration
	CrashAt     time.Duration // CrashAt is when the owner of the service crashes; zero means never.
	StoreDownAt time.Duration // StoreDownAt is when the platform's key-value service goes down; zero means never.
	StoreBackAt time.Duration
	PeerDelay   time.Duration // PeerDelay is the one-way delay between two zones.
}

// LoadScenario reads a scenario from an INI file and fills in the defaults.
func LoadScenario(path string) (Scenario, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Scenario{}, Error.Wrap(err)
	}
	scenario := DefaultScenario()
	scenario.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := file.Section("Scenario").StrictMapTo(&scenario); err != nil {
		return Scenario{}, Error.New("%s: %v", path, err)
	}
	return scenario, nil
}

// DefaultScenario returns a steady load of 0.7 at the size of the catalogue
// service.
func DefaultScenario() Scenario {
	return Scenario{
		For: 4 * time.Second, Load: 0.7, Instances: 16, Targets: 15, Mean: 10 * time.Millisecond,
		HighShare: 0.25, WriteShare: 0.05,
	}
}

// benchService is the service that the bench loads.
const benchService = hemlocktally.ServiceName("catalogue")

// deployment returns the fleet of the scenario.
func (s Scenario) deployment(policy string, seed uint64) Deployment {
	return Deployment{
		Name: s.Name, Policy: policy, Seed: seed, Instances: s.Instances,
		Zones:    []hemlocktally.ZoneName{"kingston-a", "kingston-b", "kingston-c"},
		Services: []DeployedService{{Name: benchService, Targets: s.Targets, MaxConnections: 240, Mean: s.Mean}},
		Callers:  []hemlocktally.Caller{caller("counter", "association", CounterKey)},
		Contracts: []hemlocktally.Contract{
			read("CounterSearch", benchService, "/catalogue/", hemlocktally.PriorityHigh, "counter"),
			read("PublicSearch", benchService, "/catalogue/", hemlocktally.PriorityNormal),
			write("Holds", benchService, "/holds/"),
		},
	}
}

// rate returns the calls per second outside of bursts, such that the mean load
// holds with them.
func (s Scenario) rate() float64 {
	rate := s.Load * float64(s.Targets*hemlocktally.DefaultSlots) / s.Mean.Seconds()
	if s.BurstEvery <= 0 {
		return rate
	}
	share := s.BurstFor.Seconds() / s.BurstEvery.Seconds()
	return rate / (1 + share*(s.BurstFactor-1))
}
