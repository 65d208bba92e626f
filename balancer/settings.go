package balancer

import (
	"cmp"
	"errors"
	"time"

	"hemlocktally"
	"hemlocktally/acceptor"
	"hemlocktally/limiter"
	"hemlocktally/loader"
)

// Settings holds all settings of one entry instance on a platform. Its fields are
// the sections of the INI file.
type Settings struct {
	Instance  InstanceSettings
	Listen    ListenSettings
	Callers   CallerSettings
	Platform  PlatformSettings
	Bounds    BoundSettings
	Quotas    QuotaSettings
	Zones     ZoneSettings
	Policy    PolicySettings
	Rollouts  RolloutSettings
	Operators OperatorSettings
	Machine   MachineSettings
	Log       loader.LogSettings
}

// InstanceSettings identify the instance.
type InstanceSettings struct {
	ID     string
	Zone   string
	Weight float64 // Weight is its share of a CPU core, in proportion to which it gets services; zero means one.
}

// ListenSettings hold the address of each listener, as IP:port.
type ListenSettings struct {
	Callers string
	Ready   string
	Peers   string
	Metrics string // Metrics may be empty.
}

// CallerSettings limit the pipelining on one connection of a caller, and what all callers
// together make the instance hold.
type CallerSettings struct {
	PipelineDepth int // PipelineDepth is how many idempotent requests of one connection are served concurrently; 1 serves them one by one.
	PipelineBytes int // PipelineBytes limits how many bytes are read ahead on one connection.
	// MemoryMB is the budget for what callers make the instance hold, in MiB; zero means a part
	// of the machine's memory.
	MemoryMB    float64
	Connections int // Connections is how many connections callers may have open; zero means a part of the machine's descriptors.
	MinBodyRate int // MinBodyRate is the least speed of a request body, in bytes per second, after its first ten seconds.
}

// PlatformSettings hold the address of the platform's store.
type PlatformSettings struct {
	Store     string        // Store is IP:port.
	Heartbeat time.Duration // Heartbeat is the interval at which targets renew their entries.
}

// BoundSettings hold the limits that operators have agreed on with their users.
type BoundSettings struct {
	StopTimeout     time.Duration // StopTimeout is how long a planned stop may take before the process is killed.
	RetryRatio      float64       // RetryRatio is the share of a service's calls that may be attempted again.
	RetryWindow     time.Duration // RetryWindow is the time window over which repeated attempts are counted.
	RetrySlack      float64       // RetrySlack is how many repeated attempts a window may have beyond the ratio.
	ProbesPerSecond float64       // ProbesPerSecond limits the load probes of one target.
}

// QuotaSettings hold the bounds of what customers with a quota may have executed.
type QuotaSettings struct {
	Window    time.Duration // Window is the time over which calls are counted.
	Overshoot float64       // Overshoot is the share of the quota that may be executed in addition.
	Slack     float64       // Slack is how many calls may be executed in addition.
}

// ZoneSettings hold what traffic between zones costs.
type ZoneSettings struct {
	PricePerMB time.Duration // PricePerMB is the time that a caller must gain to justify one megabyte between zones.
	Delay      time.Duration // Delay is how long a message takes from one zone to another.
}

// PolicySettings switch parts of the decision logic off.
type PolicySettings struct {
	Off string // Off lists the mechanisms to switch off, separated by commas, so that their effect can be measured.
}

// RolloutSettings limit what a new version of targets may get before it is known to be good.
type RolloutSettings struct {
	ExposureShare float64       // ExposureShare is its share of the service's calls since the order; without it, rollouts are off and versions are ignored.
	ExposureSlack float64       // ExposureSlack is the number of calls in addition to the share.
	RollbackDelay time.Duration // RollbackDelay is how long after its 50th bad response a bad version may get calls.
}

// OperatorSettings hold what operators need to change an instance's state.
type OperatorSettings struct {
	Key string // Key allows them to release requests that are held back; if it is empty, nobody may.
}

// MachineSettings say what the machine leaves to the instance.
type MachineSettings struct {
	MemoryMB    float64 // MemoryMB is the memory that the instance may use, in MiB; zero means the limit of its cgroup, if there is one.
	Descriptors int     // Descriptors is how many files and connections the instance may have open, ReservedDescriptors included; zero means no limit.
}

// Defaults of the settings.
const (
	defaultStopTimeout     = 6 * time.Second
	defaultHeartbeat       = 1500 * time.Millisecond
	defaultRetryRatio      = 0.1
	defaultRetryWindow     = 10 * time.Second
	defaultProbesPerSecond = 50
	defaultPricePerMB      = 40 * time.Millisecond
	defaultZoneDelay       = 1200 * time.Microsecond
	defaultExposureSlack   = 50
	defaultRollbackDelay   = 5 * time.Second
	defaultMinBodyRate     = 256
)

// WithDefaults returns the settings with a default in place of each zero value.
func (s Settings) WithDefaults() Settings {
	s.Instance.Weight = cmp.Or(s.Instance.Weight, 1)
	s.Callers.PipelineDepth = cmp.Or(s.Callers.PipelineDepth, acceptor.DefaultMaxConcurrent)
	s.Callers.PipelineBytes = cmp.Or(s.Callers.PipelineBytes, acceptor.DefaultReadAheadBytes)
	s.Platform.Heartbeat = cmp.Or(s.Platform.Heartbeat, defaultHeartbeat)
	s.Callers.MinBodyRate = cmp.Or(s.Callers.MinBodyRate, defaultMinBodyRate)
	s.Bounds.StopTimeout = cmp.Or(s.Bounds.StopTimeout, defaultStopTimeout)
	s.Bounds.RetryRatio = cmp.Or(s.Bounds.RetryRatio, defaultRetryRatio)
	s.Bounds.RetryWindow = cmp.Or(s.Bounds.RetryWindow, defaultRetryWindow)
	s.Bounds.ProbesPerSecond = cmp.Or(s.Bounds.ProbesPerSecond, defaultProbesPerSecond)
	s.Quotas.Window = cmp.Or(s.Quotas.Window, limiter.DefaultWindow)
	s.Quotas.Overshoot = cmp.Or(s.Quotas.Overshoot, limiter.DefaultOvershoot-1)
	s.Zones.PricePerMB = cmp.Or(s.Zones.PricePerMB, defaultPricePerMB)
	s.Zones.Delay = cmp.Or(s.Zones.Delay, defaultZoneDelay)
	s.Rollouts.ExposureSlack = cmp.Or(s.Rollouts.ExposureSlack, defaultExposureSlack)
	s.Rollouts.RollbackDelay = cmp.Or(s.Rollouts.RollbackDelay, defaultRollbackDelay)
	s.Log.Format = cmp.Or(s.Log.Format, "Text")
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	return s
}

// Load reads and validates a settings file. It returns a
// *hemlocktally.SettingError for each invalid key, joined by errors.Join.
func Load(path string) (Settings, error) {
	var s Settings
	err := loader.Load(path, &s)
	var bad *hemlocktally.SettingError
	if errors.As(err, &bad) && bad.Section == "" {
		return s, err // The file can't be read.
	}
	s = s.WithDefaults()
	return s, errors.Join(err, s.Check(path))
}
