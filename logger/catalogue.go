package logger

import (
	"fmt"
	"strings"
)

//go:generate go run hemlocktally/cmd/hemlocktally events --out ../docs/EVENTS.md

// Markdown returns the contents of docs/EVENTS.md, a table of all events.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery line carries the field `Event` with its number.\n\n")
	b.WriteString("| number | name | level | fields | meaning | what to do |\n|---|---|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			e.Number, e.Name, e.Level, strings.Join(e.Fields, ", "), e.Meaning, e.Action)
	}
	return b.String()
}
