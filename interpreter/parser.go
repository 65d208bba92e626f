package interpreter

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"

	"hemlocktally"
)

// Parse reads one statement. It returns a *SyntaxError where a word is wrong.
func Parse(source string) (Statement, error) {
	source = strings.Map(toSpace, source)
	tree, at, ok := parseTree(source)
	if ok {
		return statementOf(tree), nil
	}
	return nil, &SyntaxError{
		Text: source, Offset: at, Found: wordAt(source, at), Expected: Expected(source[:at]),
	}
}

// toSpace makes one line of a text, so that a caret can point into it.
func toSpace(r rune) rune {
	if r == '\n' || r == '\r' || r == '\t' {
		return ' '
	}
	return r
}

// parseTree parses and checks names. Where something is wrong it returns the
// offset of the first wrong word.
func parseTree(source string) (tree *statementTree, at int, ok bool) {
	tree, err := grammar().ParseString("", source)
	at = len(source)
	var syntax participle.Error
	if errors.As(err, &syntax) {
		at = min(syntax.Position().Offset, len(source))
	}
	if tree == nil {
		return nil, at, false
	}
	if wrong := firstWrong(tree); wrong != nil && wrong.Pos.Offset <= at {
		return nil, wrong.Pos.Offset, false
	}
	return tree, at, err == nil
}

func wordAt(source string, offset int) string {
	rest := strings.TrimSpace(source[offset:])
	if end := strings.IndexAny(rest, " \t\n,"); end > 0 {
		return rest[:end]
	}
	return rest
}

func statementOf(tree *statementTree) Statement {
	switch {
	case tree.Show != nil:
		return queryOf(tree.Show)
	case tree.Explain != nil:
		return explanationOf(tree.Explain)
	case tree.TakeOut != nil:
		return takeOf(ActionTakeOut, tree.TakeOut)
	case tree.BringBack != nil:
		return takeOf(ActionBringBack, tree.BringBack)
	default:
		return changeOf(tree.Change)
	}
}

func queryOf(tree *showTree) Query {
	schema, _ := SchemaOf(tree.Topic.Text)
	query := Query{Topic: schema.Topic, Descending: tree.Descend, Format: formatOf(tree.Format)}
	for _, c := range tree.Where {
		column, _ := schema.Column(c.Column.Text)
		query.Where = append(query.Where, Condition{
			Column: column.Name, Operator: Operator(strings.ToLower(c.Operator)), Value: c.Value.Text,
		})
	}
	if tree.OrderBy != nil {
		column, _ := schema.Column(tree.OrderBy.Text)
		query.OrderBy = column.Name
	}
	if tree.Limit != nil {
		query.Limit, _ = strconv.Atoi(tree.Limit.Text)
	}
	return query
}

func formatOf(tree *formatTree) Format {
	if tree != nil && tree.JSON {
		return FormatJSON
	}
	return FormatTable
}

func explanationOf(tree *explainTree) Explanation {
	explanation := Explanation{Format: formatOf(tree.Format)}
	if tree.Call != nil {
		explanation.Call = hemlocktally.CallID(tree.Call.Text)
		return explanation
	}
	explanation.Service, explanation.Target = splitTarget(tree.Target.Text)
	return explanation
}

// splitTarget splits service/target; the service may be left out.
func splitTarget(name string) (hemlocktally.ServiceName, hemlocktally.TargetName) {
	service, target, found := strings.Cut(name, "/")
	if !found {
		return "", hemlocktally.TargetName(name)
	}
	return hemlocktally.ServiceName(service), hemlocktally.TargetName(target)
}

func takeOf(action Action, tree *takeTree) Command {
	command := Command{Action: action}
	switch {
	case tree.Zone != nil:
		command.Kind, command.Name = SubjectZone, tree.Zone.Text
	case tree.Instance != nil:
		command.Kind, command.Name = SubjectInstance, tree.Instance.Text
	default:
		command.Kind = SubjectTarget
		command.Service, command.Target = splitTarget(tree.Target.Text)
	}
	command.setOptions(tree.Options)
	return command
}

func changeOf(tree *changeTree) Command {
	command := Command{Action: ActionChange, Kind: SubjectContract, Name: tree.Contract.Text}
	for _, s := range tree.Settings {
		field, _ := contractField(s.Field.Text)
		command.Settings = append(command.Settings, Setting{Field: field.name, Value: s.Value.Text})
	}
	command.setOptions(tree.Options)
	return command
}

func (c *Command) setOptions(options []*optionTree) {
	for _, o := range options {
		switch {
		case o.DryRun:
			c.DryRun = true
		case o.Wait:
			c.Wait = true
		case o.Base != nil:
			base, _ := strconv.ParseUint(o.Base.Text, 10, 64)
			c.Base = hemlocktally.Revision(base)
		case o.Because != nil:
			c.Because = o.Because.Text
		}
	}
}
