package interpreter

import (
	"slices"
	"strings"
)

// placeholder is a kind of value that may stand at a place, with a sample of it.
type placeholder struct {
	name, sample string
}

// placeholders are tried after the words. A later one is offered only where no
// earlier one fits.
var placeholders = []placeholder{
	{"a name", "hemlocktally-sample-name"},
	{"a number", "1"},
	{"a duration such as 300ms", "300ms"},
	{"true or false", "true"},
	{"a time such as 2026-01-02T15:04:05Z", "2026-01-02T15:04:05Z"},
	{"a text in quotes", `"sample"`},
}

// Expected lists the words and kinds of values that may follow the text.
func Expected(before string) []string {
	expected := Words(before)
	if len(expected) > 0 {
		return expected
	}
	for _, p := range placeholders {
		if follows(before, p.sample) {
			return []string{p.name}
		}
	}
	return []string{"the end"}
}

// Words lists the words that may follow the text, for completion.
func Words(before string) []string {
	if follows(before, placeholders[0].sample) {
		return nil // Any name may follow, so that no word is special.
	}
	var words []string
	for _, w := range vocabulary() {
		if follows(before, w) {
			words = append(words, w)
		}
	}
	return words
}

// Complete returns the whole lines that the last, unfinished word of the line
// may become.
func Complete(line string) []string {
	cut := strings.LastIndexAny(line, " ,") + 1
	before, start := line[:cut], strings.ToLower(line[cut:])
	var lines []string
	for _, w := range Words(before) {
		if strings.HasPrefix(strings.ToLower(w), start) {
			lines = append(lines, before+w)
		}
	}
	return lines
}

// follows reports whether the word may stand after the text: the parser then
// finds nothing wrong before the end of the word.
func follows(before, word string) bool {
	source := strings.TrimRight(before, " ") + " " + word
	_, at, ok := parseTree(source)
	return ok || at >= len(source)
}

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
