package balancer

import (
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/follower"
	"hemlocktally/placer"
	"hemlocktally/recorder"
)

// Guards against grants in an evacuated zone by an owner that has just restarted and has read
// the targets, but not yet the operators' entries.
func TestNoTargetIsPlacedBeforeTheConfigurationIsKnown(t *testing.T) {
	c := qt.New(t)
	picture := &follower.FleetState{
		Configuration: &hemlocktally.Configuration{},
		Targets:       map[hemlocktally.ServiceName][]hemlocktally.Registration{"s": {{Service: "s", Target: hemlocktally.Target{Name: "t", Zone: "a"}}}},
	}
	c.Check(placedServices(picture, 1), qt.HasLen, 0)
	picture.Configuration = &hemlocktally.Configuration{Revision: 4, Zones: []hemlocktally.AvailabilityZone{{Name: "a", Out: true}}}
	c.Check(placedServices(picture, 1)["s"].Targets, qt.HasLen, 1)
	c.Check(placedServices(picture, 1)["s"].Out["a"], qt.IsTrue)
}

// The zones are weighed only for the services of a configuration that declares customers or
// large responses; all others must be placed as before.
func TestZonesAreWeighedWhereItIsAskedFor(t *testing.T) {
	for name, test := range map[string]struct {
		config hemlocktally.Configuration
		weighs bool
		large  []hemlocktally.ContractName
	}{
		"plain":           {hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{Name: "c", Service: "s"}}}, false, nil},
		"customers":       {hemlocktally.Configuration{KeysRequired: true}, true, nil},
		"large responses": {hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{Name: "c", Service: "s", LargeResponses: true}}}, true, []hemlocktally.ContractName{"c"}},
		"split":           {hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{Name: "c", Split: []hemlocktally.ServiceShare{{Service: "s"}}, LargeResponses: true}}}, true, []hemlocktally.ContractName{"c"}},
		"another service": {hemlocktally.Configuration{Contracts: []hemlocktally.Contract{{Name: "c", Service: "o", LargeResponses: true}}}, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			test.config.Revision, test.config.Services = 1, []hemlocktally.Service{{Name: "s"}}
			got := placedServices(&follower.FleetState{Configuration: &test.config}, 1)["s"]
			c.Check(got.Spillover, qt.Equals, test.weighs)
			c.Check(got.LargeResponses, qt.DeepEquals, test.large)
		})
	}
}

// An empty setting means its default, and one that is out of range is rejected by name.
func TestZoneSettings(t *testing.T) {
	c := qt.New(t)
	file := func(zones string) string {
		path := filepath.Join(t.TempDir(), "balance.ini")
		text := "[Instance]\nID = i\nZone = z\n[Listen]\nCallers = 127.0.0.1:1\nReady = 127.0.0.1:2\nPeers = 127.0.0.1:3\n[Platform]\nStore = 127.0.0.1:4\n[Zones]\n" + zones
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	settings, err := Load(file("PricePerMB =\nDelay =\n"))
	c.Assert(err, qt.IsNil)
	c.Check(settings.Zones, qt.Equals, ZoneSettings{PricePerMB: defaultPricePerMB, Delay: defaultZoneDelay})
	settings, err = Load(file("PricePerMB = 15ms\nDelay = 3ms\n"))
	c.Assert(err, qt.IsNil)
	c.Check(settings.Zones, qt.Equals, ZoneSettings{PricePerMB: 15 * time.Millisecond, Delay: 3 * time.Millisecond})
	for _, bad := range []string{"PricePerMB = 2m", "PricePerMB = -1s", "Delay = 2s", "Delay = -1ms", "Delay = soon"} {
		_, err = Load(file(bad))
		var wrong *hemlocktally.SettingError
		c.Assert(errors.As(err, &wrong), qt.IsTrue, qt.Commentf(bad))
		c.Check(wrong.Section, qt.Equals, "Zones")
		c.Check(wrong.Key, qt.Equals, strings.Fields(bad)[0])
	}
}

// Each zone has its own sample of the calls that left it, by reason.
func TestZoneMetrics(t *testing.T) {
	c := qt.New(t)
	list := spilloverGauges([]placer.Stats{{Service: "s", Zones: []placer.ZoneStats{
		{Zone: "a", Share: 0.25, Calls: 40, Left: map[placer.LeaveReason]uint64{placer.LeaveShort: 7}, Bytes: 9000},
		{Zone: "b", Calls: 2},
	}}})
	w := httptest.NewRecorder()
	c.Assert((&recorder.Recorder{}).WriteMetrics(w, list), qt.IsNil)
	for _, line := range []string{
		"# TYPE hemlocktally_owner_zone_calls_total counter\nhemlocktally_owner_zone_calls_total{service=\"s\",zone=\"a\"} 40\nhemlocktally_owner_zone_calls_total{service=\"s\",zone=\"b\"} 2\n",
		"# TYPE hemlocktally_owner_zone_share gauge\nhemlocktally_owner_zone_share{service=\"s\",zone=\"a\"} 0.25\n",
		"hemlocktally_owner_zone_left_total{service=\"s\",zone=\"a\",reason=\"Short\"} 7\n",
		"hemlocktally_owner_zone_left_bytes_total{service=\"s\",zone=\"a\"} 9000\n",
	} {
		c.Check(w.Body.String(), qt.Contains, line)
	}
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	for _, metric := range list {
		c.Check(string(page), qt.Contains, "`"+metric.Name+"`")
	}
}
