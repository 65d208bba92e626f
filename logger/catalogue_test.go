package logger_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally/logger"
)

func TestEventsPageIsUpToDate(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(string(page), qt.Equals, logger.Markdown())
}

func TestEventNumbersAreUnique(t *testing.T) {
	c := qt.New(t)
	seen := map[int]string{}
	for _, e := range logger.Catalogue() {
		c.Check(seen[e.Number], qt.Equals, "", qt.Commentf("number %d", e.Number))
		seen[e.Number] = e.Name
		c.Check(e.Meaning, qt.Not(qt.Equals), "")
		c.Check(e.Action, qt.Not(qt.Equals), "")
	}
}
