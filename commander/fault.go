package commander

import (
	"errors"
	"fmt"
	"strings"

	"hemlocktally"
	"hemlocktally/interpreter"
)

// FaultKind says what kind of fault ended a question or a command.
type FaultKind string

// The kinds of faults.
const (
	FaultSyntax FaultKind = "Syntax" // FaultSyntax is a text that the language does not know.
	FaultKey    FaultKind = "Key"    // FaultKey is a missing or wrong operator's key.
	FaultPlan   FaultKind = "Plan"   // FaultPlan names a thing that is not there, or a value that can't be.
	FaultRace   FaultKind = "Race"   // FaultRace lost to another change.
	FaultStore  FaultKind = "Store"  // FaultStore is a platform that did not answer; Unknown may be set.
	FaultBusy   FaultKind = "Busy"   // FaultBusy is an instance with too many commands.
	FaultLate   FaultKind = "Late"   // FaultLate is accepted but was not seen in force in time.
)

// Fault is the answer to a question or a command that failed. As an error, it
// reads like the text on the operator's screen.
type Fault struct {
	Kind     FaultKind
	Detail   string
	Offset   int                    `json:",omitempty"` // Offset is where a wrong word begins, in bytes.
	Found    string                 `json:",omitempty"`
	Expected []string               `json:",omitempty"`
	Winner   *hemlocktally.Accepted `json:",omitempty"` // Winner is the change that came first.
	Unknown  bool                   `json:",omitempty"` // Unknown is set where the change may have been accepted.
}

// Error returns the detail.
func (f *Fault) Error() string { return f.Detail }

// FaultOf describes an error.
func FaultOf(err error) *Fault {
	fault := &Fault{Kind: FaultStore, Detail: err.Error()}
	var syntax *interpreter.SyntaxError
	var plan *interpreter.PlanError
	var bad *hemlocktally.ChangeError
	var race *hemlocktally.RaceError
	var store *hemlocktally.StoreError
	var late *hemlocktally.LaggingError
	var unknown *hemlocktally.UnknownChangeError
	switch {
	case errors.As(err, &syntax):
		fault.Kind, fault.Offset, fault.Found, fault.Expected = FaultSyntax, syntax.Offset, syntax.Found, syntax.Expected
	case errors.As(err, &plan):
		fault.Kind, fault.Expected = FaultPlan, plan.Allowed
	case errors.As(err, &bad):
		fault.Kind = FaultPlan
	case errors.As(err, &race):
		fault.Kind, fault.Winner = FaultRace, &race.Winner
		fault.Detail += deedsOf(race.Winner.Change) + "; look at it, then repeat the command if it is still wanted"
	case errors.As(err, &late):
		fault.Kind = FaultLate
	case errors.As(err, &unknown):
		fault.Unknown = true
	case errors.As(err, &store):
		fault.Unknown = store.Unknown
	}
	return fault
}

// deedsOf says what a change did, and why.
func deedsOf(change hemlocktally.Change) string {
	var deeds []string
	for _, command := range change.Commands {
		deeds = append(deeds, strings.TrimSpace(string(command.Kind)+" "+subjectOf(command)))
	}
	text := ""
	if len(deeds) > 0 {
		text = "; it did " + strings.Join(deeds, ", ")
	}
	if change.Because != "" {
		text += fmt.Sprintf(", because %q", change.Because)
	}
	return text
}

func subjectOf(command hemlocktally.Command) string {
	switch {
	case command.Service != nil:
		return string(command.Service.Name)
	case command.Contract != nil:
		return string(command.Contract.Name)
	case command.Caller != nil:
		return string(command.Caller.Name)
	case command.Target != "":
		return command.Name + "/" + string(command.Target)
	default:
		return command.Name
	}
}
