package surveyor_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally/surveyor"
)

func TestFitFindsTheLineAndTheSpread(t *testing.T) {
	c := qt.New(t)
	series := surveyor.Series{Role: "owner", Cost: "bytes", Axis: surveyor.AxisInstances, Goal: 2, Points: []surveyor.Point{
		{X: 4, Y: 9}, {X: 4, Y: 11}, {X: 4, Y: 10}, {X: 8, Y: 18}, {X: 8, Y: 18}, {X: 8, Y: 18},
	}}
	line := series.Fit()
	c.Check(line.Slope > 1.99 && line.Slope < 2.01, qt.IsTrue)
	c.Check(line.At(16) > 33.9 && line.At(16) < 34.1, qt.IsTrue)
	c.Check(line.Spread, qt.Equals, 0.2)
	c.Check(series.Medians(), qt.DeepEquals, []surveyor.Point{{X: 4, Y: 10}, {X: 8, Y: 18}})
	table := surveyor.Table([]surveyor.Series{series}, surveyor.Size{Instances: 16})
	c.Check(table, qt.Contains, "| 34 at 16 | 2 | 17.00 |")
}

func TestRewriteKeepsTheRestOfThePage(t *testing.T) {
	c := qt.New(t)
	page, err := surveyor.Rewrite("a\n<!-- slopes: begin -->\nold\n<!-- slopes: end -->\nb\n", "new\n")
	c.Assert(err, qt.IsNil)
	c.Check(page, qt.Equals, "a\n<!-- slopes: begin -->\nnew\n<!-- slopes: end -->\nb\n")
	_, err = surveyor.Rewrite("a", "new")
	c.Check(err, qt.IsNotNil)
}

func TestRecordsHaveTheStatedSize(t *testing.T) {
	c := qt.New(t)
	config := surveyor.Configuration(2400)
	targets := 0
	for _, s := range config.Services {
		targets += len(s.Targets)
	}
	c.Check(targets, qt.Equals, 20000)
	series, err := surveyor.Records([]int{2, 4}, 1)
	c.Assert(err, qt.IsNil)
	for _, s := range series {
		c.Check(s.Points, qt.HasLen, 2, qt.Commentf("%s", s.Cost))
	}
	c.Check(surveyor.Turns([]int{2, 4}, 1).Points, qt.HasLen, 2)
	listing, err := surveyor.Listing([]int{2, 4})
	c.Assert(err, qt.IsNil)
	c.Check(listing.Points[1].Y > 1.9*listing.Points[0].Y, qt.IsTrue)
	c.Check(surveyor.Owners([]int{2}, 1).Points, qt.HasLen, 1)
}
