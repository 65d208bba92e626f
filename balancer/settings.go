package balancer

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
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

// Allowed values of CallerSettings.
const (
	maxPipelineDepth = 64
	minPipelineBytes = 4 << 10
	maxPipelineBytes = 1 << 20
	maxQuotaSlack    = 1e6
)

// Allowed values of ZoneSettings.
const (
	maxPricePerMB    = time.Minute
	maxZoneDelay     = time.Second
	maxExposureSlack = 1e6
	minRollbackDelay = time.Second
)

// Allowed values of MachineSettings, and of what CallerSettings derives from them.
const (
	minCallerMB    = 4
	minConnections = 16
	maxBodyRate    = 1 << 20
	minMemoryMB    = 32
	maxMemoryMB    = 1 << 30
	minDescriptors = 256
	maxDescriptors = 1 << 30
)

func inRange(n, lo, hi int) bool { return n >= lo && n <= hi }

// Check returns a *hemlocktally.SettingError for each key that is missing or has
// an invalid value, joined by errors.Join; nil if there is none.
func (s Settings) Check(file string) error {
	const address = "an IP address with a port, such as 127.0.0.1:8080"
	levels := []string{"debug", "info", "warning", "error"}
	var errs []error
	_, policyErr := hemlocktally.ParseMechanisms(s.Policy.Off)
	for _, check := range []struct {
		section, key, found, allowed string
		ok                           bool
	}{
		{"Instance", "ID", s.Instance.ID, "a name that no other instance has", s.Instance.ID != ""},
		{"Instance", "Zone", s.Instance.Zone, "the name of an availability zone", s.Instance.Zone != ""},
		{"Listen", "Callers", s.Listen.Callers, address, loader.IsAddress(s.Listen.Callers)},
		{"Listen", "Ready", s.Listen.Ready, address, loader.IsAddress(s.Listen.Ready)},
		{"Listen", "Peers", s.Listen.Peers, address, loader.IsAddress(s.Listen.Peers)},
		{"Listen", "Metrics", s.Listen.Metrics, address + ", or nothing", s.Listen.Metrics == "" || loader.IsAddress(s.Listen.Metrics)},
		{"Callers", "PipelineDepth", strconv.Itoa(s.Callers.PipelineDepth), "a number from 1 to 64", inRange(s.Callers.PipelineDepth, 1, maxPipelineDepth)},
		{"Callers", "PipelineBytes", strconv.Itoa(s.Callers.PipelineBytes), "a number of bytes from 4096 to 1048576", inRange(s.Callers.PipelineBytes, minPipelineBytes, maxPipelineBytes)},
		{"Callers", "MemoryMB", strconv.FormatFloat(s.Callers.MemoryMB, 'g', -1, 64), "a number of MiB from 4 to 1073741824, or nothing", s.Callers.MemoryMB == 0 || (s.Callers.MemoryMB >= minCallerMB && s.Callers.MemoryMB <= maxMemoryMB)},
		{"Callers", "Connections", strconv.Itoa(s.Callers.Connections), "a number from 16 to 1073741824, or nothing", s.Callers.Connections == 0 || inRange(s.Callers.Connections, minConnections, maxDescriptors)},
		{"Callers", "MinBodyRate", strconv.Itoa(s.Callers.MinBodyRate), "a number of bytes per second from 1 to 1048576", inRange(s.Callers.MinBodyRate, 1, maxBodyRate)},
		{"Platform", "Store", s.Platform.Store, address, loader.IsAddress(s.Platform.Store)},
		{"Bounds", "RetryRatio", strconv.FormatFloat(s.Bounds.RetryRatio, 'g', -1, 64), "a share from 0 to 1", s.Bounds.RetryRatio <= 1},
		{"Quotas", "Window", s.Quotas.Window.String(), "a duration from 1s to 1m", s.Quotas.Window >= time.Second && s.Quotas.Window <= time.Minute},
		{"Quotas", "Overshoot", strconv.FormatFloat(s.Quotas.Overshoot, 'g', -1, 64), "a share from 0 to 1", s.Quotas.Overshoot >= 0 && s.Quotas.Overshoot <= 1},
		{"Quotas", "Slack", strconv.FormatFloat(s.Quotas.Slack, 'g', -1, 64), "a number from 0 to 1000000", s.Quotas.Slack >= 0 && s.Quotas.Slack <= maxQuotaSlack},
		{"Zones", "PricePerMB", s.Zones.PricePerMB.String(), "a duration from 0s to 1m", s.Zones.PricePerMB >= 0 && s.Zones.PricePerMB <= maxPricePerMB},
		{"Zones", "Delay", s.Zones.Delay.String(), "a duration from 0s to 1s", s.Zones.Delay >= 0 && s.Zones.Delay <= maxZoneDelay},
		{"Rollouts", "ExposureShare", strconv.FormatFloat(s.Rollouts.ExposureShare, 'g', -1, 64), "a share from 0 to 1, or nothing", s.Rollouts.ExposureShare >= 0 && s.Rollouts.ExposureShare <= 1},
		{"Rollouts", "ExposureSlack", strconv.FormatFloat(s.Rollouts.ExposureSlack, 'g', -1, 64), "a number of calls up to 1000000", s.Rollouts.ExposureSlack >= 0 && s.Rollouts.ExposureSlack <= maxExposureSlack},
		{"Rollouts", "RollbackDelay", s.Rollouts.RollbackDelay.String(), "a time of at least 1s", s.Rollouts.RollbackDelay >= minRollbackDelay},
		{"Machine", "MemoryMB", strconv.FormatFloat(s.Machine.MemoryMB, 'g', -1, 64), "a number of MiB from 32 to 1073741824, or nothing", s.Machine.MemoryMB == 0 || (s.Machine.MemoryMB >= minMemoryMB && s.Machine.MemoryMB <= maxMemoryMB)},
		{"Machine", "Descriptors", strconv.Itoa(s.Machine.Descriptors), "a number from 256 to 1073741824, or nothing", s.Machine.Descriptors == 0 || inRange(s.Machine.Descriptors, minDescriptors, maxDescriptors)},
		{"Policy", "Off", s.Policy.Off, "a comma-separated list of mechanism names, or nothing", policyErr == nil},
		{"Log", "Format", s.Log.Format, "Text, JSON", s.Log.Format == "Text" || s.Log.Format == "JSON"},
		{"Log", "Level", s.Log.Level, "debug, info, warning, error", slices.Contains(levels, s.Log.Level)},
	} {
		if !check.ok {
			errs = append(errs, &hemlocktally.SettingError{File: file, Section: check.section, Key: check.key, Found: check.found, Allowed: check.allowed})
		}
	}
	return errors.Join(errs...)
}
