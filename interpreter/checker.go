package interpreter

import (
	"strconv"
	"time"
)

// firstInvalidWord returns the first word that fits the grammar but is an unknown
// name or an invalid value, or nil. The tree may be incomplete, as it is after a
// syntax error.
func firstInvalidWord(tree *statementTree) *wordTree {
	switch {
	case tree.Show != nil:
		return invalidInShow(tree.Show)
	case tree.Change != nil:
		return invalidInChange(tree.Change)
	case tree.TakeOut != nil:
		return invalidInOptions(tree.TakeOut.Options)
	case tree.BringBack != nil:
		return invalidInOptions(tree.BringBack.Options)
	default:
		return nil
	}
}

func invalidInShow(tree *showTree) *wordTree {
	if tree.Topic == nil {
		return nil
	}
	schema, ok := SchemaOf(tree.Topic.Text)
	if !ok {
		return tree.Topic
	}
	for _, c := range tree.Where {
		if invalid := invalidInCondition(schema, c); invalid != nil {
			return invalid
		}
	}
	if tree.OrderBy != nil {
		if _, ok := schema.Column(tree.OrderBy.Text); !ok {
			return tree.OrderBy
		}
	}
	if tree.Limit != nil && !isWholeNumber(tree.Limit.Text) {
		return tree.Limit
	}
	return nil
}

func invalidInCondition(schema TopicSchema, c *conditionTree) *wordTree {
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

// accepts reports whether the value can be parsed as one of the kind.
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
	case KindBool:
		_, err := strconv.ParseBool(value)
		return err == nil
	default:
		return true
	}
}

func invalidInChange(tree *changeTree) *wordTree {
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
	return invalidInOptions(tree.Options)
}

func invalidInOptions(options []*optionTree) *wordTree {
	for _, o := range options {
		if o != nil && o.Base != nil && !isWholeNumber(o.Base.Text) {
			return o.Base
		}
	}
	return nil
}

// isWholeNumber reports whether the value is an unsigned 32-bit decimal number.
func isWholeNumber(value string) bool {
	_, err := strconv.ParseUint(value, 10, 32)
	return err == nil
}
