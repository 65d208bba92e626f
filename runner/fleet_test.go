package runner_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/experimenter"
	"hemlocktally/imitator"
	"hemlocktally/runner"
)

func tell(c *qt.C, daemon *runner.Daemon, statement string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon.Self().OperatorAddress+"/tell", strings.NewReader(statement))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+experimenter.OperatorKey)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(body)
}

func awaitFleet(c *qt.C, what string, reached func() bool) {
	deadline := time.Now().Add(20 * time.Second)
	for !reached() {
		if time.Now().After(deadline) {
			c.Fatalf("not reached: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// accepting reports whether each daemon accepts new calls just if it is outside
// the zone.
func accepting(fleet *experimenter.Fleet, out hemlocktally.ZoneName) func() bool {
	return func() bool {
		for _, daemon := range fleet.Daemons {
			if daemon.Accepting() == (daemon.Self().Zone == out) {
				return false
			}
		}
		return true
	}
}

func TestZoneTakenOutInAnOutageStaysOutAfterIt(t *testing.T) {
	c := qt.New(t)
	fleet := startFleet(t)
	zone := fleet.Daemons[0].Self().Zone
	fleet.Platform.SetFaults(imitator.PlatformFaults{Down: true})
	answer := tell(c, fleet.Daemons[1], "take out AvailabilityZone "+string(zone))
	c.Check(answer, qt.Contains, `"Kind":"Provisional"`)
	awaitFleet(c, "the zone is out everywhere", accepting(fleet, zone))
	fleet.Platform.SetFaults(imitator.PlatformFaults{})
	awaitFleet(c, "a command is accepted again", func() bool {
		return strings.Contains(tell(c, fleet.Daemons[2], "bring back AvailabilityZone "+string(zone)), `"Kind":"Accepted"`)
	})
	awaitFleet(c, "the zone is back everywhere", accepting(fleet, ""))
}
