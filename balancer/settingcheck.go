package balancer

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"hemlocktally"
	"hemlocktally/loader"
)

// Allowed values of CallerSettings.
const (
	maxPipelineDepth = 64
	minPipelineBytes = 4 << 10
	maxPipelineBytes = 1 << 20
)

// Allowed values of QuotaSettings, ZoneSettings and RolloutSettings.
const (
	maxQuotaSlack    = 1e6
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

func decimal(n float64) string { return strconv.FormatFloat(n, 'g', -1, 64) }

// settingCheck is the result of checking one key.
type settingCheck struct {
	section, key, found, allowed string
	ok                           bool
}

// Check returns a *hemlocktally.SettingError for each key that is missing or has
// an invalid value, joined by errors.Join; nil if there is none.
func (s Settings) Check(file string) error {
	var errs []error
	for _, check := range slices.Concat(s.instanceChecks(), s.callerChecks(), s.boundChecks()) {
		if !check.ok {
			errs = append(errs, &hemlocktally.SettingError{File: file, Section: check.section, Key: check.key, Found: check.found, Allowed: check.allowed})
		}
	}
	return errors.Join(errs...)
}

// instanceChecks checks what identifies the instance, its addresses and its log.
func (s Settings) instanceChecks() []settingCheck {
	const address = "an IP address with a port, such as 127.0.0.1:8080"
	levels := []string{"debug", "info", "warning", "error"}
	return []settingCheck{
		{"Instance", "ID", s.Instance.ID, "a name that no other instance has", s.Instance.ID != ""},
		{"Instance", "Zone", s.Instance.Zone, "the name of an availability zone", s.Instance.Zone != ""},
		{"Listen", "Callers", s.Listen.Callers, address, loader.IsAddress(s.Listen.Callers)},
		{"Listen", "Ready", s.Listen.Ready, address, loader.IsAddress(s.Listen.Ready)},
		{"Listen", "Peers", s.Listen.Peers, address, loader.IsAddress(s.Listen.Peers)},
		{"Listen", "Metrics", s.Listen.Metrics, address + ", or nothing", s.Listen.Metrics == "" || loader.IsAddress(s.Listen.Metrics)},
		{"Platform", "Store", s.Platform.Store, address, loader.IsAddress(s.Platform.Store)},
		{"Log", "Format", s.Log.Format, "Text, JSON", s.Log.Format == "Text" || s.Log.Format == "JSON"},
		{"Log", "Level", s.Log.Level, "debug, info, warning, error", slices.Contains(levels, s.Log.Level)},
	}
}

// callerChecks checks the limits of callers and of the machine.
func (s Settings) callerChecks() []settingCheck {
	return []settingCheck{
		{"Callers", "PipelineDepth", strconv.Itoa(s.Callers.PipelineDepth), "a number from 1 to 64", inRange(s.Callers.PipelineDepth, 1, maxPipelineDepth)},
		{"Callers", "PipelineBytes", strconv.Itoa(s.Callers.PipelineBytes), "a number of bytes from 4096 to 1048576", inRange(s.Callers.PipelineBytes, minPipelineBytes, maxPipelineBytes)},
		{"Callers", "MemoryMB", decimal(s.Callers.MemoryMB), "a number of MiB from 4 to 1073741824, or nothing", s.Callers.MemoryMB == 0 || (s.Callers.MemoryMB >= minCallerMB && s.Callers.MemoryMB <= maxMemoryMB)},
		{"Callers", "Connections", strconv.Itoa(s.Callers.Connections), "a number from 16 to 1073741824, or nothing", s.Callers.Connections == 0 || inRange(s.Callers.Connections, minConnections, maxDescriptors)},
		{"Callers", "MinBodyRate", strconv.Itoa(s.Callers.MinBodyRate), "a number of bytes per second from 1 to 1048576", inRange(s.Callers.MinBodyRate, 1, maxBodyRate)},
		{"Machine", "MemoryMB", decimal(s.Machine.MemoryMB), "a number of MiB from 32 to 1073741824, or nothing", s.Machine.MemoryMB == 0 || (s.Machine.MemoryMB >= minMemoryMB && s.Machine.MemoryMB <= maxMemoryMB)},
		{"Machine", "Descriptors", strconv.Itoa(s.Machine.Descriptors), "a number from 256 to 1073741824, or nothing", s.Machine.Descriptors == 0 || inRange(s.Machine.Descriptors, minDescriptors, maxDescriptors)},
	}
}

// boundChecks checks the limits that operators agreed on with their users.
func (s Settings) boundChecks() []settingCheck {
	_, policyErr := hemlocktally.ParseMechanisms(s.Policy.Off)
	return []settingCheck{
		{"Bounds", "RetryRatio", decimal(s.Bounds.RetryRatio), "a share from 0 to 1", s.Bounds.RetryRatio <= 1},
		{"Quotas", "Window", s.Quotas.Window.String(), "a duration from 1s to 1m", s.Quotas.Window >= time.Second && s.Quotas.Window <= time.Minute},
		{"Quotas", "Overshoot", decimal(s.Quotas.Overshoot), "a share from 0 to 1", s.Quotas.Overshoot >= 0 && s.Quotas.Overshoot <= 1},
		{"Quotas", "Slack", decimal(s.Quotas.Slack), "a number from 0 to 1000000", s.Quotas.Slack >= 0 && s.Quotas.Slack <= maxQuotaSlack},
		{"Zones", "PricePerMB", s.Zones.PricePerMB.String(), "a duration from 0s to 1m", s.Zones.PricePerMB >= 0 && s.Zones.PricePerMB <= maxPricePerMB},
		{"Zones", "Delay", s.Zones.Delay.String(), "a duration from 0s to 1s", s.Zones.Delay >= 0 && s.Zones.Delay <= maxZoneDelay},
		{"Rollouts", "ExposureShare", decimal(s.Rollouts.ExposureShare), "a share from 0 to 1, or nothing", s.Rollouts.ExposureShare >= 0 && s.Rollouts.ExposureShare <= 1},
		{"Rollouts", "ExposureSlack", decimal(s.Rollouts.ExposureSlack), "a number of calls up to 1000000", s.Rollouts.ExposureSlack >= 0 && s.Rollouts.ExposureSlack <= maxExposureSlack},
		{"Rollouts", "RollbackDelay", s.Rollouts.RollbackDelay.String(), "a time of at least 1s", s.Rollouts.RollbackDelay >= minRollbackDelay},
		{"Policy", "Off", s.Policy.Off, "a comma-separated list of mechanism names, or nothing", policyErr == nil},
	}
}
