package interpreter

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"

	"hemlocktally"
)

// Parse parses one statement. It returns a *SyntaxError for the first word that
// does not fit the grammar, is an unknown name or has an invalid value.
func Parse(source string) (Statement, error) {
	source = strings.Map(newlineToSpace, source)
	tree, offset, ok := parseTree(source)
	if ok {
		return newStatement(tree), nil
	}
	return nil, &SyntaxError{
		Text: source, Offset: offset, Found: wordAt(source, offset), Expected: Expected(source[:offset]),
	}
}

// newlineToSpace maps line breaks and tabs to spaces, so that the text is one line
// and a caret can be put below a word.
func newlineToSpace(r rune) rune {
	if r == '\n' || r == '\r' || r == '\t' {
		return ' '
	}
	return r
}

// parseTree parses the text and checks names and values. If ok is false, it returns
// the byte offset of the first invalid word.
func parseTree(source string) (tree *statementTree, offset int, ok bool) {
	tree, err := grammar().ParseString("", source)
	offset = len(source)
	var syntax participle.Error
	if errors.As(err, &syntax) {
		offset = min(syntax.Position().Offset, len(source))
	}
	if tree == nil {
		return nil, offset, false
	}
	if invalid := firstInvalidWord(tree); invalid != nil && invalid.Pos.Offset <= offset {
		return nil, invalid.Pos.Offset, false
	}
	return tree, offset, err == nil
}

// wordAt returns the word that begins at the byte offset, without leading spaces. It
// is empty at the end of the text.
func wordAt(source string, offset int) string {
	rest := strings.TrimSpace(source[offset:])
	if end := strings.IndexAny(rest, " \t\n,"); end > 0 {
		return rest[:end]
	}
	return rest
}

func newStatement(tree *statementTree) Statement {
	switch {
	case tree.Show != nil:
		return newQuery(tree.Show)
	case tree.Explain != nil:
		return newExplanation(tree.Explain)
	case tree.TakeOut != nil:
		return newTakeCommand(ActionTakeOut, tree.TakeOut)
	case tree.BringBack != nil:
		return newTakeCommand(ActionBringBack, tree.BringBack)
	default:
		return newChangeCommand(tree.Change)
	}
}

func newQuery(tree *showTree) Query {
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

func newExplanation(tree *explainTree) ExplainRequest {
	explanation := ExplainRequest{Format: formatOf(tree.Format)}
	if tree.Call != nil {
		explanation.Call = hemlocktally.CallID(tree.Call.Text)
		return explanation
	}
	explanation.Service, explanation.Target = splitTarget(tree.Target.Text)
	return explanation
}

// splitTarget splits service/target. The service is empty if there is no slash.
func splitTarget(name string) (hemlocktally.ServiceName, hemlocktally.TargetName) {
	service, target, found := strings.Cut(name, "/")
	if !found {
		return "", hemlocktally.TargetName(name)
	}
	return hemlocktally.ServiceName(service), hemlocktally.TargetName(target)
}

func newTakeCommand(action Action, tree *takeTree) Command {
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

func newChangeCommand(tree *changeTree) Command {
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
