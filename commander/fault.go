package commander

import (
	"errors"
	"fmt"
	"strings"

	"hemlocktally"
	"hemlocktally/interpreter"
)

// FaultKind classifies why a question or a command failed.
type FaultKind string

// The kinds of faults.
const (
	FaultSyntax   FaultKind = "Syntax" // FaultSyntax is a request that can't be parsed.
	FaultKey      FaultKind = "Key"    // FaultKey is a missing or wrong operator key.
	FaultPlan     FaultKind = "Plan"   // FaultPlan is a command that names something that does not exist or an invalid value.
	FaultConflict FaultKind = "Race"   // FaultConflict is a change that conflicts with one that was accepted first.
	FaultStore    FaultKind = "Store"  // FaultStore is a failure of the store, or any other error; Unknown may be set.
	FaultBusy     FaultKind = "Busy"   // FaultBusy is an instance that has too many commands waiting.
	FaultLate     FaultKind = "Late"   // FaultLate is an accepted change that was not confirmed to be in force in time.
)

// Fault is the answer to a question or a command that failed. Its error text is the
// text that the operator sees.
type Fault struct {
	Kind     FaultKind
	Detail   string
	Offset   int                          `json:",omitempty"` // Offset is the position of the unexpected word, in bytes.
	Found    string                       `json:",omitempty"`
	Expected []string                     `json:",omitempty"`
	Winner   *hemlocktally.AcceptedChange `json:",omitempty"` // Winner is the conflicting change that was accepted first.
	Unknown  bool                         `json:",omitempty"` // Unknown is set if the change may have been accepted.
}

// Error returns the detail.
func (f *Fault) Error() string { return f.Detail }

// FaultOf converts an error to a Fault. An error of unknown type becomes a FaultStore.
func FaultOf(err error) *Fault {
	fault := &Fault{Kind: FaultStore, Detail: err.Error()}
	var syntax *interpreter.SyntaxError
	var plan *interpreter.PlanError
	var bad *hemlocktally.ChangeError
	var race *hemlocktally.RevisionConflictError
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
		fault.Kind, fault.Winner = FaultConflict, &race.Winner
		fault.Detail += describeChange(race.Winner.Change) + "; review that change, then repeat the command if it is still needed"
	case errors.As(err, &late):
		fault.Kind = FaultLate
	case errors.As(err, &unknown):
		fault.Unknown = true
	case errors.As(err, &store):
		fault.Unknown = store.Unknown
	}
	return fault
}

// describeChange returns the commands of a change and its reason as a clause that is
// appended to an error text.
func describeChange(change hemlocktally.Change) string {
	var descriptions []string
	for _, command := range change.Commands {
		descriptions = append(descriptions, strings.TrimSpace(string(command.Kind)+" "+subjectOf(command)))
	}
	text := ""
	if len(descriptions) > 0 {
		text = "; it did " + strings.Join(descriptions, ", ")
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
