package reporter_test

import (
	"bytes"
	"errors"
	"path/filepath"
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"

	"hemlocktally/reporter"
)

const (
	firstRound = `{"cmd":"score","at":["2026-01-02T03:04:05Z","2026-01-02T03:05:05Z"],"head":"0123456789abcdef","dirty":false,"why":"first","site":"north","score":0.5,
"days":[{"name":"calm","gate":true,"rules":{},"parts":[["whole day",0.6,0.9],["worst windows",0.4,0.8]],"prices":[["calls",12.0,0.02],["nothing",0,0]]},
{"name":"drawn","gate":true,"rules":{},"parts":[["whole day",1,1]],"prices":[]}]}`
	secondRound = `{"cmd":"score","at":["2026-01-03T03:04:05Z","2026-01-03T03:05:05Z"],"head":"fedcba9876543210","dirty":true,"why":"second | better","site":"north","score":0.7,
"days":[{"name":"calm","gate":false,"rules":{"LOST":3},"parts":[["whole day",0.6,1],["worst windows",0.4,1]],"prices":[["calls",6.0,0.01]]}]}`
	otherCommand = `{"cmd":"hunt","at":["2026-01-02T04:04:05Z"],"site":"north","score":null,"days":[]}`
)

func TestRoundsReport(t *testing.T) {
	c := qt.New(t)
	rounds, err := reporter.ReadRounds(fstest.MapFS{
		"b.json": {Data: []byte(firstRound)}, "a.json": {Data: []byte(secondRound)}, "c.json": {Data: []byte(otherCommand)},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(rounds.Rounds, qt.HasLen, 2)
	c.Check(rounds.Rounds[0].Why, qt.Equals, "first")
	c.Check(rounds.Rounds[1].Gate, qt.IsFalse)
	var page bytes.Buffer
	c.Assert(rounds.WriteMarkdown(&page), qt.IsNil)
	c.Check(page.String(), qt.Contains, "| 2026-01-02 03:04 | 0123456 | 0.500 | passed | 0.840 | first |")
	c.Check(page.String(), qt.Contains, "| 2026-01-03 03:04 | fedcba9+ | 0.700 | failed | 0.990 LOST | second / better |")
	c.Check(page.String(), qt.Contains, "| calls | 0.0100 |")
	dir := t.TempDir()
	plots, err := rounds.WritePlots(dir)
	c.Assert(err, qt.IsNil)
	c.Check(plots, qt.DeepEquals, []string{"north-prices.png", "north-worth.png"})
	for _, name := range plots {
		isPNG(c, filepath.Join(dir, name))
	}
}

func TestUnreadableRoundIsNamed(t *testing.T) {
	c := qt.New(t)
	_, err := reporter.ReadRounds(fstest.MapFS{"broken.json": {Data: []byte(`{"days":[{"parts":[["x","y",1]]}]}`)}})
	var unreadable *reporter.RoundError
	c.Assert(errors.As(err, &unreadable), qt.IsTrue)
	c.Check(unreadable.File, qt.Equals, "broken.json")
}
