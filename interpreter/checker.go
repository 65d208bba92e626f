package interpreter

import (
	"strconv"
	"time"
)

// firstWrong returns the first word whose place in the grammar is right but
// whose name or value is not. The tree may be incomplete.
func firstWrong(tree *statementTree) *wordTree {
	switch {
	case tree.Show != nil:
		return wrongInShow(tree.Show)
	case tree.Change != nil:
		return wrongInChange(tree.Change)
	case tree.TakeOut != nil:
		return wrongInOptions(tree.TakeOut.Options)
	case tree.BringBack != nil:
		return wrongInOptions(tree.BringBack.Options)
	default:
		return nil
	}
}

func wrongInShow(tree *showTree) *wordTree {
	if tree.Topic == nil {
		return nil
	}
	schema, ok := SchemaOf(tree.Topic.Text)
	if !ok {
		return tree.Topic
	}
	for _, c := range tree.Where {
		if wrong := wrongInCondition(schema, c); wrong != nil {
			return wrong
		}
	}
	if tree.OrderBy != nil {
		if _, ok := schema.Column(tree.OrderBy.Text); !ok {
			return tree.OrderBy
		}
	}
	if tree.Limit != nil && !isWhole(tree.Limit.Text) {
		return tree.Limit
	}
	return nil
}

func wrongInCondition(schema TopicSchema, c *conditionTree) *wordTree {
	if c == nil || c.Column == nil {
		return nil
	}
	column, ok := schema.Column(c.Column.Text)
	if !ok {
		return c.Column
	}
	if c.Value != nil && c.Operator != string(OperatorContains) && !column.Kind.accepts(c.Value.Text) {
		return c.Value
	}
	return nil
}

// accepts reports whether the text is a value of the kind.
func (k Kind) accepts(value string) bool {
	switch k {
	case KindNumber:
		_, err := strconv.ParseFloat(value, 64)
		return err == nil
	case KindDuration:
		_, err := time.ParseDuration(value)
		return err == nil
	case KindTime:
		_, err := time.Parse(time.RFC3339, value)
		return err == nil
	case KindFlag:
		_, err := strconv.ParseBool(value)
		return err == nil
	default:
		return true
	}
}

func wrongInChange(tree *changeTree) *wordTree {
	for _, s := range tree.Settings {
		if s == nil || s.Field == nil {
			return nil
		}
		field, ok := contractField(s.Field.Text)
		if !ok {
			return s.Field
		}
		if s.Value != nil && !field.kind.accepts(s.Value.Text) {
			return s.Value
		}
	}
	return wrongInOptions(tree.Options)
}

func wrongInOptions(options []*optionTree) *wordTree {
	for _, o := range options {
		if o != nil && o.Base != nil && !isWhole(o.Base.Text) {
			return o.Base
		}
	}
	return nil
}

func isWhole(value string) bool {
	_, err := strconv.ParseUint(value, 10, 32)
	return err == nil
}
