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

func write(c *qt.C, text string) string {
	path := filepath.Join(c.TB.(*testing.T).TempDir(), "settings.ini")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func TestLoadReadsEveryKind(t *testing.T) {
	c := qt.New(t)
	var s loader.Settings
	path := write(c, "[Instance]\nID = entry-1\n[Platform]\nTimeout = 250ms\n[Limits]\nBodyBytes = 9\n")
	c.Assert(loader.Load(path, &s), qt.IsNil)
	c.Check(s.Instance.ID, qt.Equals, "entry-1")
	c.Check(s.Platform.Timeout, qt.Equals, 250*time.Millisecond)
	c.Check(s.Limits.BodyBytes, qt.Equals, int64(9))
}

func TestLoadNamesTheBadKey(t *testing.T) {
	for name, text := range map[string]string{
		"unknown section": "[Nonsense]\nID = 1\n",
		"unknown key":     "[Instance]\nName = 1\n",
		"bad duration":    "[Platform]\nTimeout = soon\n",
		"bad number":      "[Limits]\nHeaderBytes = -4\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s loader.Settings
			path := write(c, text)
			var bad *hemlocktally.SettingError
			c.Assert(errors.As(loader.Load(path, &s), &bad), qt.IsTrue)
			c.Check(bad.File, qt.Equals, path)
			c.Check(bad.Found, qt.Not(qt.Equals), "")
			c.Check(bad.Allowed, qt.Not(qt.Equals), "")
		})
	}
}

func TestCheckNamesTheMissingKey(t *testing.T) {
	c := qt.New(t)
	var bad *hemlocktally.SettingError
	c.Assert(errors.As(loader.Settings{}.WithDefaults().Check("x.ini"), &bad), qt.IsTrue)
	c.Check(bad.Key, qt.Equals, "ID")
}

func TestSampleFileLoads(t *testing.T) {
	c := qt.New(t)
	var s loader.Settings
	c.Assert(loader.Load("../examples/settings/entry.ini", &s), qt.IsNil)
	c.Assert(s.WithDefaults().Check("entry.ini"), qt.IsNil)
}
