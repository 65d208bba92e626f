package runner_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oklog/ulid/v2"

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

// worked makes some calls and returns how many of them a zone's targets got, and
// how many were served at all.
func worked(c *qt.C, fleet *experimenter.Fleet, zone hemlocktally.ZoneName) (inZone, served int) {
	count := func() int {
		sum := 0
		for i := range 16 {
			if fleet.Deployment.Zones[i%len(fleet.Deployment.Zones)] == zone {
				for _, runs := range fleet.Targets[fmt.Sprintf("catalogue/catalogue-%d", i+1)].Works() {
					sum += runs
				}
			}
		}
		return sum
	}
	before := count()
	for n := range 24 {
		daemon := fleet.Daemons[n%len(fleet.Daemons)]
		request, err := http.NewRequest(http.MethodGet, "http://"+daemon.Self().CallerAddress+"/catalogue/1", http.NoBody)
		c.Assert(err, qt.IsNil)
		request.Header.Set(imitator.HeaderWork, ulid.Make().String())
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		if response.StatusCode == http.StatusOK {
			served++
		}
	}
	return count() - before, served
}

func TestZoneTakenOutInAnOutageStaysOutAfterIt(t *testing.T) {
	c := qt.New(t)
	fleet := startFleet(t)
	zone := fleet.Daemons[0].Self().Zone
	fleet.Platform.SetFaults(imitator.PlatformFaults{Down: true})
	answer := tell(c, fleet.Daemons[1], "take out AvailabilityZone "+string(zone))
	c.Check(answer, qt.Contains, `"Kind":"Provisional"`)
	awaitFleet(c, "the zone is out everywhere", accepting(fleet, zone))
	awaitFleet(c, "owners leave the zone alone", func() bool {
		inZone, served := worked(c, fleet, zone)
		return inZone == 0 && served > 0
	})
	inZone, _ := worked(c, fleet, zone)
	c.Check(inZone, qt.Equals, 0)
	fleet.Platform.SetFaults(imitator.PlatformFaults{})
	awaitFleet(c, "a command is accepted again", func() bool {
		return strings.Contains(tell(c, fleet.Daemons[2], "bring back AvailabilityZone "+string(zone)), `"Kind":"Accepted"`)
	})
	awaitFleet(c, "the zone is back everywhere", accepting(fleet, ""))
}
