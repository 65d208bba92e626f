package hemlocktally_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
)

func TestFingerprintText(t *testing.T) {
	c := qt.New(t)
	f := hemlocktally.Fingerprint{0: 0xab, 15: 1}
	text, err := json.Marshal(f)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Equals, `"`+f.String()+`"`)
	parsed, err := hemlocktally.ParseFingerprint(f.String())
	c.Check(err, qt.IsNil)
	c.Check(parsed, qt.Equals, f)
	for _, invalid := range []string{"", "ab", f.String() + "00", "zz" + f.String()[2:]} {
		_, err := hemlocktally.ParseFingerprint(invalid)
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", invalid))
	}
}
