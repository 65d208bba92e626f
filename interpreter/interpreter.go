// Package interpreter implements the operators' query and command language. Parse
// parses a text into a typed statement, Evaluate filters and sorts the rows that
// answer a query, and Plan translates a command into configuration commands. All
// three are pure functions. The grammar is described in docs/operators/language.md.
package interpreter

import (
	"hemlocktally"
)

// Format is the output format of an answer.
type Format string

// The output formats. The zero value is a table.
const (
	FormatTable Format = ""
	FormatJSON  Format = "JSON"
)

// Statement is a Query, an Explanation or a Command.
type Statement interface {
	statement()
}

// Query is a show statement: it asks for the rows of one topic.
type Query struct {
	Topic      Topic
	Where      []Condition // Where holds the conditions, all of which must be true.
	OrderBy    string      // OrderBy is a column of the topic; if empty, the rows keep their order.
	Descending bool
	Limit      int // Limit is the maximum number of rows; zero means all.
	Format     Format
}

// Condition compares the value of a column with a constant.
type Condition struct {
	Column   string
	Operator Operator
	Value    string
}

// Operator is a comparison operator.
type Operator string

// The comparison operators. OperatorContains ignores case.
const (
	OperatorEqual          Operator = "="
	OperatorNotEqual       Operator = "!="
	OperatorLess           Operator = "<"
	OperatorLessOrEqual    Operator = "<="
	OperatorGreater        Operator = ">"
	OperatorGreaterOrEqual Operator = ">="
	OperatorContains       Operator = "contains"
)

// ExplainRequest is an explain statement: it asks for the reasons behind the outcome of
// a call or the state of a target. Either Call or Target is set.
type ExplainRequest struct {
	Call    hemlocktally.CallID
	Service hemlocktally.ServiceName // Service may be empty if the target's name is unique.
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

// Command is a statement that changes the configuration.
type Command struct {
	Action   Action
	Kind     SubjectKind
	Name     string                   // Name is the name of the zone, instance or contract; empty for a target.
	Service  hemlocktally.ServiceName // Service is the service of the target; it may be empty if the target's name is unique.
	Target   hemlocktally.TargetName
	Settings []Setting // Settings holds the new values of contract fields.
	DryRun   bool
	Base     hemlocktally.Revision // Base is the revision that the command is based on; zero means the one in force.
	Wait     bool
	Because  string
}

// SubjectKind is the kind of item that a command acts on.
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

func (Query) statement()          {}
func (ExplainRequest) statement() {}
func (Command) statement()        {}
