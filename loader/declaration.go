package loader

import (
	"encoding/hex"
	"errors"
	"reflect"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"hemlocktally"
)

// Declaration is the content of a contracts file: the availability zones, the
// services with their targets, the callers and the contracts. It does not say
// what is out of service; operators set that by commands.
type Declaration struct {
	Zones     []hemlocktally.ZoneName
	Services  []hemlocktally.Service
	Callers   []hemlocktally.Caller
	Contracts []hemlocktally.Contract
}

// The section kinds of a contracts file.
const (
	sectionZone     = "AvailabilityZone"
	sectionService  = "Service"
	sectionTarget   = "Target"
	sectionCaller   = "Caller"
	sectionContract = "Contract"
)

// ServiceSection holds the keys of [Service NAME].
type ServiceSection struct {
	ProbePath       string
	ProbesPerSecond float64
}

// TargetSection holds the keys of [Target SERVICE/NAME].
type TargetSection struct {
	Address          string
	AvailabilityZone string
	Slots            int
	MaxConnections   int
}

// CallerSection holds the keys of [Caller NAME].
type CallerSection struct {
	Tenant    string
	KeySHA256 string
}

// ContractSection holds the keys of [Contract NAME].
type ContractSection struct {
	Service       string
	Host          string
	PathPrefix    string
	Methods       []string
	Callers       []string
	Priority      string
	NonIdempotent bool
	Deadline      time.Duration
	QueueLimit    time.Duration
	Hedge         bool
	HedgeBudget   float64
	RetryBudget   float64
}

const (
	priorityHigh   = "High"
	priorityNormal = "Normal"
)

// LoadDeclaration reads and validates the contracts file at path. The returned
// error joins one *hemlocktally.SettingError for each fault.
func LoadDeclaration(path string) (Declaration, error) { return readDeclaration(path, path) }

// ParseDeclaration parses and validates the text of a contracts file, as
// LoadDeclaration does. The name is the file name in errors.
func ParseDeclaration(name string, text []byte) (Declaration, error) {
	return readDeclaration(name, text)
}

// readDeclaration reads source, which is a path or the text itself as a []byte.
// It reads the kinds of sections in turn, because targets refer to zones and
// services, and contracts to services and callers.
func readDeclaration(name string, source any) (Declaration, error) {
	file, err := loadINI(name, source)
	if err != nil {
		return Declaration{}, err
	}
	r := &declarationReader{binder: binder{file: name}}
	for _, kind := range []string{sectionZone, sectionService, sectionTarget, sectionCaller, sectionContract, ""} {
		for _, section := range file.Sections() {
			r.readIfKind(kind, section)
		}
	}
	return r.declaration, errors.Join(r.errs...)
}

// declarationReader fills a declaration from the sections of a contracts file.
type declarationReader struct {
	binder
	declaration Declaration
}

// readIfKind reads the section if it is of the kind. With an empty kind it only
// reports a section of an unknown kind.
func (r *declarationReader) readIfKind(kind string, section *ini.Section) {
	found, name, _ := strings.Cut(section.Name(), " ")
	name = strings.TrimSpace(name)
	switch {
	case kind == "":
		r.checkSectionKind(section, found)
	case found != kind:
	case name == "":
		r.addError(section.Name(), "", section.Name(), "a name after "+kind)
	default:
		r.readNamedSection(kind, name, section)
	}
}

// checkSectionKind adds an error if the kind of the section is unknown.
func (r *declarationReader) checkSectionKind(section *ini.Section, found string) {
	kinds := []string{sectionZone, sectionService, sectionTarget, sectionCaller, sectionContract}
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 || slices.Contains(kinds, found) {
		return
	}
	r.addError(section.Name(), "", section.Name(), "[KIND NAME] with one of the kinds "+strings.Join(kinds, ", "))
}

func (r *declarationReader) readNamedSection(kind, name string, section *ini.Section) {
	switch kind {
	case sectionZone:
		r.bind(section, &struct{}{})
		r.declaration.Zones = append(r.declaration.Zones, hemlocktally.ZoneName(name))
	case sectionService:
		var s ServiceSection
		r.bind(section, &s)
		r.declaration.Services = append(r.declaration.Services, hemlocktally.Service{
			Name: hemlocktally.ServiceName(name), ProbePath: s.ProbePath, ProbesPerSecond: s.ProbesPerSecond,
		})
	case sectionTarget:
		r.readTarget(name, section)
	case sectionCaller:
		var s CallerSection
		r.bind(section, &s)
		if digest, err := hex.DecodeString(s.KeySHA256); err != nil || len(digest) != 32 {
			r.addError(section.Name(), "KeySHA256", s.KeySHA256, "the SHA-256 digest of the caller's key in 64 hexadecimal digits")
		}
		r.declaration.Callers = append(r.declaration.Callers, hemlocktally.Caller{
			Name: hemlocktally.CallerName(name), Tenant: s.Tenant, KeySHA256: strings.ToLower(s.KeySHA256),
		})
	case sectionContract:
		r.readContract(name, section)
	}
}

func (r *declarationReader) bind(section *ini.Section, into any) {
	field := reflect.ValueOf(into).Elem()
	for _, key := range section.Keys() {
		if values := key.ValueWithShadows(); len(values) > 1 {
			r.addError(section.Name(), key.Name(), strings.Join(values, " and "), "one value; the key is defined more than once")
			continue
		}
		r.bindKey(section.Name(), field, key)
	}
}

func (r *declarationReader) readTarget(name string, section *ini.Section) {
	var s TargetSection
	r.bind(section, &s)
	service, target, _ := strings.Cut(name, "/")
	i := slices.IndexFunc(r.declaration.Services, func(x hemlocktally.Service) bool { return string(x.Name) == service })
	if i < 0 || target == "" {
		r.addError(section.Name(), "", name, "SERVICE/NAME with a declared service")
		return
	}
	if !IsAddress(s.Address) {
		r.addError(section.Name(), "Address", s.Address, "an IP address with a port, such as 10.0.0.7:9000")
	}
	if !slices.Contains(r.declaration.Zones, hemlocktally.ZoneName(s.AvailabilityZone)) {
		r.addError(section.Name(), "AvailabilityZone", s.AvailabilityZone, "a declared zone: "+joinNames(r.declaration.Zones))
	}
	r.declaration.Services[i].Targets = append(r.declaration.Services[i].Targets, hemlocktally.Target{
		Name: hemlocktally.TargetName(target), Address: s.Address, Zone: hemlocktally.ZoneName(s.AvailabilityZone),
		Slots: s.Slots, MaxConnections: s.MaxConnections,
	})
}

func (r *declarationReader) readContract(name string, section *ini.Section) {
	var s ContractSection
	r.bind(section, &s)
	services := make([]hemlocktally.ServiceName, 0, len(r.declaration.Services))
	for _, service := range r.declaration.Services {
		services = append(services, service.Name)
	}
	if !slices.Contains(services, hemlocktally.ServiceName(s.Service)) {
		r.addError(section.Name(), "Service", s.Service, "a declared service: "+joinNames(services))
	}
	if s.NonIdempotent && s.Hedge {
		r.addError(section.Name(), "Hedge", "true", "false, since the contract is non-idempotent")
	}
	if s.Priority != "" && s.Priority != priorityHigh && s.Priority != priorityNormal {
		r.addError(section.Name(), "Priority", s.Priority, "High, Normal")
	}
	r.checkCallers(section.Name(), s.Callers)
	r.declaration.Contracts = append(r.declaration.Contracts, s.toContract(name))
}

func (r *declarationReader) checkCallers(section string, callers []string) {
	declared := make([]hemlocktally.CallerName, 0, len(r.declaration.Callers))
	for _, c := range r.declaration.Callers {
		declared = append(declared, c.Name)
	}
	for _, name := range callers {
		if !slices.Contains(declared, hemlocktally.CallerName(name)) {
			r.addError(section, "Callers", name, "declared callers: "+joinNames(declared))
		}
	}
}

func (s ContractSection) toContract(name string) hemlocktally.Contract {
	contract := hemlocktally.Contract{
		Name: hemlocktally.ContractName(name), Service: hemlocktally.ServiceName(s.Service),
		Match:         hemlocktally.Match{Host: s.Host, PathPrefix: s.PathPrefix, Methods: s.Methods},
		NonIdempotent: s.NonIdempotent, Deadline: s.Deadline, QueueLimit: s.QueueLimit,
		Hedge: s.Hedge, HedgeBudget: s.HedgeBudget, RetryBudget: s.RetryBudget,
	}
	for _, caller := range s.Callers {
		contract.Match.Callers = append(contract.Match.Callers, hemlocktally.CallerName(caller))
	}
	if s.Priority == priorityHigh {
		contract.Priority = hemlocktally.PriorityHigh
	}
	return contract
}

func joinNames[T ~string](names []T) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ", ")
}
