// Package interpreter reads the operators' query and command language. Parse
// turns a text into a typed statement; Evaluate filters and orders the rows that
// answer a query; Plan turns a command into a change of the configuration. All
// three are pure. The grammar stands in docs/operators/language.md.
package interpreter

import (
	"hemlocktally"
)

// Format is how an answer is shown.
type Format string

// The formats of answers. The zero value is a table.
const (
	FormatTable Format = ""
	FormatJSON  Format = "JSON"
)

// Statement is a Query, an Explanation or a Command.
type Statement interface {
	statement()
}

// Query asks for the rows of one topic.
type Query struct {
	Topic      Topic
	Where      []Condition // Where holds conditions that must all be true.
	OrderBy    string      // OrderBy is a column of the topic; empty keeps the topic's order.
	Descending bool
	Limit      int // Limit bounds the rows; zero means all.
	Format     Format
}

// Condition compares a column with a value.
type Condition struct {
	Column   string
	Operator Operator
	Value    string
}

// Operator is a comparison.
type Operator string

// The operators.
const (
	OperatorEqual          Operator = "="
	OperatorDiffers        Operator = "!="
	OperatorLess           Operator = "<"
	OperatorLessOrEqual    Operator = "<="
	OperatorGreater        Operator = ">"
	OperatorGreaterOrEqual Operator = ">="
	OperatorContains       Operator = "contains"
)

// Explanation asks why a call or a target went as it did.
type Explanation struct {
	Call    hemlocktally.CallID
	Service hemlocktally.ServiceName // Service may be empty where the target's name is unique.
	Target  hemlocktally.TargetName
	Format  Format
}

// Action is what a command does.
type Action string

// The actions.
const (
	ActionTakeOut   Action = "TakeOut"
	ActionBringBack Action = "BringBack"
	ActionChange    Action = "Change"
)

// Command changes the configuration.
type Command struct {
	Action   Action
	Kind     SubjectKind
	Name     string                   // Name of the zone, instance or contract.
	Service  hemlocktally.ServiceName // Service of the target; empty where the target's name is unique.
	Target   hemlocktally.TargetName
	Settings []Setting // Settings are the fields of a contract to change.
	DryRun   bool
	Base     hemlocktally.Revision // Base is the revision that the author saw; zero means the one in force.
	Wait     bool
	Because  string
}

// SubjectKind is the kind of thing that a command acts on.
type SubjectKind string

// The kinds of subjects.
const (
	SubjectZone     SubjectKind = "AvailabilityZone"
	SubjectInstance SubjectKind = "Instance"
	SubjectTarget   SubjectKind = "Target"
	SubjectContract SubjectKind = "Contract"
)

// Setting is a new value for one field of a contract.
type Setting struct {
	Field string
	Value string
}

func (Query) statement()       {}
func (Explanation) statement() {}
func (Command) statement()     {}
