package main

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An earlier deployment has no fields for quotas; the platform fills them in as empty strings. An
// instance must start all the same.
func TestSettingsWithoutFieldsForQuotas(t *testing.T) {
	c := qt.New(t)
	template, err := os.ReadFile("../../deploy/balance.ini")
	c.Assert(err, qt.IsNil)
	values := map[string]string{
		"nodeName": "edge-1", "zone": "z", "listen.front": "10.1.0.1:80", "listen.ready": "10.1.0.1:81",
		"ip": "10.1.0.1", "internalPorts.0": "7540", "platform.address": "10.2.0.1:8541",
	}
	filled := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(place string) string {
		return values[place[2:len(place)-2]]
	})
	path := filepath.Join(t.TempDir(), "balance.ini")
	c.Assert(os.WriteFile(path, []byte(filled), 0o600), qt.IsNil)
	_, _, err = run("settings", "check", "--balance", path)
	c.Check(err, qt.IsNil)
}
