package reporter_test

import (
	"bytes"
	"errors"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/recorder"
	"hemlocktally/reporter"
)

const benchFile = `Scenario,Policy,Column,Median,Low,High
calm,Owner,HighP99Ms,20.5,20,21
calm,Random,HighP99Ms,60,60,60
calm,Owner,Doubled,0,0,0
rough,Owner,HighP99Ms,30,29,35
`

func isPNG(c *qt.C, path string) {
	file, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer func() { _ = file.Close() }()
	_, err = png.DecodeConfig(file)
	c.Assert(err, qt.IsNil)
}

func TestBenchReport(t *testing.T) {
	c := qt.New(t)
	bench, err := reporter.ReadBench(strings.NewReader(benchFile))
	c.Assert(err, qt.IsNil)
	var page bytes.Buffer
	c.Assert(bench.WriteMarkdown(&page), qt.IsNil)
	c.Check(page.String(), qt.Contains, "| Owner | 20.5 (20 to 21) | 0 |\n| Random | 60 | - |\n")
	dir := c.TB.(*testing.T).TempDir()
	files, err := bench.WritePlots(dir)
	c.Assert(err, qt.IsNil)
	c.Check(files, qt.DeepEquals, []string{"HighP99Ms.png"})
	isPNG(c, filepath.Join(dir, files[0]))
}

func TestBadBenchFileNamesTheColumn(t *testing.T) {
	for _, text := range []string{"", "Scenario,Policy\n", strings.Replace(benchFile, "20.5", "fast", 1)} {
		c := qt.New(t)
		_, err := reporter.ReadBench(strings.NewReader(text))
		var bad *reporter.ColumnError
		c.Assert(errors.As(err, &bad), qt.IsTrue)
		c.Check(bad.Column, qt.Not(qt.Equals), "")
	}
}

func TestFleetReport(t *testing.T) {
	c := qt.New(t)
	var r recorder.Recorder
	for i := range 1000 {
		r.Record(hemlocktally.CallRecord{
			Contract: "Holds", Tenant: "counter", Outcome: hemlocktally.OutcomeDone, Total: time.Duration(i) * time.Millisecond,
		})
	}
	fleet := reporter.Fleet{Distributions: r.Distributions()}
	var page bytes.Buffer
	c.Assert(fleet.WriteMarkdown(&page), qt.IsNil)
	c.Check(page.String(), qt.Contains, "| Holds | counter | Done | Total | 1000 |")
	dir := c.TB.(*testing.T).TempDir()
	files, err := fleet.WritePlots(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, len(recorder.Measures))
	isPNG(c, filepath.Join(dir, "Added.png"))
}
