package quarantiner_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hemlocktally"
	"hemlocktally/quarantiner"
)

// kept is an entry of the store as a keeper writes it.
func kept(request, crashes int, at time.Time) []byte {
	type crash struct {
		Target      string
		AtUnixMilli int64
	}
	entry := struct {
		Request hemlocktally.Fingerprint
		Crashes []crash
	}{Request: fingerprint(request)}
	for n := range crashes {
		entry.Crashes = append(entry.Crashes, crash{Target: string(rune('a' + n)), AtUnixMilli: at.Add(time.Duration(n) * time.Second).UnixMilli()})
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return value
}

// The writer's clock may differ by seconds: the request is held back all the same. What can't be
// read is an error, and old entries hold nothing back.
func TestRestore(t *testing.T) {
	c := qt.New(t)
	for _, offset := range []time.Duration{-time.Minute, -4 * time.Second, 0, 5 * time.Second, time.Hour} {
		q := &quarantiner.Quarantiner{Self: "a", View: &hubs{}}
		c.Assert(q.Restore(kept(1, 3, time.Now().Add(offset))), qt.IsNil)
		c.Check(held(q), qt.IsTrue, qt.Commentf("%s", offset))
	}
	q := &quarantiner.Quarantiner{Self: "a", View: &hubs{}}
	c.Assert(q.Restore(kept(1, 3, time.Now().Add(-time.Hour))), qt.IsNil)
	c.Check(held(q), qt.IsFalse)
	for _, invalid := range []string{"", "{", `{"Request":"zz"}`, `{"Request":7}`, `{"Crashes":{}}`} {
		c.Check(q.Restore([]byte(invalid)), qt.IsNotNil, qt.Commentf("%q", invalid))
	}
}

// FuzzRestore reads what anybody may have written to the store.
func FuzzRestore(f *testing.F) {
	f.Add(kept(1, 3, time.Unix(0, 0)))
	f.Add(kept(1, 40, time.Unix(1<<40, 0)))
	f.Fuzz(func(t *testing.T, value []byte) {
		q := &quarantiner.Quarantiner{Self: "a", View: &hubs{}}
		_ = q.Restore(value)
		if suspected, _, _ := q.Stats(); suspected > 1 {
			t.Fatalf("%d suspects from one entry", suspected)
		}
	})
}
