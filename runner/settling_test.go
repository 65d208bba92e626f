package runner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSettlingCountsNoPause(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	s := settling{span: 50 * time.Millisecond}
	at := func(ms int) bool { return s.update(start.Add(time.Duration(ms) * time.Millisecond)) }
	c.Check(at(1), qt.IsFalse)
	c.Check(at(31), qt.IsFalse)
	c.Check(at(7031), qt.IsFalse, qt.Commentf("the process was paused for 7 s"))
	c.Check(at(7071), qt.IsFalse)
	c.Check(at(7081), qt.IsTrue)
}

func TestNoSpanSettlesAtOnce(t *testing.T) {
	c := qt.New(t)
	var s settling
	c.Check(s.update(time.Unix(1, 0)), qt.IsTrue)
}
