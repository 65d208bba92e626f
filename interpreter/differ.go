package interpreter

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"hemlocktally"
)

// Difference is one field that differs between two configurations.
type Difference struct {
	Subject string // Subject names the thing, such as Contract Holds.
	Field   string
	Before  string // Before is empty where the thing was not there.
	After   string // After is empty where the thing is gone.
}

// String shows the difference on one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s: %s = %s", d.Subject, d.Field, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s: %s = %s", d.Subject, d.Field, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s = %s, was %s", d.Subject, d.Field, d.After, d.Before)
	}
}

// Differences lists what differs between two configurations, by subject.
func Differences(before, after *hemlocktally.Configuration) []Difference {
	old, present := facts(before), facts(after)
	var list []Difference
	for at, value := range present {
		if old[at] != value {
			list = append(list, Difference{Subject: at.subject, Field: at.field, Before: old[at], After: value})
		}
	}
	for at, value := range old {
		if _, ok := present[at]; !ok {
			list = append(list, Difference{Subject: at.subject, Field: at.field, Before: value})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Field, b.Field))
	})
	return list
}

// place is one field of one thing.
type place struct {
	subject, field string
}

// facts lists every declared field of a configuration that is not empty.
func facts(c *hemlocktally.Configuration) map[place]string {
	all := map[place]string{}
	for _, z := range c.Zones {
		collect(all, "AvailabilityZone "+string(z.Name), reflect.ValueOf(z))
		all[place{"AvailabilityZone " + string(z.Name), "Out"}] = fmt.Sprint(z.Out)
	}
	for _, s := range c.Services {
		collect(all, "Service "+string(s.Name), reflect.ValueOf(s))
		for _, t := range s.Targets {
			collect(all, fmt.Sprintf("Target %s/%s", s.Name, t.Name), reflect.ValueOf(t))
		}
	}
	for _, contract := range c.Contracts {
		collect(all, "Contract "+string(contract.Name), reflect.ValueOf(contract))
	}
	for _, caller := range c.Callers {
		collect(all, "Caller "+string(caller.Name), reflect.ValueOf(caller))
	}
	for _, id := range c.InstancesOut {
		all[place{"Instance " + string(id), "Out"}] = "true"
	}
	return all
}

// collect adds the fields of a struct that are not zero. Lists of structs are
// left out: their items are subjects of their own.
func collect(all map[place]string, subject string, v reflect.Value) {
	for i := range v.NumField() {
		field, value := v.Type().Field(i).Name, v.Field(i)
		switch {
		case field == "Name" || value.IsZero():
		case value.Kind() == reflect.Struct:
			collect(all, subject, value)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		case value.Kind() == reflect.Slice:
			all[place{subject, field}] = strings.Trim(fmt.Sprint(value.Interface()), "[]")
		default:
			all[place{subject, field}] = fmt.Sprint(value.Interface())
		}
	}
}
