package dialer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Targets are many, and each may have many links: together they must leave descriptors for the
// callers.
func TestLinksToAllTargetsAreLimited(t *testing.T) {
	c := qt.New(t)
	oldest := &link{}
	busy, idle := &pool{total: 2}, &pool{total: 3, idle: []*link{oldest, {}}}
	d := &Dialer{MaxLinks: 5, pools: map[string]*pool{"busy": busy, "idle": idle}}

	below := takeResult{dial: true}
	d.makeRoom(busy, &below)
	c.Check(below.dial, qt.IsTrue)
	c.Check(below.toClose, qt.HasLen, 0)

	busy.total++ // As take does before a link is dialed.
	replaced := takeResult{dial: true}
	d.makeRoom(busy, &replaced)
	c.Check(replaced.dial, qt.IsTrue)
	c.Assert(replaced.toClose, qt.HasLen, 1)
	c.Check(replaced.toClose[0] == oldest, qt.IsTrue)
	c.Check(busy.total+idle.total, qt.Equals, 5)

	idle.idle = nil
	busy.total++
	full := takeResult{dial: true}
	d.makeRoom(busy, &full)
	c.Check(full.dial, qt.IsFalse)
	c.Check(full.full, qt.IsTrue)
	c.Check(busy.total+idle.total, qt.Equals, 5)
}
