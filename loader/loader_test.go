package loader_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/loader"
)

// writeFile writes the text to a temporary file and returns its path.
func writeFile(c *qt.C, text string) string {
	path := filepath.Join(c.TB.(*testing.T).TempDir(), "settings.ini")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func TestLoadSetsStringsDurationsAndIntegers(t *testing.T) {
	c := qt.New(t)
	var s loader.Settings
	path := writeFile(c, "[Instance]\nID = entry-1\n[Platform]\nTimeout = 250ms\n[Limits]\nBodyBytes = 9\n")
	c.Assert(loader.Load(path, &s), qt.IsNil)
	c.Check(s.Instance.ID, qt.Equals, "entry-1")
	c.Check(s.Platform.Timeout, qt.Equals, 250*time.Millisecond)
	c.Check(s.Limits.BodyBytes, qt.Equals, int64(9))
}

func TestLoadReportsTheInvalidKey(t *testing.T) {
	for name, text := range map[string]string{
		"unknown section":  "[Nonsense]\nID = 1\n",
		"unknown key":      "[Instance]\nName = 1\n",
		"invalid duration": "[Platform]\nTimeout = soon\n",
		"invalid number":   "[Limits]\nHeaderBytes = -4\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s loader.Settings
			path := writeFile(c, text)
			var settingErr *hemlocktally.SettingError
			c.Assert(errors.As(loader.Load(path, &s), &settingErr), qt.IsTrue)
			c.Check(settingErr.File, qt.Equals, path)
			c.Check(settingErr.Found, qt.Not(qt.Equals), "")
			c.Check(settingErr.Allowed, qt.Not(qt.Equals), "")
		})
	}
}

func TestCheckReportsTheMissingKey(t *testing.T) {
	c := qt.New(t)
	var settingErr *hemlocktally.SettingError
	c.Assert(errors.As(loader.Settings{}.WithDefaults().Check("x.ini"), &settingErr), qt.IsTrue)
	c.Check(settingErr.Key, qt.Equals, "ID")
}

func TestSampleFileLoads(t *testing.T) {
	c := qt.New(t)
	var s loader.Settings
	c.Assert(loader.Load("../examples/settings/entry.ini", &s), qt.IsNil)
	c.Assert(s.WithDefaults().Check("entry.ini"), qt.IsNil)
}
