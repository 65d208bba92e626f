package loader

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"strings"

	"hemlocktally"
)

// DeclarationOf returns the declaration that describes the configuration, without
// what is out of service. It shares the configuration's callers and contracts.
func DeclarationOf(c *hemlocktally.Configuration) Declaration {
	d := Declaration{Callers: c.Callers, Contracts: c.Contracts}
	for _, z := range c.Zones {
		d.Zones = append(d.Zones, z.Name)
	}
	for _, s := range c.Services {
		d.Services = append(d.Services, copyOutFlags(s, hemlocktally.Service{}))
	}
	return d
}

// Write writes the declaration in the format of a contracts file. Keys with zero
// values are omitted.
func (d Declaration) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, zone := range d.Zones {
		writeSection(out, sectionZone, string(zone), struct{}{})
	}
	for _, s := range d.Services {
		writeSection(out, sectionService, string(s.Name), ServiceSection{ProbePath: s.ProbePath, ProbesPerSecond: s.ProbesPerSecond})
		for _, t := range s.Targets {
			writeSection(out, sectionTarget, string(s.Name)+"/"+string(t.Name), TargetSection{
				Address: t.Address, AvailabilityZone: string(t.Zone), Slots: t.Slots, MaxConnections: t.MaxConnections,
			})
		}
	}
	for _, c := range d.Callers {
		writeSection(out, sectionCaller, string(c.Name), CallerSection{Tenant: c.Tenant, KeySHA256: c.KeySHA256})
	}
	for _, c := range d.Contracts {
		writeSection(out, sectionContract, string(c.Name), newContractSection(c))
	}
	return out.Flush()
}

func newContractSection(c hemlocktally.Contract) ContractSection {
	s := ContractSection{
		Service: string(c.Service), Host: c.Match.Host, PathPrefix: c.Match.PathPrefix, Methods: c.Match.Methods,
		NonIdempotent: c.NonIdempotent, Deadline: c.Deadline, QueueLimit: c.QueueLimit,
		Hedge: c.Hedge, HedgeBudget: c.HedgeBudget, RetryBudget: c.RetryBudget,
	}
	for _, caller := range c.Match.Callers {
		s.Callers = append(s.Callers, string(caller))
	}
	if c.Priority >= hemlocktally.PriorityHigh {
		s.Priority = priorityHigh
	}
	return s
}

// writeSection writes a section header and the keys whose values are not zero. The
// section is a struct, not a pointer. Write errors surface in the Flush of the
// buffered writer.
func writeSection(w io.Writer, kind, name string, section any) {
	_, _ = fmt.Fprintf(w, "[%s %s]\n", kind, name)
	v := reflect.ValueOf(section)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			continue
		}
		text := fmt.Sprint(v.Field(i).Interface())
		if list, ok := v.Field(i).Interface().([]string); ok {
			text = strings.Join(list, ", ")
		}
		_, _ = fmt.Fprintf(w, "%s = %s\n", v.Type().Field(i).Name, text)
	}
	_, _ = fmt.Fprintln(w)
}
