package loader

import (
	"errors"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"hemlocktally"
)

// Settings are all keys of one entry instance. Its fields are the sections of
// the file.
type Settings struct {
	Instance     InstanceSettings
	Listen       ListenSettings
	Platform     PlatformSettings
	Keys         KeySettings
	OperatorKeys map[string]string // OperatorKeys hold a secret for each operator, by name.
	Limits       LimitSettings
	Routing      RoutingSettings
	Log          LogSettings
}

// InstanceSettings say who the instance is.
type InstanceSettings struct {
	ID   string
	Zone string
}

// ListenSettings hold the IP:port of each listener.
type ListenSettings struct {
	Callers   string
	Peers     string
	Operators string
}

// PlatformSettings hold the base URLs of the platform's services.
type PlatformSettings struct {
	Store        string
	InstanceList string
	Key          string
	Timeout      time.Duration
}

// KeySettings hold the secrets between instances and of operators.
type KeySettings struct {
	Peer            string // Peer is shown to the other instances and asked of them.
	PeerAlso        string // PeerAlso is let in too, while the peers' key is rotated.
	Operator        string // Operator is the key of the operator named "operator".
	CertificateFile string // CertificateFile turns on TLS for peers and operators.
	PrivateKeyFile  string
	AuthorityFile   string // AuthorityFile holds the certificates that peers are checked against.
}

// DefaultOperator is the name of whoever shows the key Keys.Operator.
const DefaultOperator = "operator"

// Operators returns every operator's secret, by name.
func (s Settings) Operators() map[string]string {
	all := maps.Clone(s.OperatorKeys)
	if all == nil {
		all = map[string]string{}
	}
	if s.Keys.Operator != "" {
		all[DefaultOperator] = s.Keys.Operator
	}
	return all
}

// LimitSettings bound what one request may use.
type LimitSettings struct {
	HeaderBytes       int
	BodyBytes         int64
	HoldBackBytes     int64 // HoldBackBytes of an answer are held until it is whole.
	ReadHeaderTimeout time.Duration
	ReadBodyTimeout   time.Duration // ReadBodyTimeout bounds the wait for more of a caller's body.
	WriteTimeout      time.Duration // WriteTimeout bounds the wait for a caller to take more of its answer.
	IdleTimeout       time.Duration
	SettleTime        time.Duration // SettleTime is how long a leaving instance still accepts calls, until the platform's balancer has seen it.
	StopTimeout       time.Duration // StopTimeout is how long calls in flight may take to end at the least; the longest deadline counts if it is more.
}

// RoutingSettings choose the policy.
type RoutingSettings struct {
	Policy string
}

// LogSettings choose format and level.
type LogSettings struct {
	Format string
	Level  string
}

// Policies that the Routing section may name.
const (
	PolicyOwner         = "Owner"
	PolicyRandom        = "Random"
	PolicyLeastInFlight = "LeastInFlight"
	PolicyTwoChoices    = "TwoChoices"
)

// Policies lists all policies.
var Policies = []string{PolicyOwner, PolicyRandom, PolicyLeastInFlight, PolicyTwoChoices}

const (
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 64 << 20
	defaultHoldBackBytes = 256 << 10
)

// WithDefaults returns the settings with a default in place of each zero value.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Limits.HeaderBytes, defaultHeaderBytes)
	setDefault(&s.Limits.BodyBytes, defaultBodyBytes)
	setDefault(&s.Limits.HoldBackBytes, defaultHoldBackBytes)
	setDefault(&s.Limits.ReadHeaderTimeout, 5*time.Second)
	setDefault(&s.Limits.ReadBodyTimeout, 10*time.Second)
	setDefault(&s.Limits.WriteTimeout, 10*time.Second)
	setDefault(&s.Limits.SettleTime, 3*time.Second)
	setDefault(&s.Limits.IdleTimeout, time.Minute)
	setDefault(&s.Limits.StopTimeout, 30*time.Second)
	setDefault(&s.Platform.Timeout, time.Second)
	setDefault(&s.Platform.InstanceList, s.Platform.Store)
	setDefault(&s.Routing.Policy, PolicyOwner)
	setDefault(&s.Log.Format, "Text")
	setDefault(&s.Log.Level, "info")
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Check returns a *hemlocktally.SettingError for each key that is missing or
// has a value that can't work, joined.
func (s Settings) Check(file string) error {
	var bad []error
	for _, check := range append(s.checks(), s.keyChecks()...) {
		if !check.ok {
			bad = append(bad, &hemlocktally.SettingError{
				File: file, Section: check.section, Key: check.key, Found: check.found, Allowed: check.allowed,
			})
		}
	}
	return errors.Join(bad...)
}

type settingCheck struct {
	section, key, found, allowed string
	ok                           bool
}

func (s Settings) checks() []settingCheck {
	const address = "an IP address with a port, such as 127.0.0.1:8080"
	return []settingCheck{
		{"Instance", "ID", s.Instance.ID, "a name that no other instance has", s.Instance.ID != ""},
		{"Instance", "Zone", s.Instance.Zone, "the name of an availability zone", s.Instance.Zone != ""},
		{"Listen", "Callers", s.Listen.Callers, address, IsAddress(s.Listen.Callers)},
		{"Listen", "Peers", s.Listen.Peers, address, IsAddress(s.Listen.Peers)},
		{"Listen", "Operators", s.Listen.Operators, address, IsAddress(s.Listen.Operators)},
		{"Platform", "Store", s.Platform.Store, "a URL such as http://127.0.0.1:7000", isURL(s.Platform.Store)},
		{"Platform", "InstanceList", s.Platform.InstanceList, "a URL such as http://127.0.0.1:7000", isURL(s.Platform.InstanceList)},
		{"Routing", "Policy", s.Routing.Policy, strings.Join(Policies, ", "), slices.Contains(Policies, s.Routing.Policy)},
		{"Log", "Format", s.Log.Format, "Text, JSON", s.Log.Format == "Text" || s.Log.Format == "JSON"},
		{"Log", "Level", s.Log.Level, "debug, info, warning, error", slices.Contains([]string{"debug", "info", "warning", "error"}, s.Log.Level)},
	}
}

// keyChecks look at secrets and at the files of TLS.
func (s Settings) keyChecks() []settingCheck {
	const allowed = "a secret of 16 characters or more"
	checks := []settingCheck{
		{"Keys", "Peer", hide(s.Keys.Peer), allowed, len(s.Keys.Peer) >= minKeyLength},
		{"Keys", "PeerAlso", hide(s.Keys.PeerAlso), allowed + ", or nothing", s.Keys.PeerAlso == "" || len(s.Keys.PeerAlso) >= minKeyLength},
		{"Keys", "Operator", "", "a secret here or under OperatorKeys", len(s.Operators()) > 0},
	}
	operators := s.Operators()
	for _, name := range slices.Sorted(maps.Keys(operators)) {
		section, key := "OperatorKeys", name
		if name == DefaultOperator && s.Keys.Operator != "" {
			section, key = "Keys", "Operator"
		}
		checks = append(checks, settingCheck{section, key, hide(operators[name]), allowed, len(operators[name]) >= minKeyLength})
	}
	if s.Keys.CertificateFile == "" && s.Keys.PrivateKeyFile == "" && s.Keys.AuthorityFile == "" {
		return checks
	}
	for _, f := range []struct{ key, path string }{
		{"CertificateFile", s.Keys.CertificateFile}, {"PrivateKeyFile", s.Keys.PrivateKeyFile}, {"AuthorityFile", s.Keys.AuthorityFile},
	} {
		_, err := os.Stat(f.path)
		checks = append(checks, settingCheck{"Keys", f.key, f.path, "a PEM file that can be read; all three files together turn on TLS", err == nil})
	}
	return checks
}

const minKeyLength = 16

func hide(secret string) string {
	if secret == "" {
		return ""
	}
	return "a secret that is too short"
}

// IsAddress reports whether the text is an IP address with a port.
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isURL(text string) bool {
	return strings.HasPrefix(text, "http://") || strings.HasPrefix(text, "https://")
}
