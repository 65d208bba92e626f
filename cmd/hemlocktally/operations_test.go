package main

import (
	"encoding/json"
	"regexp"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally/logger"
)

// The lines that the operators' page quotes have events and fields of the
// catalogue.
func TestQuotedLinesAreOfTheCatalogue(t *testing.T) {
	c := qt.New(t)
	quoted := regexp.MustCompile(`(?m)^ {4}(\{"Event".*\})$`).FindAllStringSubmatch(readPage(c, "docs/OPERATIONS.md"), -1)
	c.Assert(quoted, qt.HasLen, 3)
	for _, m := range quoted {
		fields := map[string]any{}
		c.Assert(json.Unmarshal([]byte(m[1]), &fields), qt.IsNil)
		i := slices.IndexFunc(logger.Catalogue(), func(e logger.Event) bool { return float64(e.Number) == fields["Event"] })
		c.Assert(i >= 0, qt.IsTrue, qt.Commentf("%v", fields["Event"]))
		for name := range fields {
			c.Check(name == "Event" || slices.Contains(logger.Catalogue()[i].Fields, name), qt.IsTrue, qt.Commentf("%s", name))
		}
	}
}
