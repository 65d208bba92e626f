package interpreter

import (
	"slices"
	"strings"
)

// placeholder describes a kind of value. The sample is a value of that kind, which
// is parsed to find out whether the kind is allowed at a position.
type placeholder struct {
	name, sample string
}

// placeholders are tried in this order if no word of the vocabulary fits. Only the
// first that fits is offered.
var placeholders = []placeholder{
	{"a name", "hemlocktally-sample-name"},
	{"a number", "1"},
	{"a duration such as 300ms", "300ms"},
	{"true or false", "true"},
	{"a time such as 2026-01-02T15:04:05Z", "2026-01-02T15:04:05Z"},
	{"a text in quotes", `"sample"`},
}

// Expected returns the words that may follow the text. If there are none, it
// returns the kind of value that may follow, or "the end".
func Expected(before string) []string {
	expected := Words(before)
	if len(expected) > 0 {
		return expected
	}
	for _, p := range placeholders {
		if canFollow(before, p.sample) {
			return []string{p.name}
		}
	}
	return []string{"the end"}
}

// Words returns the words of the language that may follow the text, sorted. It
// returns nil where any name may follow.
func Words(before string) []string {
	if canFollow(before, placeholders[0].sample) {
		return nil // Any name may follow, so no word is worth suggesting.
	}
	var words []string
	for _, w := range vocabulary() {
		if canFollow(before, w) {
			words = append(words, w)
		}
	}
	return words
}

// Complete returns the completions of the last, unfinished word of the line,
// whatever the case of its letters. Each result is a whole line.
func Complete(line string) []string {
	wordStart := strings.LastIndexAny(line, " ,") + 1
	before, prefix := line[:wordStart], strings.ToLower(line[wordStart:])
	var lines []string
	for _, w := range Words(before) {
		if strings.HasPrefix(strings.ToLower(w), prefix) {
			lines = append(lines, before+w)
		}
	}
	return lines
}

// canFollow reports whether the word is allowed after the text. It is if the
// parser accepts both together, or finds an error only at their end.
func canFollow(before, word string) bool {
	source := strings.TrimRight(before, " ") + " " + word
	_, offset, ok := parseTree(source)
	return ok || offset >= len(source)
}

// vocabulary returns the keywords, operators, topics, columns and contract fields
// of the language, sorted and without duplicates.
func vocabulary() []string {
	words := []string{
		"show", "explain", "take", "out", "bring", "back", "change", "where", "and", "order", "by", "asc", "desc",
		"limit", "as", "JSON", "table", "contains", "=", "!=", "<", "<=", ">", ">=", ",", "Call", "Target",
		"AvailabilityZone", "Instance", "Contract", "set", "dry", "run", "base", "wait", "because",
	}
	for _, s := range schemas {
		words = append(words, string(s.Topic))
	}
	for _, s := range schemas {
		words = append(words, s.ColumnNames()...)
	}
	for _, f := range contractFields {
		words = append(words, f.name)
	}
	slices.Sort(words)
	return slices.Compact(words)
}
