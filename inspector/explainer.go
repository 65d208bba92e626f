package inspector

import (
	"context"
	"fmt"
	"strings"
	"time"

	"hemlocktally"
	"hemlocktally/interpreter"
)

// Explanation describes what happened to one call, or the state of one target.
type Explanation struct {
	Lines []string                 // Lines holds the description in sentences.
	Call  *hemlocktally.CallRecord `json:",omitempty"`
	Parts []Part
}

// Explain describes the attempts and outcome of a call, or the state of a target.
func (i *Inspector) Explain(ctx context.Context, question interpreter.ExplainRequest) Explanation {
	if question.Call != "" {
		return i.explainCall(ctx, question.Call)
	}
	return i.explainTarget(ctx, question)
}

func (i *Inspector) explainCall(ctx context.Context, call hemlocktally.CallID) Explanation {
	schema, _ := interpreter.SchemaOf(string(interpreter.TopicCalls))
	var explained Explanation
	for _, p := range i.gather(ctx, schema, string(call)) {
		explained.Parts = append(explained.Parts, p.Part)
		for _, record := range p.calls {
			explained.Call = &record
			explained.Lines = append(explained.Lines, CallLines(p.Instance, record)...)
		}
	}
	if explained.Call == nil {
		explained.Lines = []string{fmt.Sprintf(
			"No instance that responded has a record of call %s: only recent, slow and refused calls are kept, and the records of a replaced instance are lost.", call,
		)}
	}
	return explained
}

// CallLines describes a call and each of its attempts in sentences.
func CallLines(instance hemlocktally.InstanceID, r hemlocktally.CallRecord) []string {
	lines := []string{
		fmt.Sprintf("Call %s: %s %s by caller %s (tenant %s), received at %s by instance %s under revision %d.",
			r.Call, r.Method, r.Path, orNone(string(r.Caller)), orNone(r.Tenant), r.Started.UTC().Format("15:04:05.000"), instance, r.Revision),
		fmt.Sprintf("Contract %s of service %s: outcome %s, status %d, in %s.",
			orNone(string(r.Contract)), orNone(string(r.Service)), outcomeText(r), r.Status, roundDuration(r.Total)),
		fmt.Sprintf("Waited %s for grants, including %s in owners' queues; %s at the target; %s added by the balancer.",
			roundDuration(r.Granting), roundDuration(r.Queue), roundDuration(r.Serving), roundDuration(r.Overhead())),
	}
	for n, a := range r.Attempts {
		lines = append(lines, attemptLine(n+1, a))
	}
	if len(r.Attempts) == 0 {
		lines = append(lines, "No attempt was made: no byte of the call was sent to a target.")
	}
	return lines
}

// roundDuration rounds a duration to 10 µs for display.
func roundDuration(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func outcomeText(r hemlocktally.CallRecord) string {
	if r.Reason == "" {
		return string(r.Outcome)
	}
	return fmt.Sprintf("%s (%s: %s)", r.Outcome, r.Reason, r.Detail)
}

func orNone(name string) string {
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
	fmt.Fprintf(&b, "Attempt %d (%s) on target %s in availability zone %s", n, attemptKinds[a.Kind], orNone(string(a.Target)), orNone(string(a.Zone)))
	if a.Alone {
		b.WriteString(", chosen without an owner")
	} else {
		fmt.Fprintf(&b, ", grant %s of owner %s", orNone(string(a.Grant)), orNone(string(a.Owner)))
	}
	fmt.Fprintf(&b, " after %s: started at %s, took %s, %s", roundDuration(a.Waited), roundDuration(a.Started), roundDuration(a.Took), attemptOutcomes[a.Outcome])
	connection := ", on an open connection"
	if a.NewLink {
		connection = ", on a new connection"
	}
	b.WriteString(connection)
	if a.Cold {
		b.WriteString(", the target was cold")
	}
	if !a.BytesOut {
		b.WriteString(", no byte was sent to it")
	}
	if a.Detail != "" {
		b.WriteString(" (" + a.Detail + ")")
	}
	return b.String() + "."
}

func (i *Inspector) explainTarget(ctx context.Context, question interpreter.ExplainRequest) Explanation {
	schema, _ := interpreter.SchemaOf(string(interpreter.TopicTargets))
	answer := i.collect(ctx, schema)
	explained := Explanation{Parts: answer.Parts}
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
		explained.Lines = []string{fmt.Sprintf("No service has a target %s; show Targets lists all targets.", question.Target)}
	}
	return explained
}

func targetLines(schema interpreter.TopicSchema, row interpreter.Row) []string {
	get := func(column string) string { return orNone(schema.Get(row, column)) }
	lines := []string{
		fmt.Sprintf("Target %s/%s in availability zone %s is %s: %s.", get("Service"), get("Target"), get("AvailabilityZone"), get("State"), get("Reason")),
	}
	if schema.Get(row, "Owner") == "" {
		return append(lines, "No owner has assigned calls to it yet.")
	}
	return append(lines, fmt.Sprintf("Owner %s has %s calls in flight to it, with a limit of %s; it completed %s calls, %s%% of its service's calls, with a median latency of %s.",
		get("Owner"), get("InFlight"), get("Cap"), get("Served"), get("SharePercent"), get("Latency")))
}
