package follower_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

// A service that is large in each zone with a hub is split; hubs find it by their
// lists and followers hear it from their hub, at once when it changes.
func TestLargeServicesAreSplitEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFollowers(c, 3)
		time.Sleep(time.Second)
		for _, one := range append(f.hubs, f.followers...) {
			c.Check(one.View().Split["s"], qt.IsFalse, qt.Commentf("zone b has no targets"))
		}
		for n := range 12 {
			f.store.put("servers/"+fmt.Sprint("b", n),
				`{"service":"s","address":"10.0.0.2:1","zone":"b","slots":2,"state":"ready","coldRemaining":"0ms","born":1}`)
		}
		f.hubs[0].NeedTargets()
		f.hubs[1].NeedTargets()
		time.Sleep(2 * time.Second)
		for _, one := range append(f.hubs, f.followers...) {
			c.Check(one.View().Split, qt.DeepEquals, map[hemlocktally.ServiceName]bool{"s": true})
		}
		f.stop()
	})
}
