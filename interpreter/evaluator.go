package interpreter

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Row is one record of a topic. Values are in the order of the topic's columns; an
// unknown value is empty.
type Row struct {
	Values []string
}

// Get returns the value of the column in the row, or an empty string if there is
// none. The case of the column name matters.
func (s TopicSchema) Get(row Row, column string) string {
	for i, c := range s.Columns {
		if c.Name == column && i < len(row.Values) {
			return row.Values[i]
		}
	}
	return ""
}

// Evaluate filters, sorts and limits the rows as the query says. It does not
// modify rows; the results share their Values.
func Evaluate(query Query, rows []Row) []Row {
	schema, _ := SchemaOf(string(query.Topic))
	var selected []Row
	for _, row := range rows {
		if schema.matches(row, query.Where) {
			selected = append(selected, row)
		}
	}
	if column, ok := schema.Column(query.OrderBy); ok {
		slices.SortStableFunc(selected, func(a, b Row) int {
			order := Compare(column.Kind, schema.Get(a, column.Name), schema.Get(b, column.Name))
			if query.Descending {
				return -order
			}
			return order
		})
	}
	if query.Limit > 0 && len(selected) > query.Limit {
		selected = selected[:query.Limit]
	}
	return selected
}

func (s TopicSchema) matches(row Row, conditions []Condition) bool {
	for _, condition := range conditions {
		column, ok := s.Column(condition.Column)
		if !ok || !condition.matches(column.Kind, s.Get(row, column.Name)) {
			return false
		}
	}
	return true
}

func (c Condition) matches(kind Kind, value string) bool {
	if c.Operator == OperatorContains {
		return strings.Contains(strings.ToLower(value), strings.ToLower(c.Value))
	}
	order := Compare(kind, value, c.Value)
	switch c.Operator {
	case OperatorEqual:
		return order == 0
	case OperatorNotEqual:
		return order != 0
	case OperatorLess:
		return order < 0
	case OperatorLessOrEqual:
		return order <= 0
	case OperatorGreater:
		return order > 0
	default:
		return order >= 0
	}
}

// Compare returns a negative number if a sorts before b, zero if they are equal and
// a positive number if a sorts after b. An empty value sorts first. Text is compared
// without regard to case, and digits in it as numbers.
func Compare(kind Kind, a, b string) int {
	if a == "" || b == "" {
		return cmp.Compare(a, b)
	}
	switch kind {
	case KindNumber:
		return cmp.Compare(parseNumber(a), parseNumber(b))
	case KindDuration:
		return cmp.Compare(parseDuration(a), parseDuration(b))
	case KindTime:
		return parseTime(a).Compare(parseTime(b))
	case KindBool:
		return cmp.Compare(strconv.FormatBool(parseFlag(a)), strconv.FormatBool(parseFlag(b)))
	default:
		return compareText(strings.ToLower(a), strings.ToLower(b))
	}
}

func parseTime(v string) time.Time {
	t, _ := time.Parse(time.RFC3339, v)
	return t
}

// compareText compares runs of digits as numbers, so that entry-2 sorts before
// entry-10.
func compareText(a, b string) int {
	for a != "" && b != "" {
		digitsA, digitsB := leadingDigits(a), leadingDigits(b)
		if digitsA != "" && digitsB != "" {
			if order := cmp.Or(cmp.Compare(parseNumber(digitsA), parseNumber(digitsB)), cmp.Compare(len(digitsA), len(digitsB))); order != 0 {
				return order
			}
			a, b = a[len(digitsA):], b[len(digitsB):]
			continue
		}
		if a[0] != b[0] {
			return cmp.Compare(a[0], b[0])
		}
		a, b = a[1:], b[1:]
	}
	return cmp.Compare(len(a), len(b))
}

func leadingDigits(text string) string {
	return text[:len(text)-len(strings.TrimLeft(text, "0123456789"))]
}
