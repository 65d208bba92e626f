package balancer

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"time"

	"hemlocktally"
	"hemlocktally/acceptor"
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
	Policy    PolicySettings
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
	Store string // Store is IP:port.
}

// BoundSettings hold the limits that operators have agreed on with their users.
type BoundSettings struct {
	StopTimeout     time.Duration // StopTimeout is how long a planned stop may take before the process is killed.
	RetryRatio      float64       // RetryRatio is the share of a service's calls that may be attempted again.
	RetryWindow     time.Duration // RetryWindow is the time window over which repeated attempts are counted.
	RetrySlack      float64       // RetrySlack is how many repeated attempts a window may have beyond the ratio.
	ProbesPerSecond float64       // ProbesPerSecond limits the load probes of one target.
}

// PolicySettings switch parts of the decision logic off.
type PolicySettings struct {
	Off string // Off lists the mechanisms to switch off, separated by commas, so that their effect can be measured.
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
	defaultRetryRatio      = 0.1
	defaultRetryWindow     = 10 * time.Second
	defaultProbesPerSecond = 50
	defaultMinBodyRate     = 256
)

// WithDefaults returns the settings with a default in place of each zero value.
func (s Settings) WithDefaults() Settings {
	s.Instance.Weight = cmp.Or(s.Instance.Weight, 1)
	s.Callers.PipelineDepth = cmp.Or(s.Callers.PipelineDepth, acceptor.DefaultMaxConcurrent)
	s.Callers.PipelineBytes = cmp.Or(s.Callers.PipelineBytes, acceptor.DefaultReadAheadBytes)
	s.Callers.MinBodyRate = cmp.Or(s.Callers.MinBodyRate, defaultMinBodyRate)
	s.Bounds.StopTimeout = cmp.Or(s.Bounds.StopTimeout, defaultStopTimeout)
	s.Bounds.RetryRatio = cmp.Or(s.Bounds.RetryRatio, defaultRetryRatio)
	s.Bounds.RetryWindow = cmp.Or(s.Bounds.RetryWindow, defaultRetryWindow)
	s.Bounds.ProbesPerSecond = cmp.Or(s.Bounds.ProbesPerSecond, defaultProbesPerSecond)
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
