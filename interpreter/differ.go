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
	Subject string // Subject is the kind and name of the item, such as Contract Holds.
	Field   string
	Before  string // Before is empty if the field was zero or the item did not exist.
	After   string // After is empty if the field is zero or the item no longer exists.
}

// String formats the difference as one line that starts with + for an added, - for
// a removed and ~ for a changed value.
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

// Differences returns the fields that differ between two configurations, ordered
// by subject and field.
func Differences(before, after *hemlocktally.Configuration) []Difference {
	old, current := fieldValues(before), fieldValues(after)
	var list []Difference
	for key, value := range current {
		if old[key] != value {
			list = append(list, Difference{Subject: key.subject, Field: key.field, Before: old[key], After: value})
		}
	}
	for key, value := range old {
		if _, ok := current[key]; !ok {
			list = append(list, Difference{Subject: key.subject, Field: key.field, Before: value})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Field, b.Field))
	})
	return list
}

// fieldKey identifies one field of one subject.
type fieldKey struct {
	subject, field string
}

// fieldValues returns the configuration's fields with non-zero values as text. The
// Out field of a zone is always included.
func fieldValues(c *hemlocktally.Configuration) map[fieldKey]string {
	all := map[fieldKey]string{}
	for _, z := range c.Zones {
		collectFields(all, "AvailabilityZone "+string(z.Name), reflect.ValueOf(z))
		all[fieldKey{"AvailabilityZone " + string(z.Name), "Out"}] = fmt.Sprint(z.Out)
	}
	for _, s := range c.Services {
		collectFields(all, "Service "+string(s.Name), reflect.ValueOf(s))
		for _, t := range s.Targets {
			collectFields(all, fmt.Sprintf("Target %s/%s", s.Name, t.Name), reflect.ValueOf(t))
		}
	}
	for _, contract := range c.Contracts {
		collectFields(all, "Contract "+string(contract.Name), reflect.ValueOf(contract))
	}
	for _, caller := range c.Callers {
		collectFields(all, "Caller "+string(caller.Name), reflect.ValueOf(caller))
	}
	for _, id := range c.InstancesOut {
		all[fieldKey{"Instance " + string(id), "Out"}] = "true"
	}
	return all
}

// collectFields adds the non-zero fields of a struct except for Name. It skips
// slices of structs, because their items are subjects of their own.
func collectFields(all map[fieldKey]string, subject string, v reflect.Value) {
	for i := range v.NumField() {
		field, value := v.Type().Field(i).Name, v.Field(i)
		switch {
		case field == "Name" || value.IsZero():
		case value.Kind() == reflect.Struct:
			collectFields(all, subject, value)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
		case value.Kind() == reflect.Slice:
			all[fieldKey{subject, field}] = strings.Trim(fmt.Sprint(value.Interface()), "[]")
		default:
			all[fieldKey{subject, field}] = fmt.Sprint(value.Interface())
		}
	}
}
