package experimenter

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEveryScenarioFileLoads(t *testing.T) {
	c := qt.New(t)
	paths, err := filepath.Glob("../scenarios/*.ini")
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.Not(qt.HasLen), 0)
	for _, path := range paths {
		_, err := LoadScenario(path)
		c.Check(err, qt.IsNil)
	}
}

func TestScenarioWithAnUnknownValueIsRefused(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "bad.ini")
	c.Assert(os.WriteFile(path, []byte("[Scenario]\nFor = soon\n"), 0o600), qt.IsNil)
	_, err := LoadScenario(path)
	c.Check(err, qt.ErrorMatches, ".*bad.ini.*")
}

func TestArrivalsAreTheSameForASeedAndHoldTheMeanLoad(t *testing.T) {
	c := qt.New(t)
	s := DefaultScenario()
	s.BurstEvery, s.BurstFor, s.BurstFactor = 50*time.Millisecond, 5*time.Millisecond, 6
	first := s.Arrivals(3)
	c.Check(first, qt.DeepEquals, s.Arrivals(3))
	want := s.Load * 30 / s.Mean.Seconds() * s.For.Seconds()
	c.Check(float64(len(first)) > 0.9*want && float64(len(first)) < 1.1*want, qt.IsTrue, qt.Commentf("%d for %f", len(first), want))
}

func TestLimitOfAnIdleServiceIsTheServiceTime(t *testing.T) {
	c := qt.New(t)
	s := DefaultScenario()
	s.Load = 0.05
	s.For = 20 * time.Second
	times := s.Limit(1)
	// The median of the log-normal times is 8.8 ms; a wait would add to it.
	median := times.Quantile(ClassNormal, 0.5)
	c.Check(median > 8*time.Millisecond && median < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%s", median))
}

func TestLimitServesHighPriorityFirst(t *testing.T) {
	c := qt.New(t)
	s := DefaultScenario()
	s.Load = 1.1
	times := s.Limit(1)
	c.Check(times.Quantile(ClassHigh, 0.99) < times.Quantile(ClassNormal, 0.99)/2, qt.IsTrue)
}
