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

// Settings holds the settings of one entry instance. Each field is a section of
// the settings file.
type Settings struct {
	Instance     InstanceSettings
	Listen       ListenSettings
	Platform     PlatformSettings
	Keys         KeySettings
	OperatorKeys map[string]string // OperatorKeys maps the name of each operator to its secret.
	Limits       LimitSettings
	Routing      RoutingSettings
	Log          LogSettings
}

// InstanceSettings identifies the instance and its availability zone.
type InstanceSettings struct {
	ID   string
	Zone string
}

// ListenSettings holds the address of each listener as IP:port.
type ListenSettings struct {
	Callers   string
	Peers     string
	Operators string
}

// PlatformSettings holds the base URLs of the platform's services.
type PlatformSettings struct {
	Store        string
	InstanceList string
	Key          string
	Timeout      time.Duration
}

// KeySettings holds the secrets that instances and operators authenticate with,
// and the TLS files.
type KeySettings struct {
	Peer            string // Peer is sent to the other instances and required from them.
	PeerAlso        string // PeerAlso is accepted in addition to Peer during a key rotation.
	Operator        string // Operator is the key of the operator named "operator".
	CertificateFile string // CertificateFile enables TLS for peers and operators.
	PrivateKeyFile  string
	AuthorityFile   string // AuthorityFile holds the CA certificates that peers are verified against.
}

// DefaultOperator is the name of the operator whose secret is Keys.Operator.
const DefaultOperator = "operator"

// Operators returns the secrets of all operators by name, including
// DefaultOperator if Keys.Operator is set. The caller owns the map.
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

// LimitSettings holds the size limits and timeouts of requests and of shutdown.
type LimitSettings struct {
	HeaderBytes       int
	BodyBytes         int64
	HoldBackBytes     int64 // HoldBackBytes is the size up to which a request or response body is buffered; larger ones are streamed.
	ReadHeaderTimeout time.Duration
	ReadBodyTimeout   time.Duration // ReadBodyTimeout bounds the wait for more of a request body.
	WriteTimeout      time.Duration // WriteTimeout bounds the wait for the caller to read more of a response.
	IdleTimeout       time.Duration
	// SettleTime is how long an instance that shuts down still accepts calls, so
	// that the platform's balancer can notice that it is leaving.
	SettleTime time.Duration
	// StopTimeout is how long calls in flight may take to end on shutdown. If the
	// longest call deadline plus WriteTimeout is more, that applies instead.
	StopTimeout time.Duration
}

// RoutingSettings selects the routing policy, one of Policies.
type RoutingSettings struct {
	Policy string
}

// LogSettings selects the log format (Text or JSON) and the lowest level (debug,
// info, warning or error).
type LogSettings struct {
	Format string
	Level  string
}

// The routing policies.
const (
	PolicyOwner         = "Owner"
	PolicyRandom        = "Random"
	PolicyLeastInFlight = "LeastInFlight"
	PolicyTwoChoices    = "TwoChoices"
)

// Policies lists all routing policies.
var Policies = []string{PolicyOwner, PolicyRandom, PolicyLeastInFlight, PolicyTwoChoices}

const (
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 64 << 20
	defaultHoldBackBytes = 256 << 10
)

// WithDefaults returns a copy of the settings in which each zero value that has a
// default is replaced by it. InstanceList defaults to Store.
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

// Check validates the settings. It returns a joined error with one
// *hemlocktally.SettingError for each missing key and invalid value, or nil. The
// file is the file name in the errors.
func (s Settings) Check(file string) error {
	var errs []error
	for _, check := range append(s.checks(), s.secretChecks()...) {
		if !check.ok {
			errs = append(errs, &hemlocktally.SettingError{
				File: file, Section: check.section, Key: check.key, Found: check.found, Allowed: check.allowed,
			})
		}
	}
	return errors.Join(errs...)
}

// settingCheck is the result of one check of a key. If ok is false, the other
// fields make up the error.
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

// secretChecks checks the lengths of the secrets and that the TLS files exist.
func (s Settings) secretChecks() []settingCheck {
	const allowed = "a secret of 16 characters or more"
	checks := []settingCheck{
		{"Keys", "Peer", describeShortSecret(s.Keys.Peer), allowed, len(s.Keys.Peer) >= minKeyLength},
		{"Keys", "PeerAlso", describeShortSecret(s.Keys.PeerAlso), allowed + ", or nothing", s.Keys.PeerAlso == "" || len(s.Keys.PeerAlso) >= minKeyLength},
		{"Keys", "Operator", "", "a secret here or in the OperatorKeys section", len(s.Operators()) > 0},
	}
	operators := s.Operators()
	for _, name := range slices.Sorted(maps.Keys(operators)) {
		section, key := "OperatorKeys", name
		if name == DefaultOperator && s.Keys.Operator != "" {
			section, key = "Keys", "Operator"
		}
		checks = append(checks, settingCheck{section, key, describeShortSecret(operators[name]), allowed, len(operators[name]) >= minKeyLength})
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

// describeShortSecret returns the text that stands for a rejected secret in
// errors, so that no secret is printed.
func describeShortSecret(secret string) string {
	if secret == "" {
		return ""
	}
	return "a secret that is too short"
}

// IsAddress reports whether the text is an IP address with a port, such as
// 127.0.0.1:8080. Host names are not accepted.
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isURL(text string) bool {
	return strings.HasPrefix(text, "http://") || strings.HasPrefix(text, "https://")
}
