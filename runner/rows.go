package runner

import (
	"strconv"
	"strings"
	"time"

	"hemlocktally"
	"hemlocktally/allocator"
	"hemlocktally/interpreter"
)

// This file turns what the instance knows into rows of the operators' topics;
// their values stand in the order of the topics' columns.

func row(values ...string) interpreter.Row { return interpreter.Row{Values: values} }

func count(n int) string { return strconv.Itoa(n) }

func total(n uint64) string { return strconv.FormatUint(n, 10) }

func decimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// moment shows a time; the zero time is empty.
func moment(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func (d *Daemon) configurationRows() []interpreter.Row {
	c := d.configurator.Current()
	targets := 0
	for i := range c.Services {
		targets += len(c.Services[i].Targets)
	}
	return []interpreter.Row{row(string(d.self.ID), total(uint64(d.configurator.ActingRevision())), c.Author, c.ChangeID, moment(c.AcceptedAt),
		count(len(c.Zones)), count(len(c.Services)), count(targets), count(len(c.Contracts)), count(len(c.Callers)))}
}

// maxRevisionRows bounds the history that one instance lists.
const maxRevisionRows = 50

// revisionRows lists the revision that is in force here and the ones before it.
func (d *Daemon) revisionRows() []interpreter.Row {
	acting := d.configurator.ActingRevision()
	var rows []interpreter.Row
	for _, a := range d.configurator.History(maxRevisionRows) {
		instances := "0"
		if a.Revision == acting {
			instances = "1"
		}
		rows = append(rows, row(total(uint64(a.Revision)), a.Change.Author, a.Change.ID, moment(a.AcceptedAt), instances, a.Change.Because))
	}
	return rows
}

func (d *Daemon) instanceRows() []interpreter.Row {
	config := d.configurator.Current()
	var rows []interpreter.Row
	for _, m := range d.registrar.View().Members {
		revision, heard := total(uint64(m.Revision)), ""
		if !m.HeardAt.IsZero() {
			heard = time.Since(m.HeardAt).Round(time.Millisecond).String()
		}
		if m.ID == d.self.ID {
			revision, heard = total(uint64(d.configurator.ActingRevision())), "0s"
		}
		rows = append(rows, row(string(m.ID), string(m.Zone), string(m.State), strconv.FormatBool(config.InstanceOut(m.ID)),
			revision, heard, m.CallerAddress, m.PeerAddress, m.OperatorAddress))
	}
	return rows
}

func (d *Daemon) targetRows() []interpreter.Row {
	var rows []interpreter.Row
	for _, s := range d.tally.Statuses() {
		owner := s.Owner
		if owner == "" {
			owner = d.self.ID
		}
		rows = append(rows, row(string(s.Service), string(s.Target), string(s.Zone), string(s.State), count(s.InFlight),
			count(s.Cap), total(s.Served), "", s.Latency.Round(10*time.Microsecond).String(), string(owner), s.Reason))
	}
	return rows
}

// declaredTargetRows lists every declared target, so that one without work has a
// row too, and says which are out.
func (d *Daemon) declaredTargetRows() []interpreter.Row {
	config := d.configurator.Current()
	var rows []interpreter.Row
	for i := range config.Services {
		for _, t := range config.Services[i].Targets {
			reason := ""
			switch {
			case t.Out:
				reason = "operators have the target out"
			case config.ZoneOut(t.Zone):
				reason = "operators have availability zone " + string(t.Zone) + " out"
			}
			rows = append(rows, row(string(config.Services[i].Name), string(t.Name), string(t.Zone), stateUnknown, "0", "", "0", "", "", "", reason))
		}
	}
	return rows
}

// stateUnknown is shown for a target that no owner has spoken of.
const stateUnknown = "Unknown"

func (d *Daemon) zoneWorkRows() []interpreter.Row {
	work := map[hemlocktally.ZoneName]int{}
	for _, s := range d.tally.Statuses() {
		work[s.Zone] += s.InFlight
	}
	var rows []interpreter.Row
	for zone, n := range work {
		rows = append(rows, row(string(zone), "", "", "", count(n)))
	}
	return rows
}

func (d *Daemon) declaredZoneRows() []interpreter.Row {
	config := d.configurator.Current()
	instances, targets := map[hemlocktally.ZoneName]int{}, map[hemlocktally.ZoneName]int{}
	for _, m := range d.registrar.View().Members {
		instances[m.Zone]++
	}
	for i := range config.Services {
		for _, t := range config.Services[i].Targets {
			targets[t.Zone]++
		}
	}
	var rows []interpreter.Row
	for _, z := range config.Zones {
		rows = append(rows, row(string(z.Name), strconv.FormatBool(z.Out), count(instances[z.Name]), count(targets[z.Name]), "0"))
	}
	return rows
}

func (d *Daemon) serviceWorkRows() []interpreter.Row {
	var rows []interpreter.Row
	for _, s := range d.tally.Statuses() {
		rows = append(rows, row(string(s.Service), "", "", count(s.InFlight), total(s.Served), ""))
	}
	return rows
}

func (d *Daemon) declaredServiceRows() []interpreter.Row {
	config := d.configurator.Current()
	var rows []interpreter.Row
	for i := range config.Services {
		s := &config.Services[i]
		out := 0
		for _, t := range s.Targets {
			if config.TargetOut(t) {
				out++
			}
		}
		rows = append(rows, row(string(s.Name), count(len(s.Targets)), count(out), "0", "0", decimal(s.ProbeBudget())))
	}
	return rows
}

func (d *Daemon) contractRows() []interpreter.Row {
	var rows []interpreter.Row
	for _, c := range d.configurator.Current().Contracts {
		rows = append(rows, row(string(c.Name), string(c.Service), matchText(c.Match), c.Priority.String(), strconv.FormatBool(c.NonIdempotent),
			c.CallDeadline().String(), c.EffectiveQueueLimit().String(), strconv.FormatBool(c.Hedge), decimal(c.HedgeShare()), decimal(c.RetryShare())))
	}
	return rows
}

func matchText(m hemlocktally.Match) string {
	var parts []string
	if len(m.Methods) > 0 {
		parts = append(parts, strings.Join(m.Methods, "|"))
	}
	parts = append(parts, m.Host+m.PathPrefix)
	for _, caller := range m.Callers {
		parts = append(parts, "by "+string(caller))
	}
	return strings.Join(parts, " ")
}

func (d *Daemon) ownerWorkRows() []interpreter.Row {
	var rows []interpreter.Row
	for _, s := range d.tally.Statuses() {
		owner := s.Owner
		if owner == "" {
			owner = d.self.ID
		}
		rows = append(rows, row(string(s.Service), "", string(owner), "", count(s.InFlight)))
	}
	return rows
}

func (d *Daemon) ownerRows() []interpreter.Row {
	config := d.configurator.Current()
	serving := d.registrar.View().Serving()
	var rows []interpreter.Row
	for i := range config.Services {
		if owner, ok := allocator.OwnerOf(config.Services[i].Name, serving); ok {
			rows = append(rows, row(string(config.Services[i].Name), "", string(owner.ID), count(len(config.Services[i].Targets)), "0"))
		}
	}
	return rows
}

func (d *Daemon) refusalRows() []interpreter.Row {
	var rows []interpreter.Row
	for _, r := range d.recorder.Refusals() {
		rows = append(rows, row(r.Key.Contract, string(r.Key.Reason), string(r.Key.Outcome), total(r.Count), moment(r.Since), moment(r.Last), "1"))
	}
	return rows
}

// maxCallRows bounds the calls that one instance lists.
const maxCallRows = 200

func (d *Daemon) callRows() []interpreter.Row {
	var rows []interpreter.Row
	for n, r := range d.recorder.Calls() {
		if n == maxCallRows {
			break
		}
		target := ""
		if len(r.Attempts) > 0 {
			target = string(r.Attempts[len(r.Attempts)-1].Target)
		}
		rows = append(rows, row(string(r.Call), string(r.Contract), string(r.Service), string(r.Caller), r.Tenant, r.Method, r.Path,
			string(r.Outcome), string(r.Reason), count(r.Status), count(len(r.Attempts)), target, r.Total.String(), r.Queue.String(),
			r.Granting.String(), r.Serving.String(), r.Overhead().String(), r.Started.UTC().Format(time.RFC3339Nano), string(d.self.ID)))
	}
	return rows
}

func (d *Daemon) storeRows() []interpreter.Row {
	calls := d.store.Calls()
	rate := float64(calls) / max(1, time.Since(d.started).Seconds())
	return []interpreter.Row{row(string(d.self.ID), total(calls), strconv.FormatFloat(rate, 'f', 2, 64),
		strconv.FormatBool(d.registrar.View().Frozen))}
}

// budgetRows lists each owned service's measuring, then its contracts' retries
// and hedges.
func (d *Daemon) budgetRows() []interpreter.Row {
	var rows []interpreter.Row
	for _, b := range d.tally.Budgets() {
		rows = append(rows, row(string(b.Service), "", string(b.Owner), decimal(b.ProbesPerSecond), total(b.Probes), total(b.ProbesRefused)))
		for _, c := range b.Contracts {
			rows = append(rows, row(string(b.Service), string(c.Contract), string(b.Owner), "", "", "",
				total(c.Calls), total(c.Retries), total(c.Hedges), total(c.Refused)))
		}
	}
	for i := range rows {
		for len(rows[i].Values) < budgetColumns {
			rows[i].Values = append(rows[i].Values, "")
		}
	}
	return rows
}

const budgetColumns = 10

// claimRows lists the ranges of keys that this instance holds by its own view.
func (d *Daemon) claimRows() []interpreter.Row {
	table := d.claimHolder.Table()
	var rows []interpreter.Row
	for id := range table.Assignments {
		a := &table.Assignments[id]
		if a.Holder == d.self.ID && a.Incarnation == d.self.Incarnation {
			rows = append(rows, row(count(id), string(a.Holder), total(a.Epoch), a.Lease))
		}
	}
	return rows
}
