package interpreter

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Row is one record of a topic. Its values stand in the order of the topic's
// columns; an unknown value is empty.
type Row struct {
	Values []string
}

// Get returns the value of a column.
func (s TopicSchema) Get(row Row, column string) string {
	for i, c := range s.Columns {
		if c.Name == column && i < len(row.Values) {
			return row.Values[i]
		}
	}
	return ""
}

// Evaluate returns the rows that the query asks for, in its order.
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
		if !ok || !condition.holds(column.Kind, s.Get(row, column.Name)) {
			return false
		}
	}
	return true
}

func (c Condition) holds(kind Kind, value string) bool {
	if c.Operator == OperatorContains {
		return strings.Contains(strings.ToLower(value), strings.ToLower(c.Value))
	}
	order := Compare(kind, value, c.Value)
	switch c.Operator {
	case OperatorEqual:
		return order == 0
	case OperatorDiffers:
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

// Compare orders two values of a kind. An empty value comes first; text is
// compared whatever the case of its letters, and digits in it as numbers.
func Compare(kind Kind, a, b string) int {
	if a == "" || b == "" {
		return cmp.Compare(a, b)
	}
	switch kind {
	case KindNumber:
		return cmp.Compare(number(a), number(b))
	case KindDuration:
		return cmp.Compare(duration(a), duration(b))
	case KindTime:
		return moment(a).Compare(moment(b))
	case KindFlag:
		return cmp.Compare(strconv.FormatBool(flag(a)), strconv.FormatBool(flag(b)))
	default:
		return compareText(strings.ToLower(a), strings.ToLower(b))
	}
}

func moment(v string) time.Time {
	t, _ := time.Parse(time.RFC3339, v)
	return t
}

// compareText orders texts so that entry-2 comes before entry-10.
func compareText(a, b string) int {
	for a != "" && b != "" {
		digitsA, digitsB := leadingDigits(a), leadingDigits(b)
		if digitsA != "" && digitsB != "" {
			if order := cmp.Or(cmp.Compare(number(digitsA), number(digitsB)), cmp.Compare(len(digitsA), len(digitsB))); order != 0 {
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
