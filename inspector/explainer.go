package inspector

import (
	"context"
	"fmt"
	"strings"
	"time"

	"hemlocktally"
	"hemlocktally/interpreter"
)

// Explained is the whole story of one call or one target.
type Explained struct {
	Lines []string                 // Lines tell it in sentences.
	Call  *hemlocktally.CallRecord `json:",omitempty"`
	Parts []Part
}

// Explain answers why a call or a target went as it did.
func (i *Inspector) Explain(ctx context.Context, question interpreter.Explanation) Explained {
	if question.Call != "" {
		return i.explainCall(ctx, question.Call)
	}
	return i.explainTarget(ctx, question)
}

func (i *Inspector) explainCall(ctx context.Context, call hemlocktally.CallID) Explained {
	schema, _ := interpreter.SchemaOf(string(interpreter.TopicCalls))
	var explained Explained
	for _, p := range i.gather(ctx, schema, string(call)) {
		explained.Parts = append(explained.Parts, p.Part)
		for _, record := range p.calls {
			explained.Call = &record
			explained.Lines = append(explained.Lines, CallLines(p.Instance, record)...)
		}
	}
	if explained.Call == nil {
		explained.Lines = []string{fmt.Sprintf(
			"No instance that answered keeps call %s: only recent, slow and refused calls are kept, and a replaced instance forgets its own.", call,
		)}
	}
	return explained
}

// CallLines tells a call's story in sentences.
func CallLines(instance hemlocktally.InstanceID, r hemlocktally.CallRecord) []string {
	lines := []string{
		fmt.Sprintf("Call %s: %s %s by caller %s (tenant %s), taken at %s by instance %s under revision %d.",
			r.Call, r.Method, r.Path, orNobody(string(r.Caller)), orNobody(r.Tenant), r.Started.UTC().Format("15:04:05.000"), instance, r.Revision),
		fmt.Sprintf("Contract %s on service %s: outcome %s, status %d, in %s.",
			orNobody(string(r.Contract)), orNobody(string(r.Service)), outcomeOf(r), r.Status, short(r.Total)),
		fmt.Sprintf("Waited %s for grants, of that %s in owners' queues; %s at the target; %s added by the balancer.",
			short(r.Granting), short(r.Queue), short(r.Serving), short(r.Added())),
	}
	for n, a := range r.Attempts {
		lines = append(lines, attemptLine(n+1, a))
	}
	if len(r.Attempts) == 0 {
		lines = append(lines, "No attempt was made: no byte of it reached a target.")
	}
	return lines
}

// short rounds a duration for people.
func short(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func outcomeOf(r hemlocktally.CallRecord) string {
	if r.Reason == "" {
		return string(r.Outcome)
	}
	return fmt.Sprintf("%s (%s: %s)", r.Outcome, r.Reason, r.Detail)
}

func orNobody(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

var attemptKinds = map[hemlocktally.AttemptKind]string{
	hemlocktally.AttemptFirst: "first", hemlocktally.AttemptRetry: "retry", hemlocktally.AttemptHedge: "hedge",
}

var attemptOutcomes = map[hemlocktally.AttemptOutcome]string{
	hemlocktally.AttemptDone: "done", hemlocktally.AttemptUnused: "never sent", hemlocktally.AttemptRefused: "refused by the target as not run",
	hemlocktally.AttemptFailed: "failed", hemlocktally.AttemptTimedOut: "timed out", hemlocktally.AttemptCancelled: "cancelled",
}

func attemptLine(n int, a hemlocktally.AttemptRecord) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Attempt %d (%s) on target %s in availability zone %s", n, attemptKinds[a.Kind], orNobody(string(a.Target)), orNobody(string(a.Zone)))
	if a.Alone {
		b.WriteString(", chosen without an owner")
	} else {
		fmt.Fprintf(&b, ", grant %s of owner %s", orNobody(string(a.Grant)), orNobody(string(a.Owner)))
	}
	fmt.Fprintf(&b, " after %s: started at %s, took %s, %s", short(a.Waited), short(a.Started), short(a.Took), attemptOutcomes[a.Outcome])
	link := ", on an open link"
	if a.NewLink {
		link = ", on a new link"
	}
	b.WriteString(link)
	if a.Cold {
		b.WriteString(", the target was cold")
	}
	if !a.BytesOut {
		b.WriteString(", no byte reached it")
	}
	if a.Detail != "" {
		b.WriteString(" (" + a.Detail + ")")
	}
	return b.String() + "."
}

func (i *Inspector) explainTarget(ctx context.Context, question interpreter.Explanation) Explained {
	schema, _ := interpreter.SchemaOf(string(interpreter.TopicTargets))
	answer := i.collect(ctx, schema)
	explained := Explained{Parts: answer.Parts}
	for _, row := range answer.Rows {
		if schema.Get(row, "Target") != string(question.Target) {
			continue
		}
		if question.Service != "" && schema.Get(row, "Service") != string(question.Service) {
			continue
		}
		explained.Lines = append(explained.Lines, targetLines(schema, row)...)
	}
	if len(explained.Lines) == 0 {
		explained.Lines = []string{fmt.Sprintf("No service has a target %s; show Targets lists them.", question.Target)}
	}
	return explained
}

func targetLines(schema interpreter.TopicSchema, row interpreter.Row) []string {
	get := func(column string) string { return orNobody(schema.Get(row, column)) }
	lines := []string{
		fmt.Sprintf("Target %s/%s in availability zone %s is %s: %s.", get("Service"), get("Target"), get("AvailabilityZone"), get("State"), get("Reason")),
	}
	if schema.Get(row, "Owner") == "" {
		return append(lines, "No owner has handed out work on it yet.")
	}
	return append(lines, fmt.Sprintf("Owner %s has %s calls in flight on it, of %s that it may have; it finished %s, %s%% of its service's work, with a median of %s.",
		get("Owner"), get("InFlight"), get("Cap"), get("Served"), get("SharePercent"), get("Latency")))
}
