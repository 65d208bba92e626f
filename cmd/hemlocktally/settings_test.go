package main

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSettingsCheckTakesTheFile(t *testing.T) {
	c := qt.New(t)
	for _, line := range [][]string{
		{"settings", "check", "../../examples/settings/entry.ini"},
		{"settings", "check", "--settings", "../../examples/settings/entry.ini"},
		{"settings", "check", "--balance", "../../examples/settings/balance.ini"},
	} {
		output, _, err := run(line...)
		c.Check(err, qt.IsNil)
		c.Check(output, qt.Contains, "all keys are good")
	}
	bad := filepath.Join(t.TempDir(), "bad.ini")
	c.Assert(os.WriteFile(bad, []byte("[Instance]\nID = x\nColour = red\n"), 0o600), qt.IsNil)
	_, code, err := run("settings", "check", "--balance", bad)
	c.Check(code, qt.Equals, exitSettings)
	c.Check(err, qt.ErrorMatches, `(?s).*\[Instance\] Colour: found "Colour".*\[Platform\] Store: found "".*`)
}

// The template that the platform fills in names no key that the settings lack.
func TestTemplateOfTheSettingsIsComplete(t *testing.T) {
	c := qt.New(t)
	template, err := os.ReadFile("../../deploy/balance.ini")
	c.Assert(err, qt.IsNil)
	values := map[string]string{
		"nodeName": "edge-1", "zone": "z", "limits.cpuShare": "0.32", "listen.front": "10.1.0.1:80", "listen.ready": "10.1.0.1:81",
		"ip": "10.1.0.1", "internalPorts.0": "7540", "platform.address": "10.2.0.1:8541", "heartbeat": "1500ms", "bounds.grace": "6s",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindow": "10s", "bounds.budgetSlack": "56", "bounds.probesPerS": "60",
		"bounds.quotaWindow": "5s", "bounds.quotaOvershoot": "0.1", "bounds.quotaSlack": "20",
		"bounds.exposureShare": "0.1", "bounds.exposureSlack": "50", "bounds.rollback": "5s",
		"limits.memoryMb": "136", "limits.maxFds": "2870",
	}
	filled := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(place string) string {
		value, ok := values[place[2:len(place)-2]]
		c.Check(ok, qt.IsTrue, qt.Commentf("%s", place))
		return value
	})
	path := filepath.Join(t.TempDir(), "balance.ini")
	c.Assert(os.WriteFile(path, []byte(filled), 0o600), qt.IsNil)
	_, _, err = run("settings", "check", "--balance", path)
	c.Check(err, qt.IsNil)
}
